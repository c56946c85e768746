//! The unit of output of a model engine.

use serde::{Deserialize, Serialize};

/// One token of output.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// Index in the engine's vocabulary; sent to an engine in the prefix that it is to continue.
    pub id: u32,
    /// The text that the token stands for.
    pub text: String,
}

impl Token {
    /// Memory that the token occupies in a journal, in bytes.
    pub fn size(&self) -> usize {
        size_of::<Self>() + self.text.len()
    }
}
