//! Replication of a journal from its owner to one witness.
//!
//! At most one append is in flight. Tokens are released for delivery when the witness acknowledges
//! them. A witness that fails or does not answer in time is replaced by the next candidate, which
//! receives the journal from offset 0. Without any witness, tokens are released at once, or held
//! back if [`Policy::required`] is set.

use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::record::Refusal;

/// Settings of a profile for the replication to a witness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How long tokens are batched before they are appended, in milliseconds.
    pub batch_ms: u64,
    /// Time limit for the answer of a witness, after which it is replaced, in milliseconds.
    pub ack_ms: u64,
    /// Interval of heartbeats (empty appends) while there are no tokens to append, in milliseconds.
    #[serde(rename = "beat_ms")]
    pub heartbeat_ms: u64,
    /// How long a host that failed as a witness is excluded, in milliseconds.
    pub avoid_ms: u64,
    /// Whether output waits (`true`) or continues (`false`) while no witness is available.
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

/// An action for the router to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an append with the tokens from `from` on, and report its result with the number `call`
    /// to [`Replicator::on_ack`], [`Replicator::on_refused`] or [`Replicator::on_failed`].
    Send {
        /// The witness.
        host: HostId,
        /// The offset of the first token to send.
        from: Offset,
        /// Whether the append includes the header.
        with_header: bool,
        /// The number of this append.
        call: u64,
    },
    /// Tokens before this offset may be delivered.
    Release(Offset),
    /// Another router has taken the request over under this epoch.
    Superseded(Epoch),
}

/// The append in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
struct PendingAppend {
    call: u64,
    sent: Millis,
}

/// A host that failed as a witness, and until when it is excluded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct FailedHost {
    host: HostId,
    until: Millis,
}

/// Replication state of the journal of one request.
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
    /// The offset before which the current witness holds all tokens.
    acked: Offset,
    /// Whether the current header and finish reason have been sent to the current witness.
    #[serde(rename = "is_current")]
    header_sent: bool,
    /// When the oldest change was made that has not been sent to the witness; `None` without one.
    #[serde(rename = "dirty")]
    dirty_since: Option<Millis>,
    /// The offset before which tokens may be delivered.
    released: Offset,
    last_ack: Millis,
    switches: u64,
}

impl Replicator {
    /// Starts without tokens and without a witness; `candidates` are tried in order.
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

    /// Replaces the candidates, and the witness if it is no longer among them.
    pub fn set_candidates(&mut self, now: Millis, candidates: Vec<HostId>, out: &mut Vec<Action>) {
        self.candidates = candidates;
        let is_removed = self
            .witness
            .as_ref()
            .is_some_and(|w| !self.candidates.contains(w));
        if is_removed {
            self.witness = None;
            self.pending = None;
        }
        self.send_due(now, out);
    }

    /// Handles new tokens: the journal has `length` of them now, and is complete if `finished`.
    pub fn grow(&mut self, now: Millis, length: Offset, finished: bool, out: &mut Vec<Action>) {
        self.length = length;
        if finished && !self.finished {
            self.finished = true;
            self.header_sent = false;
        }
        self.dirty_since = self.dirty_since.or(Some(now));
        self.send_due(now, out);
    }

    /// Handles a change of the header.
    pub fn header_changed(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.header_sent = false;
        self.dirty_since = self.dirty_since.or(Some(now));
        self.send_due(now, out);
    }

    /// Handles an acknowledgement: the witness holds the tokens before `held`.
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

    /// Handles a refusal by the witness. A seal ends the ownership even if it answers an older
    /// append; a gap makes the replicator send the missing tokens; any other refusal replaces the
    /// witness.
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

    /// Handles an append that failed in transport: the witness is replaced.
    pub fn on_failed(&mut self, now: Millis, call: u64, out: &mut Vec<Action>) {
        if self.pending.is_some_and(|p| p.call == call) {
            self.drop_witness(now);
            self.send_due(now, out);
        }
    }

    /// Handles time-outs, batches that are due and heartbeats.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        if let Some(p) = self.pending
            && now.since(p.sent).0 >= self.policy.ack_ms
        {
            self.drop_witness(now);
        }
        self.send_due(now, out);
    }

    /// Sends an append, even without changes, whose acknowledgement confirms the ownership.
    pub fn verify(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.pending = None;
        self.header_sent = false;
        self.dirty_since = Some(now);
        self.send_due(now, out);
    }

    /// The time at which the next [`Self::tick`] is due.
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

    /// Whether this append is the one in flight.
    pub fn is_pending(&self, call: u64) -> bool {
        self.pending.is_some_and(|p| p.call == call)
    }

    /// The current witness; `None` if no candidate is available.
    pub fn witness(&self) -> Option<&HostId> {
        self.witness.as_ref()
    }

    /// Whether every change has been sent and no append is in flight.
    pub fn is_synced(&self) -> bool {
        self.dirty_since.is_none() && self.pending.is_none()
    }

    /// Drops the current witness and excludes it for [`Policy::avoid_ms`].
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

    /// Chooses a witness if there is none, and sends an append if one is due and none is in flight.
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
        // This append contains every change made so far.
        self.dirty_since = None;
    }

    /// Whether a batch or a heartbeat is due.
    fn is_due(&self, now: Millis) -> bool {
        match self.dirty_since {
            Some(dirty) => now.since(dirty).0 >= self.policy.batch_ms,
            None => now.since(self.last_ack).0 >= self.policy.heartbeat_ms,
        }
    }

    /// Chooses the first candidate that is not excluded after a failure.
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

    /// Releases the tokens before `upto` for delivery.
    fn release(&mut self, upto: Offset, out: &mut Vec<Action>) {
        if upto > self.released {
            self.released = upto;
            out.push(Action::Release(upto));
        }
    }
}
