//! Bounded in-memory store of the journals on one host, both of its own requests and as a witness
//! for other hosts.

use base::prelude::*;
use base::sorted::Sorted;
use serde::{Deserialize, Serialize};

use crate::record::{Append, FinishReason, Header, Refusal, Snapshot, StreamRef};

/// Bounds on the journals of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum total size of the tokens of all journals, in bytes.
    pub bytes: usize,
    /// Maximum number of journals.
    pub count: usize,
    /// How long a journal is kept after its last append, in milliseconds.
    pub idle_ms: u64,
    /// How long a finished, closed or sealed journal is kept, in milliseconds.
    ///
    /// It must exceed the longest pause after which an owner delivers tokens without verifying its
    /// ownership, so that a seal outlives the owner that it fences.
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

/// The journal of one request, or a seal without a journal if the lineage is empty.
#[derive(Clone, Debug, Default, Serialize)]
struct Journal {
    /// Appends under a lower epoch are refused.
    fence: Epoch,
    /// Epoch of the last append.
    epoch: Epoch,
    header: Header,
    tokens: Vec<Token>,
    bytes: usize,
    finish: Option<FinishReason>,
    /// Whether the complete output was delivered to the caller.
    closed: bool,
    /// When the journal was last appended to, sealed or closed.
    #[serde(rename = "touched")]
    last_used: Millis,
}

/// An engine stream whose owner has sent no append within [`Limits::idle_ms`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Orphan {
    /// The request.
    pub key: RequestKey,
    /// The stream to cancel.
    pub stream: StreamRef,
}

/// Summary of a journal for state dumps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Summary {
    /// The request.
    pub key: RequestKey,
    /// Appends under a lower epoch are refused.
    pub fence: Epoch,
    /// The last generation of its lineage.
    pub generation: GenerationId,
    /// The number of tokens.
    pub length: u64,
    /// Whether the output is complete.
    pub finished: bool,
    /// Name of the engine stream last in use.
    pub stream: Option<String>,
}

/// A journal to be handed over to another host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JournalCopy {
    /// The full journal, as one append under its epoch.
    pub append: Append,
    /// The epoch of its seal; `None` if it has not been sealed since its last append.
    pub seal: Option<Epoch>,
    /// Whether the complete output was delivered to the caller.
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
    /// Creates an empty store.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Appends tokens to a journal and returns its length.
    ///
    /// Idempotent: tokens that the journal already contains are skipped, so that an append may be
    /// retried.
    ///
    /// # Errors
    ///
    /// `Sealed` if the epoch is lower than the fence, `Gap` if the append starts after the end of
    /// the journal, `Full` if a bound in [`Limits`] is reached, `Leaving` if the append would start
    /// a journal on a host that leaves.
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
        // A journal handed over by another host may be older than the one here; its header is then
        // ignored.
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
            // A new owner writes its journal from offset 0; no tokens of the previous owner may
            // remain.
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

    /// Appends tokens to the journal of another host's request, as its witness.
    ///
    /// # Errors
    ///
    /// As [`Self::append`], and `Leaving` for any append that is not fenced off once the host
    /// leaves, so that the owner switches to another witness while takeovers can still reach this
    /// one.
    pub fn append_remote(&mut self, now: Millis, append: Append) -> Result<Offset, Refusal> {
        let fence = self.fence(&append.key).unwrap_or_default();
        if self.is_leaving && append.epoch >= fence {
            return Err(Refusal::Leaving);
        }
        self.append(now, append)
    }

    /// The requests with a journal or a seal.
    pub fn keys(&self) -> impl Iterator<Item = &RequestKey> {
        self.journals.iter().map(|(key, _)| key)
    }

    /// A journal to hand over to another host; `None` if there is none, or only a seal.
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

    /// Evicts closed journals, least recently used first, until `append` fits within the limits or
    /// none is left.
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

    /// Raises the fence to `epoch`, so that appends under lower epochs are refused, and returns a
    /// snapshot of the journal.
    ///
    /// A key without a journal is sealed too, so that a previous owner that was paused cannot start
    /// one. A retry under the same epoch succeeds again.
    ///
    /// # Errors
    ///
    /// `Sealed` if the epoch is not higher than that of the journal, or lower than the fence;
    /// `OtherRequest` if the journal belongs to a request with another digest.
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

    /// The epoch below which appends to `key` are refused; `None` without a journal or seal.
    pub fn fence(&self, key: &RequestKey) -> Option<Epoch> {
        self.journals.get(key).map(|j| j.fence)
    }

    /// Marks a journal whose complete output was delivered; it may then be evicted. Ignored under
    /// an epoch other than the journal's.
    pub fn close(&mut self, now: Millis, key: &RequestKey, epoch: Epoch) {
        if let Some(journal) = self.journals.get_mut(key)
            && journal.epoch == epoch
        {
            journal.closed = true;
            journal.last_used = now;
        }
    }

    /// Removes expired journals and returns the engine streams to cancel: those of journals that
    /// were neither finished, closed nor sealed.
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

    /// Refuses new journals from now on, and appends from other hosts.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Total size of the tokens of all journals, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of journals, seals without a journal included.
    pub fn len(&self) -> usize {
        self.journals.len()
    }

    /// Whether there is neither a journal nor a seal.
    pub fn is_empty(&self) -> bool {
        self.journals.is_empty()
    }

    /// Summaries of all journals, for state dumps.
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
