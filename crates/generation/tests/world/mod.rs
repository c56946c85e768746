//! Simulation of three hosts, their engines and one caller, driven step by step.

mod engines;
mod owner;

use base::prelude::*;
use engines::Engines;
use generation::Event;
use journal::choice;
use journal::record::{Append, Header, Refusal, Segment, Snapshot};
use journal::store::{Limits, Store};
use owner::{Owner, Sent};
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;

/// Number of hosts.
pub(crate) const HOSTS: usize = 3;

/// Number of tokens in the complete output.
pub(crate) const LENGTH: u64 = 12;

/// Digest of the request.
const DIGEST: u64 = 7;

/// Maximum number of steps after the failures end, far more than a complete output needs.
const HEAL_STEPS: usize = 6_000;

/// One random step.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    /// An engine stream produces a token.
    Generate(u8),
    /// An owner receives the next frame of a connection.
    Receive(u8),
    /// Time passes, and owners on hosts that are not paused handle it.
    Pass(u16),
    /// A message between hosts arrives.
    Arrive(u8),
    /// A message between hosts is lost.
    Drop(u8),
    /// An engine stream ends with its engine.
    Kill(u8),
    /// A connection to an engine stalls without closing.
    Silence(u8),
    /// A host is paused or continues.
    Pause(u8),
    /// A host restarts with an empty store.
    Restart(u8),
    /// The caller retries its request on a host.
    Retry(u8),
}

impl Arbitrary for Step {
    type Parameters = ();
    type Strategy = BoxedStrategy<Self>;

    fn arbitrary_with((): ()) -> Self::Strategy {
        prop_oneof![
            8 => any::<u8>().prop_map(Self::Generate),
            10 => any::<u8>().prop_map(Self::Receive),
            5 => (0_u16..600).prop_map(Self::Pass),
            10 => any::<u8>().prop_map(Self::Arrive),
            1 => any::<u8>().prop_map(Self::Drop),
            1 => any::<u8>().prop_map(Self::Kill),
            1 => any::<u8>().prop_map(Self::Silence),
            1 => any::<u8>().prop_map(Self::Pause),
            1 => any::<u8>().prop_map(Self::Restart),
            2 => any::<u8>().prop_map(Self::Retry),
        ]
        .boxed()
    }
}

/// A message to a host, or the answer to one.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    /// An append to the host `to` from the owner numbered `from`.
    Append {
        to: usize,
        from: u64,
        call: u64,
        append: Box<Append>,
    },
    /// The answer to an append, for the owner that sent it.
    Answer {
        owner: u64,
        call: u64,
        answer: Result<Offset, Refusal>,
    },
}

/// One host.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) store: Store,
    pub(crate) is_paused: bool,
}

/// State of the caller.
#[derive(Debug, Default)]
struct Caller {
    /// Number of the owner that serves its connection.
    owner: Option<u64>,
    generation: GenerationId,
    tokens: Vec<Token>,
    is_done: bool,
}

/// State of the simulation.
#[derive(Debug)]
pub(crate) struct World {
    now: Millis,
    is_required: bool,
    pub(crate) hosts: Vec<Host>,
    pub(crate) engines: Engines,
    owners: Vec<Owner>,
    messages: Vec<Message>,
    caller: Caller,
    last_number: u64,
    /// The last seal that every host answered, and the tokens of the latest journal sealed.
    sealed: Option<(Epoch, Vec<Token>)>,
    violation: Option<String>,
}

impl World {
    pub(crate) fn new(is_required: bool) -> Self {
        let host = || Host {
            store: Store::new(Limits::default()),
            is_paused: false,
        };
        let mut world = Self {
            now: Millis(0),
            is_required,
            hosts: (0..HOSTS).map(|_| host()).collect(),
            engines: Engines::default(),
            owners: Vec::new(),
            messages: Vec::new(),
            caller: Caller::default(),
            last_number: 0,
            sealed: None,
            violation: None,
        };
        world.retry(0);
        world
    }

