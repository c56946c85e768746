//! Stable hashes and rendezvous hashing.

use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A 64-bit hash that is the same on every host and in every version.
pub fn stable(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// A short name for `text` between hosts; of two texts that share one, neither may matter by itself.
pub fn short_hash(text: &str) -> u32 {
    stable(text.as_bytes()) as u32
}

/// The rendezvous weight of `node` for `key`: the highest weight is preferred.
pub fn rendezvous(key: &str, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), stable(key.as_bytes()))
}

/// The digest under which a workspace's bearer key stands in the configuration.
///
/// SHA-256 (FIPS 180-4), written as 64 hexadecimal digits.
pub fn key_digest(bearer: &str) -> String {
    Sha256::digest(bearer.as_bytes())
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
