//! The owner's side: keeps one witness up to date and says what may be delivered.

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::record::Refusal;

/// Bounds on how a witness is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How long tokens are collected before an append, in milliseconds.
    pub batch_ms: u64,
    /// How long a witness may take to answer before it is replaced, in milliseconds.
    pub ack_ms: u64,
    /// The time between appends when there are no tokens, in milliseconds.
    #[serde(rename = "beat_ms")]
    pub heartbeat_ms: u64,
    /// How long a witness that failed is left out, in milliseconds.
    pub avoid_ms: u64,
    /// Whether output waits when no witness can be had, or goes on without.
    pub required: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            batch_ms: 0,
            ack_ms: 300,
            heartbeat_ms: 3_000,
            avoid_ms: 5_000,
            required: false,
        }
    }
}

/// What the owner has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the tokens from `from` to the end, and say what comes of it under number `call`.
    Send {
        /// The witness.
        host: HostId,
        /// The offset of the first token to send.
        from: Offset,
        /// Whether the header goes along.
        with_header: bool,
        /// The number of this append.
        call: u64,
    },
    /// Tokens before this offset may be delivered.
    Release(Offset),
    /// Another router owns the request now.
    Superseded(Epoch),
}

/// An append that has not been answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
struct PendingAppend {
    call: u64,
    sent: Millis,
}

/// A host that failed as a witness.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct FailedHost {
    host: HostId,
    until: Millis,
}

/// The state of the journal of one request at its owner.
#[derive(Clone, Debug, Serialize)]
pub struct Replicator {
    policy: Policy,
    candidates: Vec<HostId>,
    witness: Option<HostId>,
    avoided: Vec<FailedHost>,
    pending: Option<PendingAppend>,
    calls: u64,
    length: Offset,
    finished: bool,
    /// The tokens that the current witness holds.
    acked: Offset,
    /// Whether the current witness has the last header and finish.
    #[serde(rename = "is_current")]
    header_sent: bool,
    /// When the oldest change that the witness does not have was made.
    #[serde(rename = "dirty")]
    dirty_since: Option<Millis>,
    /// The tokens that may be delivered.
    released: Offset,
    last_ack: Millis,
    switches: u64,
}

impl Replicator {
    /// A replica without tokens, to be kept at the first of `candidates` that answers.
    pub fn new(now: Millis, policy: Policy, candidates: Vec<HostId>) -> Self {
        Self {
            policy,
            candidates,
            witness: None,
            avoided: Vec::new(),
            pending: None,
            calls: 0,
            length: Offset(0),
            finished: false,
            acked: Offset(0),
            header_sent: false,
            dirty_since: None,
            released: Offset(0),
            last_ack: now,
            switches: 0,
        }
    }

    /// Replaces the candidates; a witness that is no longer among them is replaced.
    pub fn set_candidates(&mut self, now: Millis, candidates: Vec<HostId>, out: &mut Vec<Action>) {
        self.candidates = candidates;
        let gone = self
            .witness
            .as_ref()
            .is_some_and(|w| !self.candidates.contains(w));
        if gone {
            self.witness = None;
            self.pending = None;
        }
        self.send_due(now, out);
    }

    /// The sequence has grown to `length` tokens.
    pub fn grow(&mut self, now: Millis, length: Offset, finished: bool, out: &mut Vec<Action>) {
        self.length = length;
        if finished && !self.finished {
            self.finished = true;
            self.header_sent = false;
        }
        self.dirty_since = self.dirty_since.or(Some(now));
        self.send_due(now, out);
    }

    /// The header has changed.
    pub fn header_changed(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.header_sent = false;
        self.dirty_since = self.dirty_since.or(Some(now));
        self.send_due(now, out);
    }

    /// The witness holds the tokens before `held`.
    pub fn on_ack(&mut self, now: Millis, call: u64, held: Offset, out: &mut Vec<Action>) {
        if self.pending.is_none_or(|p| p.call != call) {
            return;
        }
        self.pending = None;
        self.last_ack = now;
        self.acked = held;
        self.release(held, out);
        self.send_due(now, out);
    }