    pub(crate) fn step(&mut self, step: Step) {
        match step {
            Step::Generate(n) => self.engines.generate(n.into()),
            Step::Receive(n) => self.receive(n.into()),
            Step::Pass(ms) => self.pass(ms.into()),
            Step::Arrive(n) => self.arrive(n.into()),
            Step::Drop(n) => self.drop_message(n.into()),
            Step::Kill(n) => self.engines.kill(n.into()),
            Step::Silence(n) => self.engines.silence(n.into()),
            Step::Pause(n) => {
                let host = &mut self.hosts[usize::from(n) % HOSTS];
                host.is_paused = !host.is_paused;
            }
            Step::Restart(n) => self.restart(usize::from(n) % HOSTS),
            Step::Retry(n) => self.retry(usize::from(n) % HOSTS),
        }
    }

    /// Ends all failures and lets the caller retry until its output is complete.
    pub(crate) fn heal(&mut self) {
        for host in &mut self.hosts {
            host.is_paused = false;
        }
        for i in 0..HEAL_STEPS {
            if self.is_complete() {
                return;
            }
            if i % 600 == 599 || !self.has_owner() {
                self.retry(i / 600 % HOSTS);
            }
            self.engines.generate(i);
            self.receive(i);
            self.arrive(0);
            if i % 4 == 0 {
                self.pass(20);
            }
        }
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.caller.is_done && self.caller.tokens.len() as u64 == LENGTH
    }

    /// Checks the invariants that hold after each step.
    pub(crate) fn check(&self) -> Result<(), TestCaseError> {
        if let Some(violation) = &self.violation {
            return Err(TestCaseError::fail(violation.clone()));
        }
        let tokens = &self.caller.tokens;
        for (i, pair) in tokens.windows(2).enumerate() {
            let expected = engines::following(pair[0].id);
            prop_assert_eq!(
                pair[1].id,
                expected.id,
                "tokens of different generations are mixed at offset {}",
                i + 1
            );
        }
        Ok(())
    }

    /// Whether the owner that serves the caller's connection is still running.
    fn has_owner(&self) -> bool {
        let is_own = |o: &Owner| Some(o.number) == self.caller.owner && !o.generation.is_over();
        self.owners.iter().any(is_own)
    }

    fn pass(&mut self, ms: u64) {
        self.now = self.now + Millis(ms);
        for i in 0..self.owners.len() {
            self.pass_event(i, Event::Tick);
            let now = self.now;
            if !self.hosts[self.owners[i].host].is_paused {
                let mut out = Vec::new();
                self.owners[i].replicator.tick(now, &mut out);
                self.on_replicator(i, out);
            }
        }
    }

    fn receive(&mut self, n: usize) {
        let count = self.owners.len();
        if count == 0 {
            return;
        }
        let i = n % count;
        if self.hosts[self.owners[i].host].is_paused {
            return;
        }
        let next = self.owners[i].generation.next_offset();
        if let Some(event) = self.engines.next_event(self.owners[i].number, n, next) {
            self.pass_event(i, event);
        }
    }

    fn arrive(&mut self, n: usize) {
        let reachable: Vec<usize> = (0..self.messages.len())
            .filter(|i| self.is_reachable(&self.messages[*i]))
            .collect();
        if reachable.is_empty() {
            return;
        }
        let message = self.messages.remove(reachable[n % reachable.len()]);
        match message {
            Message::Append {
                to,
                from,
                call,
                append,
            } => {
                let answer = self.hosts[to].store.append(self.now, *append);
                self.messages.push(Message::Answer {
                    owner: from,
                    call,
                    answer,
                });
            }
            Message::Answer {
                owner,
                call,
                answer,
            } => self.answered(owner, call, answer),
        }
    }

