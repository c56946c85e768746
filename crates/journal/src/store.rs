//! The journals that a host holds, for its own requests and as a witness for its peers.

use base::prelude::*;
use base::sorted::Sorted;
use serde::{Deserialize, Serialize};

use crate::record::{Append, FinishReason, Header, Refusal, Snapshot, StreamRef};

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
struct Journal {
    /// Appends below this ownership are refused.
    fence: Epoch,
    /// The ownership under which the last append was made.
    epoch: Epoch,
    header: Header,
    tokens: Vec<Token>,
    bytes: usize,
    finish: Option<FinishReason>,
    /// Whether the caller has the whole answer.
    closed: bool,
    /// When the journal was last written or sealed.
    #[serde(rename = "touched")]
    last_used: Millis,
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
pub struct JournalCopy {
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
    journals: Sorted<RequestKey, Journal>,
    bytes: usize,
    is_leaving: bool,
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
        self.evict_closed(&append);
        let known = self.journals.get(&append.key);
        if let Some(journal) = known
            && append.epoch < journal.fence
        {
            return Err(Refusal::Sealed(journal.fence));
        }
        let is_new = known.is_none_or(|j| j.epoch != append.epoch);
        if is_new && self.is_leaving {
            return Err(Refusal::Leaving);
        }
        let held = known.filter(|_| !is_new).map_or(0, |j| j.tokens.len());
        // A copy that another host has handed over may be older than what is held.
        let is_stale = append.from.0 + (append.tokens.len() as u64) < held as u64;
        if append.from.0 > held as u64 {
            return Err(Refusal::Gap(Offset(held as u64)));
        }
        let repeated = held - append.from.0 as usize;
        let added: usize = append.tokens.iter().skip(repeated).map(Token::size).sum();
        if known.is_none() && self.journals.len() >= self.limits.count {
            return Err(Refusal::Full);
        }
        if self.bytes + added > self.limits.bytes {
            return Err(Refusal::Full);
        }
        let journal = self.journals.entry(append.key, Journal::default);
        if is_new {
            // A new owner writes its journal from the start; the old one must not show through.
            self.bytes -= journal.bytes;
            *journal = Journal::default();
        }
        journal.fence = append.epoch;
        journal.epoch = append.epoch;
        journal.last_used = now;
        if let Some(header) = append.header.filter(|_| !is_stale) {
            journal.header = header;
        }
        journal
            .tokens
            .extend(append.tokens.into_iter().skip(repeated));
        journal.bytes += added;
        self.bytes += added;
        journal.finish = journal.finish.or(append.finish);
        Ok(Offset(journal.tokens.len() as u64))
    }

    /// Adds tokens of another host's request.
    ///
    /// # Errors
    ///
    /// As [`Self::append`]; `Leaving` for any append once the host leaves, so that the owner
    /// chooses another witness while this one can still be asked.
    pub fn append_remote(&mut self, now: Millis, append: Append) -> Result<Offset, Refusal> {
        let fence = self.fence(&append.key).unwrap_or_default();
        if self.is_leaving && append.epoch >= fence {
            return Err(Refusal::Leaving);
        }
        self.append(now, append)
    }

    /// The requests of which journals are held.
    pub fn keys(&self) -> impl Iterator<Item = &RequestKey> {
        self.journals.iter().map(|(key, _)| key)
    }

    /// A journal for another host to hold; `None` if there is nothing to hand over.
    pub fn copy(&self, key: &RequestKey) -> Option<JournalCopy> {
        let journal = self.journals.get(key)?;
        if journal.header.lineage.is_empty() {
            return None;
        }
        let append = Append {
            key: key.clone(),
            epoch: journal.epoch,
            header: Some(journal.header.clone()),
            from: Offset(0),
            tokens: journal.tokens.clone(),
            finish: journal.finish,
        };
        let seal = (journal.fence > journal.epoch).then_some(journal.fence);
        let closed = journal.closed;
        Some(JournalCopy {
            append,
            seal,
            closed,
        })
    }

    /// Drops journals whose callers have their whole answer, the oldest first, as far as `append`
    /// needs their room.
    fn evict_closed(&mut self, append: &Append) {
        let is_new = self.journals.get(&append.key).is_none();
        let added: usize = append.tokens.iter().map(Token::size).sum();
        while self.bytes + added > self.limits.bytes
            || (is_new && self.journals.len() >= self.limits.count)
        {
            let closed = self.journals.iter().filter(|(_, j)| j.closed);
            let oldest = closed.min_by_key(|(_, j)| j.last_used);
            let Some(key) = oldest.map(|(key, _)| key.clone()) else {
                return;
            };
            let dropped = self.journals.remove(&key);
            self.bytes -= dropped.map_or(0, |j| j.bytes);
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
        let journal = self.journals.entry(key.clone(), Journal::default);
        let has_journal = !journal.header.lineage.is_empty();
        if has_journal && journal.header.digest != digest {
            return Err(Refusal::OtherRequest);
        }
        if epoch < journal.fence || (has_journal && epoch <= journal.epoch) {
            return Err(Refusal::Sealed(journal.fence));
        }
        journal.fence = epoch;
        journal.last_used = now;
        if !has_journal {
            return Ok(None);
        }
        Ok(Some(Snapshot {
            epoch: journal.epoch,
            header: journal.header.clone(),
            tokens: journal.tokens.clone(),
            finish: journal.finish,
        }))
    }

    /// The ownership below which appends to `key` are refused.
    pub fn fence(&self, key: &RequestKey) -> Option<Epoch> {
        self.journals.get(key).map(|j| j.fence)
    }

    /// Marks a journal whose caller has the whole answer.
    pub fn close(&mut self, now: Millis, key: &RequestKey, epoch: Epoch) {
        if let Some(journal) = self.journals.get_mut(key)
            && journal.epoch == epoch
        {
            journal.closed = true;
            journal.last_used = now;
        }
    }

    /// Drops what has been held long enough and returns the engine streams left behind.
    pub fn expire(&mut self, now: Millis) -> Vec<Orphan> {
        let limits = self.limits;
        let mut orphans = Vec::new();
        let mut freed = 0;
        self.journals.retain(|key, journal| {
            let is_sealed = journal.fence > journal.epoch;
            let has_ended = journal.closed || journal.finish.is_some();
            let limit = if is_sealed || has_ended {
                limits.retain_ms
            } else {
                limits.idle_ms
            };
            if now.since(journal.last_used).0 < limit {
                return true;
            }
            freed += journal.bytes;
            if !is_sealed && !has_ended {
                orphans.extend(journal.header.stream.clone().map(|stream| Orphan {
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
        self.is_leaving = true;
    }

    /// The bytes of tokens held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// How many journals are held.
    pub fn len(&self) -> usize {
        self.journals.len()
    }

    /// Whether no journal is held.
    pub fn is_empty(&self) -> bool {
        self.journals.is_empty()
    }

    /// The journals, for a state dump.
    pub fn summaries(&self) -> impl Iterator<Item = Summary> {
        self.journals.iter().map(|(key, j)| Summary {
            key: key.clone(),
            fence: j.fence,
            generation: j.header.generation(),
            length: j.tokens.len() as u64,
            finished: j.finish.is_some(),
            stream: j.header.stream.as_ref().map(|s| s.name.clone()),
        })
    }
}
