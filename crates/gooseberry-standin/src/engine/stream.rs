//! One output stream of an engine, shared by the batch that generates it and by its readers.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use base::prelude::*;
use engine::wire::{Finish, Generate};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::sequence;

/// A stream and the tokens generated so far.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) request: Generate,
    /// The offset of the first token generated; the prefix of the request lies before it.
    pub(super) start: u64,
    /// The tokens of prompt and prefix that were found in the cache.
    pub(super) cached: u64,
    /// The tokens of prompt and prefix that had to be computed.
    pub(super) prefill: u64,
    /// The number of tokens in the complete output, prefix included.
    length: u64,
    finish: Finish,
    tokens: Mutex<Vec<Token>>,
    /// The offset after the last token generated.
    next_offset: watch::Sender<u64>,
    readers: AtomicU64,
    /// When the last reader left, or the stream was created; unused while there are readers.
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

    /// Generates the next token; returns whether more follow.
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

    /// Subscribes to the offset after the last token; cancellation notifies it as well.
    pub(super) fn subscribe(&self) -> watch::Receiver<u64> {
        self.next_offset.subscribe()
    }

    /// The number of tokens in the complete output, and why it ends there.
    pub(super) fn end(&self) -> (u64, Finish) {
        (self.length, self.finish)
    }

    pub(super) fn cancel(&self) {
        self.is_cancelled.store(true, Ordering::Relaxed);
        // Wakes the readers, so that they abort their connections.
        self.next_offset.send_modify(|_| ());
    }

    pub(super) fn is_cancelled(&self) -> bool {
        self.is_cancelled.load(Ordering::Relaxed)
    }

    /// Increments the number of readers.
    pub(super) fn add_reader(&self) {
        self.readers.fetch_add(1, Ordering::Relaxed);
    }

    /// Decrements the number of readers and restarts the idle time.
    pub(super) fn remove_reader(&self) {
        self.readers.fetch_sub(1, Ordering::Relaxed);
        *self.idle_start.lock().unwrap_or_else(|e| e.into_inner()) = Instant::now();
    }

    /// When the last reader left; `None` while there are readers.
    pub(super) fn idle_since(&self) -> Option<Instant> {
        if self.readers.load(Ordering::Relaxed) > 0 {
            return None;
        }
        Some(*self.idle_start.lock().unwrap_or_else(|e| e.into_inner()))
    }
}