    fn is_reachable(&self, message: &Message) -> bool {
        match message {
            Message::Append { to, .. } => !self.hosts[*to].is_paused,
            Message::Answer { owner, .. } => {
                let found = self.owners.iter().find(|o| o.number == *owner);
                found.is_none_or(|o| !self.hosts[o.host].is_paused)
            }
        }
    }

    fn answered(&mut self, owner: u64, call: u64, answer: Result<Offset, Refusal>) {
        let Some(i) = self.owners.iter().position(|o| o.number == owner) else {
            return;
        };
        let now = self.now;
        let mut out = Vec::new();
        let is_expected = self.owners[i].replicator.is_pending(call);
        match answer {
            Ok(held) => self.owners[i].replicator.on_ack(now, call, held, &mut out),
            Err(refusal) => self.owners[i]
                .replicator
                .on_refused(now, call, refusal, &mut out),
        }
        self.on_replicator(i, out);
        if is_expected && answer.is_ok() && self.owners[i].is_verifying {
            self.owners[i].is_verifying = false;
            self.pass_event(i, Event::Verified);
        }
    }

    fn drop_message(&mut self, n: usize) {
        if !self.messages.is_empty() {
            self.messages.remove(n % self.messages.len());
        }
    }

    fn restart(&mut self, host: usize) {
        self.hosts[host].store = Store::new(Limits::default());
        self.hosts[host].is_paused = false;
        let dead: Vec<u64> = self
            .owners
            .iter()
            .filter(|o| o.host == host)
            .map(|o| o.number)
            .collect();
        self.owners.retain(|o| o.host != host);
        self.engines.disconnect(&dead);
        // The host has lost its seals with its journals.
        self.sealed = None;
    }

    /// Retries the request on `host`, which seals the journals and takes over.
    fn retry(&mut self, host: usize) {
        if self.caller.is_done || self.hosts[host].is_paused {
            return;
        }
        self.last_number += 1;
        let number = self.last_number;
        let key = key();
        let round = self.hosts[host].store.fence(&key).unwrap_or_default();
        let mut epoch = round.next_for(Incarnation(number));
        let sealed = loop {
            match self.seal(epoch) {
                Ok(sealed) => break sealed,
                Err(higher) => epoch = higher.next_for(Incarnation(number)),
            }
        };
        self.take_over(host, number, epoch, sealed);
    }

    /// Seals the journals on all hosts; the entry of a paused host, which does not answer, is
    /// `None`.
    fn seal(&mut self, epoch: Epoch) -> Result<Vec<Option<Option<Snapshot>>>, Epoch> {
        let now = self.now;
        let mut sealed = Vec::new();
        for host in &mut self.hosts {
            if host.is_paused {
                sealed.push(None);
                continue;
            }
            match host.store.seal(now, &key(), epoch, DIGEST) {
                Ok(snapshot) => sealed.push(Some(snapshot)),
                Err(Refusal::Sealed(higher)) => return Err(higher),
                Err(other) => panic!("seal refused: {other}"),
            }
        }
        Ok(sealed)
    }

    fn take_over(
        &mut self,
        host: usize,
        number: u64,
        epoch: Epoch,
        sealed: Vec<Option<Option<Snapshot>>>,
    ) {
        let is_complete = sealed.iter().all(Option::is_some);
        let latest = choice::latest(sealed.into_iter().flatten().flatten().collect());
        if is_complete {
            let tokens = latest.as_ref().map(|s| s.tokens.clone());
            self.sealed = Some((epoch, tokens.unwrap_or_default()));
        }
        let reached = Offset(self.caller.tokens.len() as u64);
        let is_first = self.caller.owner.is_none();
        self.caller.owner = Some(number);
        let usable = latest.filter(|s| {
            let length = Offset(s.tokens.len() as u64);
            is_first || s.header.covers(self.caller.generation, reached, length)
        });
        let (header, tokens, is_whole) = match usable {
            Some(snapshot) => {
                let mut header = snapshot.header;
                if !is_complete && snapshot.finish.is_none() {
                    header.lineage.push(Segment {
                        generation: GenerationId(number),
                        start: Offset(snapshot.tokens.len() as u64),
                    });
                }
                (header, snapshot.tokens, snapshot.finish.is_some())
            }
            None => {
                // The caller is told to discard its tokens.
                self.caller.tokens.clear();
                (fresh(number), Vec::new(), false)
            }
        };
        let delivered = Offset(self.caller.tokens.len() as u64);
        self.caller.generation = header.generation();
        let owner = Owner::new(
            self.now,
            (host, number, epoch),
            header,
            (tokens, is_whole, delivered),
            self.is_required,
        );
        self.owners.push(owner);
        let i = self.owners.len() - 1;
        let sent = self.owners[i].start(self.now, &mut self.engines);
        self.carry_out(i, sent);
    }

