//! One stream of an engine.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use base::prelude::*;
use engine::wire::{Finish, Generate};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::sequence;

/// A stream and the tokens that it has given.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) request: Generate,
    /// The offset of the first token given.
    pub(super) start: u64,
    pub(super) cached: u64,
    pub(super) prefill: u64,
    length: u64,
    finish: Finish,
    tokens: Mutex<Vec<Token>>,
    /// The offset after the last token.
    next_offset: watch::Sender<u64>,
    readers: AtomicU64,
    /// Since when there is no reader.
    idle_start: Mutex<Instant>,
    is_cancelled: AtomicBool,
}

impl Stream {
    pub(super) fn new(request: Generate, cached: u64, prefill: u64) -> Self {
        let (length, is_stop) = sequence::length(&request.prompt, request.max_tokens);
        let start = request.prefix.len() as u64;
        Self {
            start,
            cached,
            prefill,
            length,
            finish: if is_stop {
                Finish::Stop
            } else {
                Finish::Length
            },
            tokens: Mutex::new(Vec::new()),
            next_offset: watch::Sender::new(start),
            readers: AtomicU64::new(0),
            idle_start: Mutex::new(Instant::now()),
            is_cancelled: AtomicBool::new(false),
            request,
        }
    }

    /// Gives the next token; returns whether the stream goes on.
    pub(super) fn step(&self) -> bool {
        let mut tokens = self.tokens.lock().unwrap_or_else(|e| e.into_inner());
        let next = self.start + tokens.len() as u64;
        if next >= self.length || self.is_cancelled() {
            return false;
        }
        let prompt = &self.request.prompt;
        let previous = tokens.last().map(|t| t.id);
        let token = match previous.or(self.request.prefix.last().copied()) {
            Some(id) => sequence::next_token(prompt, id),
            None => sequence::first_token(prompt, &self.request.stream.0),
        };
        tokens.push(token);
        drop(tokens);
        self.next_offset.send_replace(next + 1);
        next + 1 < self.length
    }

    /// The tokens from `offset` on.
    pub(super) fn tokens(&self, offset: u64) -> Vec<Token> {
        let tokens = self.tokens.lock().unwrap_or_else(|e| e.into_inner());
        let skip = offset.saturating_sub(self.start) as usize;
        tokens
            .get(skip..)
            .map(<[Token]>::to_vec)
            .unwrap_or_default()
    }

    /// A subscription to the offset after the last token.
    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.next_offset.subscribe()
    }

    /// The length of the whole output and why it ends there.
    pub(super) fn end(&self) -> (u64, Finish) {
        (self.length, self.finish)
    }

    pub(super) fn cancel(&self) {
        self.is_cancelled.store(true, Ordering::Relaxed);
        // Wakes the readers, who close their connections.
        self.next_offset.send_modify(|_| ());
    }

    pub(super) fn is_cancelled(&self) -> bool {
        self.is_cancelled.load(Ordering::Relaxed)
    }

    /// Counts a reader in.
    pub(super) fn add_reader(&self) {
        self.readers.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a reader out.
    pub(super) fn remove_reader(&self) {
        self.readers.fetch_sub(1, Ordering::Relaxed);
        *self.idle_start.lock().unwrap_or_else(|e| e.into_inner()) = Instant::now();
    }

    /// Since when there is no reader, if there is none.
    pub(super) fn idle_since(&self) -> Option<Instant> {
        if self.readers.load(Ordering::Relaxed) > 0 {
            return None;
        }
        Some(*self.idle_start.lock().unwrap_or_else(|e| e.into_inner()))
    }
}