    /// The witness does not take the append.
    pub fn on_refused(&mut self, now: Millis, call: u64, refusal: Refusal, out: &mut Vec<Action>) {
        if let Refusal::Sealed(epoch) = refusal {
            out.push(Action::Superseded(epoch));
            return;
        }
        if self.pending.is_none_or(|p| p.call != call) {
            return;
        }
        self.pending = None;
        if let Refusal::Gap(held) = refusal {
            self.acked = held;
            self.header_sent = false;
            self.dirty_since = Some(now);
        } else {
            self.drop_witness(now);
        }
        self.send_due(now, out);
    }

    /// The append failed on the way.
    pub fn on_failed(&mut self, now: Millis, call: u64, out: &mut Vec<Action>) {
        if self.pending.is_some_and(|p| p.call == call) {
            self.drop_witness(now);
            self.send_due(now, out);
        }
    }

    /// Acts on the passing of time.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        if let Some(p) = self.pending
            && now.since(p.sent).0 >= self.policy.ack_ms
        {
            self.drop_witness(now);
        }
        self.send_due(now, out);
    }

    /// Asks the witness for a fresh answer, whether or not there is anything to send.
    pub fn verify(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.pending = None;
        self.header_sent = false;
        self.dirty_since = Some(now);
        self.send_due(now, out);
    }

    /// When [`Self::tick`] is next needed.
    pub fn wake_at(&self, now: Millis) -> Millis {
        if let Some(p) = self.pending {
            return p.sent + Millis(self.policy.ack_ms);
        }
        if let Some(dirty) = self.dirty_since
            && self.witness.is_some()
        {
            return (dirty + Millis(self.policy.batch_ms)).max(now + Millis(1));
        }
        if self.witness.is_none() {
            return now + Millis(self.policy.avoid_ms.min(self.policy.heartbeat_ms));
        }
        self.last_ack + Millis(self.policy.heartbeat_ms)
    }

    /// Whether the answer of this append is awaited.
    pub fn is_pending(&self, call: u64) -> bool {
        self.pending.is_some_and(|p| p.call == call)
    }

    /// The host that holds the journal.
    pub fn witness(&self) -> Option<&HostId> {
        self.witness.as_ref()
    }

    /// Whether the witness holds all that there is.
    pub fn is_synced(&self) -> bool {
        self.dirty_since.is_none() && self.pending.is_none()
    }

    /// Leaves the current witness out for a while.
    fn drop_witness(&mut self, now: Millis) {
        self.pending = None;
        let Some(host) = self.witness.take() else {
            return;
        };
        self.switches += 1;
        self.avoided.retain(|a| a.host != host && a.until > now);
        let until = now + Millis(self.policy.avoid_ms);
        self.avoided.push(FailedHost { host, until });
    }

    /// Chooses a witness if there is none, and sends what is due.
    fn send_due(&mut self, now: Millis, out: &mut Vec<Action>) {
        if self.witness.is_none() {
            self.choose_witness(now);
        }
        let Some(host) = self.witness.clone() else {
            if !self.policy.required {
                self.release(self.length, out);
            }
            return;
        };
        if self.pending.is_some() || !self.is_due(now) {
            return;
        }
        self.calls += 1;
        self.pending = Some(PendingAppend {
            call: self.calls,
            sent: now,
        });
        out.push(Action::Send {
            host,
            from: self.acked,
            with_header: !self.header_sent,
            call: self.calls,
        });
        self.header_sent = true;
        // What is sent now is no longer outstanding; changes from here on are.
        self.dirty_since = None;
    }

    /// Whether there is something to send, or the witness must hear of the owner.
    fn is_due(&self, now: Millis) -> bool {
        match self.dirty_since {
            Some(dirty) => now.since(dirty).0 >= self.policy.batch_ms,
            None => now.since(self.last_ack).0 >= self.policy.heartbeat_ms,
        }
    }

    /// Takes the first candidate that has not failed lately.
    fn choose_witness(&mut self, now: Millis) {
        self.avoided.retain(|a| a.until > now);
        let usable = |h: &&HostId| !self.avoided.iter().any(|a| a.host == **h);
        self.witness = self.candidates.iter().find(usable).cloned();
        if self.witness.is_some() {
            self.acked = Offset(0);
            self.header_sent = false;
            self.dirty_since = Some(now - Millis(self.policy.batch_ms));
        }
    }

    /// Lets the tokens before `upto` be delivered.
    fn release(&mut self, upto: Offset, out: &mut Vec<Action>) {
        if upto > self.released {
            self.released = upto;
            out.push(Action::Release(upto));
        }
    }
}
