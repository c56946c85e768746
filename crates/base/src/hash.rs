//! Stable hashes and rendezvous hashing.

use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// XXH3 64-bit hash, the same on every host and in every version.
pub fn stable(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Hash that stands for a name, such as a service's, in messages between hosts, to keep them small.
///
/// At 32 bits two names may share a hash, so a use must tolerate that one is taken for the other.
pub fn short_hash(text: &str) -> u32 {
    stable(text.as_bytes()) as u32
}

/// Weight of `candidate` for `key` in rendezvous hashing; the candidate with the highest weight is
/// preferred.
pub fn rendezvous(key: &str, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), stable(key.as_bytes()))
}

/// Hash of a sequence of fields that is the same on every host, and for which nobody can find a second sequence: the
/// first 64 bits of SHA-256 (FIPS 180-4) over each field's length and bytes.
pub fn fingerprint(fields: &[&[u8]]) -> u64 {
    let mut hasher = Sha256::new();
    for field in fields {
        hasher.update((field.len() as u64).to_be_bytes());
        hasher.update(field);
    }
    let digest = hasher.finalize();
    digest
        .iter()
        .take(8)
        .fold(0, |hash, byte| hash << 8 | u64::from(*byte))
}

/// Digest of a bearer key, which configuration and settings hold instead of the key.
///
/// SHA-256 (FIPS 180-4), written as 64 lowercase hexadecimal digits.
pub fn key_digest(bearer: &str) -> String {
    Sha256::digest(bearer.as_bytes())
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
