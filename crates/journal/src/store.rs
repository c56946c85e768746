//! The journals that a host holds, for its own requests and as a witness for its peers.

use base::prelude::*;
use base::sorted::Sorted;
use serde::{Deserialize, Serialize};

use crate::record::{Append, End, Header, Refusal, Snapshot, StreamRef};

/// Bounds on what a host holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The most bytes of tokens over all journals.
    pub bytes: usize,
    /// The most journals.
    pub count: usize,
    /// How long a journal without appends is held, in milliseconds.
    pub idle_ms: u64,
    /// How long a finished or sealed journal is held, in milliseconds.
    ///
    /// It must exceed the longest pause after which an owner still trusts itself.
    pub retain_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            bytes: 128 * 1024 * 1024,
            count: 20_000,
            idle_ms: 20_000,
            retain_ms: 120_000,
        }
    }
}

/// One journal.
#[derive(Clone, Debug, Default, Serialize)]
struct Entry {
    /// Appends below this ownership are refused.
    fence: Epoch,
    /// The ownership under which the last append was made.
    epoch: Epoch,
    header: Header,
    tokens: Vec<Token>,
    bytes: usize,
    finish: Option<End>,
    /// Whether the caller has the whole answer.
    closed: bool,
    /// When the journal was last written or sealed.
    touched: Millis,
}

/// An engine stream whose owner has not been heard of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Orphan {
    /// The request.
    pub key: RequestKey,
    /// The stream to cancel.
    pub stream: StreamRef,
}

/// A journal as a state dump shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Summary {
    /// The request.
    pub key: RequestKey,
    /// Appends below this ownership are refused.
    pub fence: Epoch,
    /// The generation under which the last token was written.
    pub generation: GenerationId,
    /// The number of tokens.
    pub length: u64,
    /// Whether the sequence is whole.
    pub finished: bool,
    /// The engine stream last in use.
    pub stream: Option<String>,
}

/// A journal on its way to another host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Copied {
    /// The whole journal, as one append under its epoch.
    pub append: Append,
    /// The ownership below which appends are refused, if that is higher than the journal's own.
    pub seal: Option<Epoch>,
    /// Whether the caller has the whole answer.
    pub closed: bool,
}

/// All journals of a host.
#[derive(Debug, Default)]
pub struct Store {
    limits: Limits,
    entries: Sorted<RequestKey, Entry>,
    bytes: usize,
    leaving: bool,
}

impl Store {
    /// An empty store.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Adds tokens and returns the offset after the last one held.
    ///
    /// Tokens already held are passed over, so that an append may be sent twice.
    ///
    /// # Errors
    ///
    /// `Sealed` under a lower epoch than the fence, `Gap` if tokens are missing before these,
    /// `Full` and `Leaving` if the host takes no more.
    pub fn append(&mut self, now: Millis, append: Append) -> Result<Offset, Refusal> {
        self.make_room(&append);
        let known = self.entries.get(&append.key);
        if let Some(entry) = known
            && append.epoch < entry.fence
        {
            return Err(Refusal::Sealed(entry.fence));
        }
        let is_new = known.is_none_or(|e| e.epoch != append.epoch);
        if is_new && self.leaving {
            return Err(Refusal::Leaving);
        }
        let held = known.filter(|_| !is_new).map_or(0, |e| e.tokens.len());
        // A copy that another host has handed over may be older than what is held.
        let is_old = append.from.0 + (append.tokens.len() as u64) < held as u64;
        if append.from.0 > held as u64 {
            return Err(Refusal::Gap(Offset(held as u64)));
        }
        let repeated = held - append.from.0 as usize;
        let added: usize = append.tokens.iter().skip(repeated).map(Token::size).sum();
        if known.is_none() && self.entries.len() >= self.limits.count {
            return Err(Refusal::Full);
        }
        if self.bytes + added > self.limits.bytes {
            return Err(Refusal::Full);
        }
        let entry = self.entries.entry(append.key, Entry::default);
        if is_new {
            // A new owner writes its journal from the start; the old one must not show through.
            self.bytes -= entry.bytes;
            *entry = Entry::default();
        }
        entry.fence = append.epoch;
        entry.epoch = append.epoch;
        entry.touched = now;
        if let Some(header) = append.header.filter(|_| !is_old) {
            entry.header = header;
        }
        entry
            .tokens
            .extend(append.tokens.into_iter().skip(repeated));
        entry.bytes += added;
        self.bytes += added;
        entry.finish = entry.finish.or(append.finish);
        Ok(Offset(entry.tokens.len() as u64))
    }

    /// Adds tokens of another host's request.
    ///
    /// # Errors
    ///
    /// As [`Self::append`]; `Leaving` for any append once the host leaves, so that the owner
    /// chooses another witness while this one can still be asked.
    pub fn witness(&mut self, now: Millis, append: Append) -> Result<Offset, Refusal> {
        let fence = self.fence(&append.key).unwrap_or_default();
        if self.leaving && append.epoch >= fence {
            return Err(Refusal::Leaving);
        }
        self.append(now, append)
    }

