//! The roster of a host after random sequences of row changes and registry outages, on virtual time.

use base::prelude::*;
use membership::roster::{Change, Entry, RECOVERY_GRACE, Roster, State};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// An event at the registry or on the connection to it.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A server writes its row.
    Write(u8, State),
    /// The registry removes a row; unless `is_gone`, the server still runs and writes it again.
    Drop { server: u8, is_gone: bool },
    /// The registry stops answering.
    Unavailable,
    /// It answers again, with the changes since the outage began.
    Recovered,
    /// It answers again without its change history, so that a full read is needed.
    Compacted,
    /// Time passes, in milliseconds.
    Wait(u64),
}

/// The registry with its change log, and the roster of one host.
#[derive(Default)]
struct World {
    now: Millis,
    revision: u64,
    rows: Vec<(BackendId, Entry, u64)>,
    /// Changes that the host has not received yet.
    log: Vec<(BackendId, Option<Entry>, u64)>,
    is_unavailable: bool,
    roster: Roster,
}

fn id(server: u8) -> BackendId {
    BackendId::from(format!("s-{server}").as_str())
}

fn entry(server: u8, state: State) -> Entry {
    Entry {
        service: ServiceName::from("engine"),
        addr: ([10, 0, 0, server], 80).into(),
        centre: DataCentre::from("a"),
        state,
        slots: 4,
        start_time: 1,
    }
}

impl World {
    fn write(&mut self, server: u8, state: State) {
        self.revision += 1;
        let (id, entry) = (id(server), entry(server, state));
        self.rows.retain(|(i, ..)| *i != id);
        self.rows.push((id.clone(), entry.clone(), self.revision));
        self.log.push((id, Some(entry), self.revision));
    }

    fn drop_row(&mut self, server: u8) {
        self.revision += 1;
        self.rows.retain(|(i, ..)| *i != id(server));
        self.log.push((id(server), None, self.revision));
    }

    /// Delivers the outstanding changes to the host unless the registry is unavailable.
    fn deliver(&mut self) {
        if self.is_unavailable {
            return;
        }
        for (id, entry, revision) in std::mem::take(&mut self.log) {
            match entry {
                Some(entry) => self.roster.put(id, entry, revision),
                None => self.roster.remove(&id, revision, self.now),
            };
        }
    }

    fn read_full(&mut self) {
        self.log.clear();
        for (id, entry, revision) in self.rows.clone() {
            self.roster.put(id, entry, revision);
        }
        let mut listed: Vec<BackendId> = self.rows.iter().map(|(i, ..)| i.clone()).collect();
        listed.sort();
        self.roster.retain_listed(&listed, self.revision, self.now);
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Write(server, state) => self.write(server, state),
            Event::Drop { server, is_gone } => {
                self.drop_row(server);
                if !is_gone {
                    self.deliver();
                    self.write(server, State::Serving);
                }
            }
            Event::Unavailable => {
                self.is_unavailable = true;
                self.roster.registry_unavailable();
            }
            Event::Recovered | Event::Compacted if self.is_unavailable => {
                self.is_unavailable = false;
                self.roster.registry_available(self.now);
                if matches!(event, Event::Compacted) {
                    self.read_full();
                }
            }
            Event::Recovered | Event::Compacted => {}
            Event::Wait(time) => {
                self.now = self.now + Millis(time);
                self.roster.expire(self.now);
            }
        }
        self.deliver();
    }

    fn usable(&self) -> Vec<BackendId> {
        let usable = self.roster.iter().filter(|(_, m)| m.is_usable(self.now));
        usable.map(|(id, _)| id.clone()).collect()
    }

    fn serving(&self) -> Vec<BackendId> {
        let serving = self
            .rows
            .iter()
            .filter(|(_, e, _)| e.state == State::Serving);
        let mut serving: Vec<BackendId> = serving.map(|(id, ..)| id.clone()).collect();
        serving.sort();
        serving
    }
}

fn event() -> impl Strategy<Value = Event> {
    let state = prop_oneof![3 => Just(State::Serving), 1 => Just(State::Leaving)];
    prop_oneof![
        4 => (0..6_u8, state).prop_map(|(s, state)| Event::Write(s, state)),
        2 => (0..6_u8, any::<bool>()).prop_map(|(server, is_gone)| Event::Drop { server, is_gone }),
        1 => Just(Event::Unavailable),
        1 => Just(Event::Recovered),
        1 => Just(Event::Compacted),
        2 => (1..3_000_u64).prop_map(Event::Wait),
    ]
}

fn run(check: impl Fn(Vec<Event>) -> Result<(), TestCaseError>) {
    let config = Config {
        cases: 2_000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let events = prop::collection::vec(event(), 1..40);
    runner.run(&events, check).unwrap();
}

/// After an outage the usable servers match the registry once the grace time has ended.
#[test]
fn converges_to_registry() {
    run(|events| {
        let mut world = World::default();
        for event in events {
            world.step(event);
        }
        world.step(Event::Recovered);
        world.step(Event::Wait(RECOVERY_GRACE.0));
        prop_assert_eq!(world.usable(), world.serving());
        Ok(())
    });
}

/// A server is unusable as soon as the host receives its leaving state.
#[test]
fn leaving_server_is_unusable_at_once() {
    run(|events| {
        let mut world = World::default();
        for event in events {
            world.step(event);
            if !world.is_unavailable {
                let usable = world.usable();
                let is_leaving = |(id, e, _): &&(BackendId, Entry, u64)| {
                    e.state == State::Leaving && usable.contains(id)
                };
                prop_assert!(world.rows.iter().find(is_leaving).is_none());
            }
        }
        Ok(())
    });
}

/// During a registry outage usable servers stay usable and no others become usable.
#[test]
fn outage_keeps_usable_servers() {
    run(|events| {
        let mut world = World::default();
        let mut held = None;
        for event in events {
            let is_wait = matches!(event, Event::Wait(_));
            world.step(event);
            if !world.is_unavailable {
                held = None;
                continue;
            }
            let usable = world.usable();
            let before = held.replace(usable.clone()).unwrap_or(usable.clone());
            // A removal received before the outage may take effect during it, when its grace time ends.
            prop_assert!(usable.iter().all(|id| before.contains(id)));
            prop_assert!(is_wait || usable == before);
        }
        Ok(())
    });
}

/// Without an earlier outage a removal takes effect at once.
#[test]
fn removal_without_outage() {
    let mut world = World::default();
    world.step(Event::Write(1, State::Serving));
    assert_eq!(world.usable(), [id(1)]);
    world.drop_row(1);
    let revision = world.revision;
    assert_eq!(
        world.roster.remove(&id(1), revision, world.now),
        Change::Removed
    );
}
