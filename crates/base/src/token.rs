//! The unit of output of a model engine.

use serde::{Deserialize, Serialize};

/// One token of output.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// The engine's vocabulary index, sent back to an engine as a prefix.
    pub id: u32,
    /// The text that the token stands for.
    pub text: String,
}

impl Token {
    /// The memory that the token occupies in a journal, in bytes.
    pub fn size(&self) -> usize {
        size_of::<Self>() + self.text.len()
    }
}
