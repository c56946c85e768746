//! Memory for the answers that a host buffers at the same time.
//!
//! An answer may hold at most as many bytes as are left free. One answer alone gets at most half of the pool; answers
//! without end get an equal share each and leave the same share to all others, so that the largest answers fail first.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that each answer may hold however little is free.
const FREE_BYTES: usize = 64 << 10;

/// The pool of a host.
#[derive(Clone, Debug)]
pub struct AnswerPool {
    capacity: usize,
    held: Arc<AtomicUsize>,
}

impl AnswerPool {
    /// A pool of `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            held: Arc::default(),
        }
    }

    /// A share of which nothing is held yet.
    pub fn share(&self) -> AnswerShare {
        AnswerShare {
            pool: self.clone(),
            bytes: 0,
        }
    }

    /// Bytes held by all answers.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }
}

/// The bytes that one answer holds; they are released on drop.
#[derive(Debug)]
pub struct AnswerShare {
    pool: AnswerPool,
    bytes: usize,
}

impl AnswerShare {
    /// Holds `more` bytes; returns `false`, and holds no more than before, if too few are left free.
    #[must_use]
    pub fn grow(&mut self, more: usize) -> bool {
        let bytes = self.bytes.saturating_add(more);
        let held = self.pool.held().saturating_add(more);
        if bytes > FREE_BYTES && bytes > self.pool.capacity.saturating_sub(held) {
            return false;
        }
        self.pool.held.fetch_add(more, Ordering::Relaxed);
        self.bytes = bytes;
        true
    }
}

impl Drop for AnswerShare {
    fn drop(&mut self) {
        self.pool.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