    /// The requests of which journals are held.
    pub fn keys(&self) -> impl Iterator<Item = &RequestKey> {
        self.entries.iter().map(|(key, _)| key)
    }

    /// A journal for another host to hold; `None` if there is nothing to hand over.
    pub fn copy(&self, key: &RequestKey) -> Option<Copied> {
        let entry = self.entries.get(key)?;
        if entry.header.lineage.is_empty() {
            return None;
        }
        let append = Append {
            key: key.clone(),
            epoch: entry.epoch,
            header: Some(entry.header.clone()),
            from: Offset(0),
            tokens: entry.tokens.clone(),
            finish: entry.finish,
        };
        let seal = (entry.fence > entry.epoch).then_some(entry.fence);
        let closed = entry.closed;
        Some(Copied {
            append,
            seal,
            closed,
        })
    }

    /// Drops journals whose callers have their whole answer, the oldest first, as far as `append`
    /// needs their room.
    fn make_room(&mut self, append: &Append) {
        let is_new = self.entries.get(&append.key).is_none();
        let added: usize = append.tokens.iter().map(Token::size).sum();
        while self.bytes + added > self.limits.bytes
            || (is_new && self.entries.len() >= self.limits.count)
        {
            let closed = self.entries.iter().filter(|(_, e)| e.closed);
            let oldest = closed.min_by_key(|(_, e)| e.touched);
            let Some(key) = oldest.map(|(key, _)| key.clone()) else {
                return;
            };
            let dropped = self.entries.remove(&key);
            self.bytes -= dropped.map_or(0, |e| e.bytes);
        }
    }

    /// Refuses appends below `epoch` from now on, and returns the journal as it stands.
    ///
    /// A key without a journal is sealed too, so that an owner that was paused cannot start one.
    ///
    /// # Errors
    ///
    /// `Sealed` if the epoch is not higher than that of the journal, or a higher one was seen;
    /// `OtherRequest` if the journal is that of a request with another digest.
    pub fn seal(
        &mut self,
        now: Millis,
        key: &RequestKey,
        epoch: Epoch,
        digest: u64,
    ) -> Result<Option<Snapshot>, Refusal> {
        let entry = self.entries.entry(key.clone(), Entry::default);
        let has_journal = !entry.header.lineage.is_empty();
        if has_journal && entry.header.digest != digest {
            return Err(Refusal::OtherRequest);
        }
        if epoch < entry.fence || (has_journal && epoch <= entry.epoch) {
            return Err(Refusal::Sealed(entry.fence));
        }
        entry.fence = epoch;
        entry.touched = now;
        if !has_journal {
            return Ok(None);
        }
        Ok(Some(Snapshot {
            epoch: entry.epoch,
            header: entry.header.clone(),
            tokens: entry.tokens.clone(),
            finish: entry.finish,
        }))
    }

    /// The ownership below which appends to `key` are refused.
    pub fn fence(&self, key: &RequestKey) -> Option<Epoch> {
        self.entries.get(key).map(|e| e.fence)
    }

    /// Marks a journal whose caller has the whole answer.
    pub fn close(&mut self, now: Millis, key: &RequestKey, epoch: Epoch) {
        if let Some(entry) = self.entries.get_mut(key)
            && entry.epoch == epoch
        {
            entry.closed = true;
            entry.touched = now;
        }
    }

    /// Drops what has been held long enough and returns the engine streams left behind.
    pub fn expire(&mut self, now: Millis) -> Vec<Orphan> {
        let limits = self.limits;
        let mut orphans = Vec::new();
        let mut freed = 0;
        self.entries.retain(|key, entry| {
            let sealed = entry.fence > entry.epoch;
            let ended = entry.closed || entry.finish.is_some();
            let limit = if sealed || ended {
                limits.retain_ms
            } else {
                limits.idle_ms
            };
            if now.since(entry.touched).0 < limit {
                return true;
            }
            freed += entry.bytes;
            if !sealed && !ended {
                orphans.extend(entry.header.stream.clone().map(|stream| Orphan {
                    key: key.clone(),
                    stream,
                }));
            }
            false
        });
        self.bytes -= freed;
        orphans
    }

    /// Takes no new journals from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// The bytes of tokens held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// How many journals are held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no journal is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The journals, for a state dump.
    pub fn summaries(&self) -> impl Iterator<Item = Summary> {
        self.entries.iter().map(|(key, e)| Summary {
            key: key.clone(),
            fence: e.fence,
            generation: e.header.generation(),
            length: e.tokens.len() as u64,
            finished: e.finish.is_some(),
            stream: e.header.stream.as_ref().map(|s| s.name.clone()),
        })
    }
}
