//! Random failures, pauses, cuts and departures: the views of agents hold their invariants at any time, and
//! match the actual state after a period without events.

#[expect(dead_code, reason = "each test uses a part of the simulation")]
mod sim;

use base::prelude::*;
use membership::hosts::Status;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use sim::Sim;

const HOSTS: [&str; 5] = ["a1", "a2", "a3", "b1", "b2"];
const SERVERS: [&str; 4] = ["e1", "e2", "f1", "f2"];

/// Time without events after which the views must match the actual state.
const SETTLE_TIME: Millis = Millis(90_000);

/// Time after which a stopped or paused host must not count as alive in its data centre.
const DETECTION_TIME: Millis = Millis(2_000);

#[derive(Clone, Debug)]
enum Step {
    Run(u64),
    Restart(usize),
    Kill(usize),
    Pause(usize),
    Wake(usize),
    Cut(usize, usize),
    Join,
    Leave(usize),
    ServerDown(usize),
    ServerUp(usize),
    ServerLeaves(usize, bool),
    List(usize, bool, usize),
}

fn step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS.len();
    let server = 0..SERVERS.len();
    prop_oneof![
        4 => (50u64..4_000).prop_map(Step::Run),
        1 => host.clone().prop_map(Step::Restart),
        1 => host.clone().prop_map(Step::Kill),
        2 => host.clone().prop_map(Step::Pause),
        2 => host.clone().prop_map(Step::Wake),
        2 => (host.clone(), host.clone()).prop_map(|(a, b)| Step::Cut(a, b)),
        1 => Just(Step::Join),
        1 => host.clone().prop_map(Step::Leave),
        2 => server.clone().prop_map(Step::ServerDown),
        2 => server.clone().prop_map(Step::ServerUp),
        1 => (server.clone(), any::<bool>()).prop_map(|(s, l)| Step::ServerLeaves(s, l)),
        1 => (server, any::<bool>(), host).prop_map(|(s, l, h)| Step::List(s, l, h)),
    ]
}

/// A simulation with its actual state and the leaving marks that agents have shown.
struct World {
    sim: Sim,
    last_incarnation: u64,
    /// Since when each host is stopped or paused.
    down_since: Vec<Option<Millis>>,
    /// Observer, member and incarnation for each leaving mark seen so far.
    leaving: Vec<(usize, String, Option<Incarnation>)>,
}

impl World {
    fn new() -> Self {
        let mut sim = Sim::default();
        for name in HOSTS {
            sim.add_host(name, &name[..1]);
        }
        for name in SERVERS {
            sim.add_server(name, if name.starts_with('e') { "a" } else { "b" });
        }
        for name in HOSTS {
            sim.start(name, 1);
        }
        let down_since = vec![None; HOSTS.len()];
        let (last_incarnation, leaving) = (1, Vec::new());
        Self {
            sim,
            last_incarnation,
            down_since,
            leaving,
        }
    }

    fn apply(&mut self, step: &Step) {
        let sim = &mut self.sim;
        self.last_incarnation += 1;
        match *step {
            Step::Run(ms) => sim.run(Millis(ms)),
            Step::Restart(h) => {
                sim.start(HOSTS[h], self.last_incarnation);
                sim.agent(HOSTS[h]).paused = false;
                self.leaving.retain(|(observer, ..)| *observer != h);
                self.down_since[h] = None;
            }
            Step::Kill(h) => {
                sim.agent(HOSTS[h]).members = None;
                let now = sim.now;
                self.down_since[h].get_or_insert(now);
            }
            Step::Pause(h) => {
                sim.agent(HOSTS[h]).paused = true;
                let now = sim.now;
                self.down_since[h].get_or_insert(now);
            }
            Step::Wake(h) => {
                sim.agent(HOSTS[h]).paused = false;
                self.down_since[h] = None;
            }
            Step::Cut(a, b) => sim
                .cuts
                .push((HostId::from(HOSTS[a]), HostId::from(HOSTS[b]))),
            Step::Join => sim.cuts.clear(),
            Step::Leave(h) => {
                let members = sim.agent(HOSTS[h]).members.as_mut();
                members.into_iter().for_each(|m| m.leave());
            }
            Step::ServerDown(s) => sim.server(SERVERS[s]).is_up = false,
            Step::ServerUp(s) => {
                let incarnation = self.last_incarnation;
                let server = sim.server(SERVERS[s]);
                if !server.is_up {
                    server.report.incarnation = Incarnation(incarnation);
                    server.report.leaving = false;
                }
                server.is_up = true;
            }
            Step::ServerLeaves(s, leaving) => sim.server(SERVERS[s]).report.leaving = leaving,
            Step::List(s, leaving, h) => {
                sim.server(SERVERS[s]).listed.leaving = leaving;
                sim.read_list(HOSTS[h]);
            }
        }
    }

