//! One owner of the request: its generation and its replicator, driven as in a router.

use base::prelude::*;
use generation::{Action, Event, Generation, Policy};
use journal::record::{Append, FinishReason, Header, StreamRef};
use journal::replicator::{self, Replicator};

use super::engines::Engines;
use super::{HOSTS, key};

/// An output of an owner.
#[derive(Debug)]
pub(crate) enum Sent {
    /// An append to the store of its own host.
    Local(Append),
    /// An append to a witness.
    Append {
        to: usize,
        call: u64,
        append: Append,
    },
    /// Tokens for the caller, from an offset on.
    Deliver(Offset, Vec<Token>),
    /// The complete output was delivered to the caller.
    Finish,
    /// The caller must discard its tokens.
    Restart,
}

/// One owner of the request on one host.
#[derive(Debug)]
pub(crate) struct Owner {
    pub(crate) host: usize,
    pub(crate) number: u64,
    pub(crate) epoch: Epoch,
    pub(crate) header: Header,
    pub(crate) generation: Generation,
    pub(crate) replicator: Replicator,
    pub(crate) is_verifying: bool,
    streams: Vec<(Attempt, usize)>,
    local: Offset,
}

impl Owner {
    pub(crate) fn new(
        now: Millis,
        (host, number, epoch): (usize, u64, Epoch),
        header: Header,
        (tokens, is_whole, delivered): (Vec<Token>, bool, Offset),
        is_required: bool,
    ) -> Self {
        let policy = Policy {
            attempts: u64::MAX,
            stall_ms: u64::MAX,
            ..Policy::default()
        };
        let witness = replicator::Policy {
            required: is_required,
            ..replicator::Policy::default()
        };
        let peers = (0..HOSTS).filter(|h| *h != host);
        let names = peers.map(|h| HostId(h.to_string())).collect();
        let generation = if tokens.is_empty() {
            Generation::new(now, policy)
        } else {
            Generation::takeover(now, policy, tokens, is_whole, delivered)
        };
        Self {
            host,
            number,
            epoch,
            header,
            generation,
            replicator: Replicator::new(now, witness, names),
            is_verifying: false,
            streams: Vec::new(),
            local: Offset(0),
        }
    }

    pub(crate) fn start(&mut self, now: Millis, engines: &mut Engines) -> Vec<Sent> {
        let stream = self.header.stream.as_ref();
        let stream = stream.and_then(|s| s.name.parse::<usize>().ok());
        self.streams.extend(stream.map(|s| (Attempt(1), s)));
        let mut actions = Vec::new();
        self.generation.start(now, stream.is_some(), &mut actions);
        let mut sent = Vec::new();
        self.act(now, actions, engines, &mut sent);
        sent.extend(self.on(now, Event::Tick, engines));
        sent
    }

    pub(crate) fn on(&mut self, now: Millis, event: Event, engines: &mut Engines) -> Vec<Sent> {
        let mut actions = Vec::new();
        self.generation.on_event(now, event, &mut actions);
        let mut sent = Vec::new();
        self.act(now, actions, engines, &mut sent);
        sent
    }

    pub(crate) fn on_replicator(
        &mut self,
        now: Millis,
        actions: Vec<replicator::Action>,
        engines: &mut Engines,
    ) -> Vec<Sent> {
        let mut sent = Vec::new();
        self.act_replicator(now, actions, engines, &mut sent);
        sent
    }

    fn act(
        &mut self,
        now: Millis,
        actions: Vec<Action>,
        engines: &mut Engines,
        sent: &mut Vec<Sent>,
    ) {
        for action in actions {
            match action {
                Action::Open { attempt, .. } => {
                    let stream = engines.open(self.number, attempt, self.generation.tokens());
                    self.streams.push((attempt, stream));
                }
                Action::Reattach { attempt, from } => {
                    let stream = self.stream(attempt);
                    engines.connect(self.number, attempt, stream, from.0);
                }
                Action::Cancel(attempt) => {
                    engines.close(self.number, attempt);
                    engines.cancel(self.stream(attempt));
                }
                Action::Detach(attempt) => engines.close(self.number, attempt),
                Action::SetCurrent(attempt) => self.make_current(now, attempt, engines, sent),
                Action::Journal { length, finished } => {
                    sent.push(Sent::Local(self.append(self.local)));
                    self.local = length;
                    let mut out = Vec::new();
                    self.replicator.grow(now, length, finished, &mut out);
                    self.act_replicator(now, out, engines, sent);
                }
                Action::Verify => self.verify(now, engines, sent),
                Action::Deliver { from, to } => {
                    let tokens = &self.generation.tokens()[from.0 as usize..to.0 as usize];
                    sent.push(Sent::Deliver(from, tokens.to_vec()));
                }
                Action::Finish => sent.push(Sent::Finish),
                Action::Restart => sent.push(Sent::Restart),
                Action::KeepAlive | Action::Recovered { .. } | Action::Fail(_) => {}
            }
        }
    }

    fn make_current(
        &mut self,
        now: Millis,
        attempt: Attempt,
        engines: &mut Engines,
        sent: &mut Vec<Sent>,
    ) {
        self.header.stream = Some(StreamRef {
            name: self.stream(attempt).to_string(),
            backend: BackendId::default(),
            addr: ([127, 0, 0, 1], 1).into(),
            incarnation: Incarnation(0),
        });
        sent.push(Sent::Local(self.append(self.local)));
        let mut out = Vec::new();
        self.replicator.header_changed(now, &mut out);
        self.act_replicator(now, out, engines, sent);
    }

    fn verify(&mut self, now: Millis, engines: &mut Engines, sent: &mut Vec<Sent>) {
        sent.push(Sent::Local(self.append(self.local)));
        if self.replicator.witness().is_none() {
            sent.extend(self.on(now, Event::Verified, engines));
            return;
        }
        self.is_verifying = true;
        let mut out = Vec::new();
        self.replicator.verify(now, &mut out);
        self.act_replicator(now, out, engines, sent);
    }

    fn act_replicator(
        &mut self,
        now: Millis,
        actions: Vec<replicator::Action>,
        engines: &mut Engines,
        sent: &mut Vec<Sent>,
    ) {
        for action in actions {
            match action {
                replicator::Action::Send {
                    host, from, call, ..
                } => sent.push(Sent::Append {
                    to: host.0.parse().expect("hosts are named by number"),
                    call,
                    append: self.append(from),
                }),
                replicator::Action::Release(upto) => {
                    sent.extend(self.on(now, Event::Released(upto), engines));
                }
                replicator::Action::Superseded(_) => {
                    sent.extend(self.on(now, Event::Superseded, engines));
                }
            }
        }
    }

    fn append(&self, from: Offset) -> Append {
        Append {
            key: key(),
            epoch: self.epoch,
            header: Some(self.header.clone()),
            from,
            tokens: self.generation.tokens()[from.0 as usize..].to_vec(),
            finish: self.generation.is_complete().then_some(FinishReason::Stop),
        }
    }

    fn stream(&self, attempt: Attempt) -> usize {
        let found = self.streams.iter().find(|(a, _)| *a == attempt);
        found.expect("the attempt was opened").1
    }
}
