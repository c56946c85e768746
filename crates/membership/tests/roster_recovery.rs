//! What a host believes of the backend servers after any history of rows, outages and losses, on virtual
//! time.

use base::prelude::*;
use membership::roster::{Change, Entry, RECOVERY_GRACE, Roster, State};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// What happens at the registry or to its connection.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A server writes its row.
    Write(u8, State),
    /// A row goes; if not `is_gone`, the server lives and writes it again.
    Drop { server: u8, is_gone: bool },
    /// The registry answers no more.
    Lost,
    /// It answers again, with the changes since.
    Back,
    /// It answers again, and has forgotten its history; it is read whole.
    Forgot,
    /// Time passes.
    Wait(u64),
}

/// The registry, its log, and what one host was told of it.
#[derive(Default)]
struct World {
    now: Millis,
    revision: u64,
    rows: Vec<(BackendId, Entry, u64)>,
    /// Changes that the host was not told yet.
    log: Vec<(BackendId, Option<Entry>, u64)>,
    is_away: bool,
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

    /// Tells the host what it has missed, unless the registry is away.
    fn tell(&mut self) {
        if self.is_away {
            return;
        }
        for (id, entry, revision) in std::mem::take(&mut self.log) {
            match entry {
                Some(entry) => self.roster.put(id, entry, revision),
                None => self.roster.remove(&id, revision, self.now),
            };
        }
    }

    fn read_whole(&mut self) {
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
                    self.tell();
                    self.write(server, State::Serving);
                }
            }
            Event::Lost => {
                self.is_away = true;
                self.roster.registry_unavailable();
            }
            Event::Back | Event::Forgot if self.is_away => {
                self.is_away = false;
                self.roster.registry_available(self.now);
                if matches!(event, Event::Forgot) {
                    self.read_whole();
                }
            }
            Event::Back | Event::Forgot => {}
            Event::Wait(time) => {
                self.now = self.now + Millis(time);
                self.roster.expire(self.now);
            }
        }
        self.tell();
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
        1 => Just(Event::Lost),
        1 => Just(Event::Back),
        1 => Just(Event::Forgot),
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

/// After an outage every host ends with what the registry lists, once the grace is over.
#[test]
fn converges_to_registry() {
    run(|events| {
        let mut world = World::default();
        for event in events {
            world.step(event);
        }
        world.step(Event::Back);
        world.step(Event::Wait(RECOVERY_GRACE.0));
        prop_assert_eq!(world.usable(), world.serving());
        Ok(())
    });
}

/// A server that reports that it leaves is not used from the moment at which the host is told.
#[test]
fn leaving_server_is_unusable_at_once() {
    run(|events| {
        let mut world = World::default();
        for event in events {
            world.step(event);
            if !world.is_away {
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

/// While the registry is away nothing that was usable is given up, and nothing new is believed.
#[test]
fn outage_keeps_usable_servers() {
    run(|events| {
        let mut world = World::default();
        let mut held = None;
        for event in events {
            let is_wait = matches!(event, Event::Wait(_));
            world.step(event);
            if !world.is_away {
                held = None;
                continue;
            }
            let usable = world.usable();
            let before = held.replace(usable.clone()).unwrap_or(usable.clone());
            // A removal that was doubted before the outage takes effect when its grace ends.
            prop_assert!(usable.iter().all(|id| before.contains(id)));
            prop_assert!(is_wait || usable == before);
        }
        Ok(())
    });
}

/// A host that was never cut off believes a removal at once.
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