    /// Passes an event to an owner, unless its host is paused.
    fn pass_event(&mut self, i: usize, event: Event) {
        if self.hosts[self.owners[i].host].is_paused {
            return;
        }
        let sent = self.owners[i].on(self.now, event, &mut self.engines);
        self.carry_out(i, sent);
    }

    fn on_replicator(&mut self, i: usize, actions: Vec<journal::replicator::Action>) {
        let sent = self.owners[i].on_replicator(self.now, actions, &mut self.engines);
        self.carry_out(i, sent);
    }

    fn carry_out(&mut self, i: usize, sent: Vec<Sent>) {
        for one in sent {
            let owner = &self.owners[i];
            match one {
                Sent::Local(append) => {
                    let host = owner.host;
                    let answer = self.hosts[host].store.append(self.now, append);
                    if matches!(answer, Err(Refusal::Sealed(_))) {
                        self.pass_event(i, Event::Superseded);
                    }
                }
                Sent::Append { to, call, append } => self.messages.push(Message::Append {
                    to,
                    from: owner.number,
                    call,
                    append: Box::new(append),
                }),
                Sent::Deliver(from, tokens) => self.deliver(i, from, tokens),
                Sent::Finish => {
                    if self.caller.owner == Some(owner.number) {
                        self.caller.is_done = true;
                    }
                }
                Sent::Restart => {
                    if self.caller.owner == Some(owner.number) {
                        self.caller.tokens.clear();
                    }
                }
            }
        }
    }

    /// Whether an owner of `epoch` may deliver `tokens`. After a seal, an older owner may deliver
    /// only tokens in the sealed journal: their acknowledgement may have been in transit at the
    /// time.
    fn is_allowed(&self, epoch: Epoch, from: Offset, tokens: &[Token]) -> bool {
        let Some((sealed, journal)) = &self.sealed else {
            return true;
        };
        let from = from.0 as usize;
        epoch >= *sealed || journal.get(from..from + tokens.len()) == Some(tokens)
    }

    fn deliver(&mut self, i: usize, from: Offset, tokens: Vec<Token>) {
        let owner = &self.owners[i];
        if self.is_required && !self.is_allowed(owner.epoch, from, &tokens) {
            let text = format!(
                "owner {} delivered tokens that are not in the sealed journal",
                owner.number
            );
            self.violation = Some(text);
        }
        if self.caller.owner != Some(owner.number) {
            // The caller has closed the connection to this owner.
            return;
        }
        if from.0 != self.caller.tokens.len() as u64 {
            let held = self.caller.tokens.len();
            self.violation = Some(format!(
                "delivered from offset {from} to a caller that holds {held} tokens"
            ));
        }
        self.caller.generation = owner.header.generation();
        self.caller.tokens.extend(tokens);
    }
}

/// Key of the request.
pub(crate) fn key() -> RequestKey {
    RequestKey::from("workspace/request")
}

fn fresh(number: u64) -> Header {
    Header {
        digest: DIGEST,
        lineage: vec![Segment {
            generation: GenerationId(number),
            start: Offset(0),
        }],
        ..Header::default()
    }
}
