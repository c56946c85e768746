//! The tokens that an engine stand-in gives, known to whoever checks an answer.
//!
//! Token 0 depends on the prompt and the stream; each later token on the prompt and the one before
//! it. A sequence that misses or repeats a token, or that mixes two generations, breaks the chain.

use base::hash::stable;
use base::prelude::*;

/// One prompt in this many ends before its most tokens.
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

/// The number of tokens in the whole output, and whether the model ended it by itself.
pub fn length(prompt: &str, max_tokens: u64) -> (u64, bool) {
    if stable(prompt.as_bytes()).is_multiple_of(STOP_EVERY) {
        return (max_tokens - max_tokens / STOP_EVERY, true);
    }
    (max_tokens, false)
}

/// What is wrong with a text as an answer to `prompt`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SequenceError {
    /// The token at this place does not follow the one before it.
    Mismatch(usize),
    /// The text is not made of tokens.
    Malformed(usize),
}

/// Checks that a text is an unbroken sequence of tokens, and returns how many.
///
/// # Errors
///
/// The first [`Flaw`].
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

/// A token whose text shows its index.
fn token_from(seed: u64) -> Token {
    let id = (seed ^ (seed >> 32)) as u32;
    Token {
        id,
        text: format!(" {id:08x}"),
    }
}
