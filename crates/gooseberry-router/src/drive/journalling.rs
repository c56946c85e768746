//! Journalling of one generation: appends to this host's own journal and to that of the witness.

use base::prelude::*;
use generation::Event;
use journal::record::{Append, Refusal};
use journal::replicator::Action;

use super::Driver;
use crate::links::{AppendAck, QueuedAppend, ReplyTo};

impl Driver {
    /// Appends the tokens before `length` to the journals.
    pub(super) fn journal(&mut self, length: Offset, finished: bool) {
        if !self.append_local() {
            return;
        }
        let now = self.router.timer.now();
        let mut actions = Vec::new();
        self.replica.grow(now, length, finished, &mut actions);
        self.perform_replica(actions);
    }

    /// Appends a changed header to the journals.
    pub(super) fn write_header(&mut self) {
        if !self.append_local() {
            return;
        }
        let now = self.router.timer.now();
        let mut actions = Vec::new();
        self.replica.header_changed(now, &mut actions);
        self.perform_replica(actions);
    }

    /// Verifies, by an append to the witness, that no other router has taken the request over.
    pub(super) fn verify(&mut self) {
        if !self.append_local() {
            return;
        }
        if self.replica.witness().is_none() {
            self.dispatch(Event::Verified);
            return;
        }
        self.is_verifying = true;
        let now = self.router.timer.now();
        let mut actions = Vec::new();
        self.replica.verify(now, &mut actions);
        self.perform_replica(actions);
    }

    /// Processes the answer of a witness to an append, or the lack of one.
    pub(super) fn on_ack(&mut self, ack: AppendAck) {
        let now = self.router.timer.now();
        let is_expected = self.replica.is_pending(ack.call);
        let mut actions = Vec::new();
        match ack.answer {
            Some(Ok(held)) => self.replica.on_ack(now, ack.call, held, &mut actions),
            Some(Err(refusal)) => self
                .replica
                .on_refused(now, ack.call, refusal, &mut actions),
            None => self.replica.on_failed(now, ack.call, &mut actions),
        }
        self.perform_replica(actions);
        let is_confirmed = is_expected && matches!(ack.answer, Some(Ok(_)));
        if self.is_verifying && (is_confirmed || self.replica.witness().is_none()) {
            self.is_verifying = false;
            self.dispatch(Event::Verified);
        }
    }

    pub(super) fn perform_replica(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send {
                    host,
                    from,
                    with_header,
                    call,
                } => self.send(&host, from, with_header, call),
                Action::Release(upto) => self.dispatch(Event::Released(upto)),
                Action::Superseded(_) => self.dispatch(Event::Superseded),
            }
        }
    }

    /// Sends an append with the tokens from `from` on to a witness; reported as failed if the host
    /// is not listed.
    fn send(&mut self, host: &HostId, from: Offset, with_header: bool, call: u64) {
        let sender = self.ack_sender.clone();
        let Some(addr) = self.router.address(host) else {
            let unanswered = AppendAck { call, answer: None };
            // Cannot fail: the receiver belongs to this driver.
            let _ = sender.send(unanswered);
            return;
        };
        let append = self.append_from(from, with_header);
        let reply = ReplyTo { call, sender };
        self.router
            .links
            .peer(addr)
            .append(QueuedAppend { append, reply });
    }

    /// Appends new tokens and the header to this host's own journal; `false` if another router has
    /// taken the request over.
    pub(super) fn append_local(&mut self) -> bool {
        let now = self.router.timer.now();
        self.last_append = now;
        let append = self.append_from(self.local_length, true);
        match self.router.journals.append(now, append) {
            Ok(held) => self.local_length = held,
            Err(Refusal::Sealed(_)) => {
                self.dispatch(Event::Superseded);
                return false;
            }
            // If there is no room here, only the witness keeps the journal.
            Err(_) => {}
        }
        true
    }

    /// Builds an append with the tokens from `from` on.
    fn append_from(&self, from: Offset, with_header: bool) -> Append {
        let tokens = self.generation.tokens();
        let from = Offset(from.0.min(tokens.len() as u64));
        Append {
            key: self.job.key.clone(),
            epoch: self.epoch,
            header: with_header.then(|| self.header.clone()),
            from,
            tokens: tokens[from.0 as usize..].to_vec(),
            finish: self.end.filter(|_| self.generation.is_complete()),
        }
    }

    /// Closes the journal, here and at the witness: the caller has the complete output, so that no
    /// takeover needs it.
    pub(super) fn close_journal(&self) {
        let now = self.router.timer.now();
        self.router.journals.close(now, &self.job.key, self.epoch);
        let witness = self.replica.witness();
        let Some(addr) = witness.and_then(|h| self.router.address(h)) else {
            return;
        };
        let peer = self.router.links.peer(addr);
        let (key, epoch) = (self.job.key.clone(), self.epoch);
        tokio::spawn(async move {
            // If the call fails, the journal at the witness expires later.
            let _ = peer.link.close(&key, epoch, CLOSE_TIMEOUT).await;
        });
    }
}

/// Time limit of the call that closes the journal at the witness.
const CLOSE_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(1_000);