    /// Checks the invariants that hold at any time: hosts that are down are detected in their data centre,
    /// and an incarnation that is leaving stays so.
    fn check(&mut self) -> Result<(), TestCaseError> {
        for (i, observer) in HOSTS.iter().enumerate() {
            let now = self.sim.now;
            let agent = self.sim.agent(observer);
            let Some(members) = sim::running(agent) else {
                continue;
            };
            members.refresh(now);
            for (id, host) in members.hosts() {
                let is_near = id.as_str()[..1] == observer[..1];
                let down = HOSTS.iter().position(|h| *h == id.as_str());
                let down = down.and_then(|h| self.down_since[h]);
                let is_down = down.is_some_and(|at| now.since(at) > DETECTION_TIME);
                let was_awake = self.down_since[i].is_none();
                if is_near && is_down && was_awake {
                    prop_assert_ne!(host.status, Status::Alive, "{} of {}", observer, id);
                }
            }
            let hosts = members.hosts().map(|(id, h)| (id.as_str(), &h.lifecycle));
            let servers = members
                .backends()
                .map(|(id, b)| (id.as_str(), &b.lifecycle));
            for (id, lifecycle) in hosts.chain(servers) {
                let fact = (i, id.to_owned(), lifecycle.incarnation);
                if self.leaving.contains(&fact) {
                    prop_assert!(
                        lifecycle.leaving,
                        "{observer} no longer has {id} as leaving"
                    );
                } else if lifecycle.leaving {
                    self.leaving.push(fact);
                }
            }
        }
        Ok(())
    }

    /// After [`SETTLE_TIME`], every agent knows which members run and with which incarnation.
    fn check_settled(&mut self) -> Result<(), TestCaseError> {
        self.sim.cuts.clear();
        for name in HOSTS {
            self.sim.agent(name).paused = false;
        }
        self.down_since.fill(None);
        self.sim.run(SETTLE_TIME);
        self.check()?;
        let running: Vec<(HostId, Incarnation)> = (self.sim.agents.iter())
            .filter_map(|a| Some((a.name.clone(), a.members.as_ref()?.own().incarnation())))
            .collect();
        for agent in &self.sim.agents {
            let Some(members) = &agent.members else {
                continue;
            };
            for (id, host) in members.hosts() {
                let actual = running.iter().find(|(l, _)| l == id).map(|(_, i)| *i);
                let (name, standing) = (&agent.name, host.status);
                prop_assert_eq!(
                    host.is_usable(),
                    actual.is_some(),
                    "{}: {} {}",
                    name,
                    id,
                    standing
                );
                let is_known = actual.is_none() || actual == host.lifecycle.incarnation;
                prop_assert!(is_known, "{} has a past incarnation of {}", name, id);
            }
            for (id, backend) in members.backends() {
                let server = self.sim.servers.iter().find(|s| s.listed.backend == *id);
                let Some(server) = server else { continue };
                let centre = server.listed.data_centre.as_str();
                let is_watched = running.iter().any(|(l, _)| l.as_str().starts_with(centre));
                let is_alive = server.is_up && is_watched;
                prop_assert_eq!(backend.is_alive(), is_alive, "{} on {}", &agent.name, id);
                let actual = Some(server.report.incarnation);
                let is_known = backend.lifecycle.incarnation == actual || !is_alive;
                prop_assert!(is_known, "{} has a past incarnation of {}", agent.name, id);
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 96,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn views_are_sound_and_converge(steps in prop::collection::vec(step(), 1..40)) {
        let mut world = World::new();
        world.sim.run(Millis(8_000));
        for step in &steps {
            world.apply(step);
            world.check()?;
        }
        world.check_settled()?;
    }
}
