//! The deterministic token sequence of an engine stand-in, which lets a test verify an output.
//!
//! Token 0 is a hash of the prompt and the stream's name; each later token is a hash of the prompt
//! and its predecessor. An output with a missing or repeated token, or with tokens of two
//! generations, therefore fails [`check`]. Tokens missing at its ends show only in the count, to be
//! compared with [`length`].

use base::hash::stable;
use base::prelude::*;

/// One prompt in this many stops early, with `1 / STOP_EVERY` of its `max_tokens` left.
const STOP_EVERY: u64 = 4;

/// The token at offset 0 of a stream called `stream`.
pub fn first_token(prompt: &str, stream: &str) -> Token {
    token_from(stable(stream.as_bytes()) ^ stable(prompt.as_bytes()))
}

/// The token that follows `previous`.
pub fn next_token(prompt: &str, previous: u32) -> Token {
    let mut seed = [0; 12];
    seed[..8].copy_from_slice(&stable(prompt.as_bytes()).to_le_bytes());
    seed[8..].copy_from_slice(&previous.to_le_bytes());
    token_from(stable(&seed))
}

/// The number of tokens in the complete output, and whether the model stopped before `max_tokens`.
pub fn length(prompt: &str, max_tokens: u64) -> (u64, bool) {
    if stable(prompt.as_bytes()).is_multiple_of(STOP_EVERY) {
        return (max_tokens - max_tokens / STOP_EVERY, true);
    }
    (max_tokens, false)
}

/// Why a text is not an output for a prompt; holds the index of the first wrong word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SequenceError {
    /// The token at this index is not the successor of the one before it.
    Mismatch(usize),
    /// The word at this index is not a token id in hexadecimal.
    Malformed(usize),
}

/// Checks that each token in a text is the successor of the one before it, and returns how many
/// there are. The first token may be any, as it depends on the stream's name.
///
/// # Errors
///
/// The first word that is wrong.
pub fn check(prompt: &str, text: &str) -> Result<u64, SequenceError> {
    let mut previous = None;
    let mut count = 0;
    for (i, word) in text.split_whitespace().enumerate() {
        let id = u32::from_str_radix(word, 16).map_err(|_| SequenceError::Malformed(i))?;
        if previous.is_some_and(|p| next_token(prompt, p).id != id) {
            return Err(SequenceError::Mismatch(i));
        }
        previous = Some(id);
        count += 1;
    }
    Ok(count)
}

/// The token with an id folded from `seed`; its text is the id in hexadecimal.
fn token_from(seed: u64) -> Token {
    let id = (seed ^ (seed >> 32)) as u32;
    Token {
        id,
        text: format!(" {id:08x}"),
    }
}
