//! Simulation of agents in several data centres; links between two hosts can be cut.

use std::net::SocketAddr;

use base::prelude::*;
use membership::backends::Report;
use membership::listed::{ListedBackend, ListedHost, Place};
use membership::members::Action;
use membership::own::OwnHost;
use membership::{Heartbeat, Members, Policy};

/// The step of the clock.
const STEP: Millis = Millis(50);

/// An entry host with its agent; `members` is `None` while the agent does not run.
pub(crate) struct Agent {
    pub(crate) name: HostId,
    pub(crate) members: Option<Members>,
    pub(crate) paused: bool,
    place: Place,
}

/// A backend server and the report with which it answers polls.
pub(crate) struct Server {
    pub(crate) listed: ListedBackend,
    pub(crate) report: Report,
    pub(crate) is_up: bool,
}

/// The simulated agents, backend servers and host list.
#[derive(Default)]
pub(crate) struct Sim {
    pub(crate) now: Millis,
    pub(crate) agents: Vec<Agent>,
    pub(crate) servers: Vec<Server>,
    pub(crate) list: Vec<ListedHost>,
    pub(crate) cuts: Vec<(HostId, HostId)>,
    pub(crate) polls: u64,
    /// Measures heartbeats; `None` to record no sizes.
    pub(crate) measure: Option<fn(&Heartbeat) -> u64>,
    pub(crate) sizes: Vec<u64>,
}

fn addr(port: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(port).unwrap_or(0)))
}

impl Sim {
    pub(crate) fn add_host(&mut self, name: &str, centre: &str) {
        let port = 1000 + self.agents.len();
        let place = Place {
            data_centre: DataCentre::from(centre),
            router: addr(port + 2000),
            agent: addr(port),
        };
        self.list.push(ListedHost {
            host: HostId::from(name),
            place: place.clone(),
            leaving: false,
        });
        self.agents.push(Agent {
            name: HostId::from(name),
            members: None,
            paused: false,
            place,
        });
    }

    pub(crate) fn add_server(&mut self, name: &str, centre: &str) {
        let listed = ListedBackend {
            backend: BackendId::from(name),
            service: ServiceName::from("draft-model"),
            data_centre: DataCentre::from(centre),
            addr: addr(9000 + self.servers.len()),
            leaving: false,
        };
        let report = Report {
            incarnation: Incarnation(1),
            slots: 32,
            ..Report::default()
        };
        let is_up = true;
        self.servers.push(Server {
            listed,
            report,
            is_up,
        });
    }

    /// Starts or restarts an agent with an incarnation.
    pub(crate) fn start(&mut self, name: &str, incarnation: u64) {
        let now = self.now;
        let agent = self.agent(name);
        let own = OwnHost::new(
            now,
            agent.name.clone(),
            agent.place.clone(),
            Incarnation(incarnation),
        );
        agent.members = Some(Members::new(own, Policy::default()));
        self.read_list(name);
    }

    pub(crate) fn agent(&mut self, name: &str) -> &mut Agent {
        let found = self.agents.iter_mut().find(|a| a.name.as_str() == name);
        found.unwrap_or_else(|| panic!("no host {name}"))
    }

    pub(crate) fn server(&mut self, name: &str) -> &mut Server {
        let is_it = |s: &&mut Server| s.listed.backend.as_str() == name;
        let found = self.servers.iter_mut().find(is_it);
        found.unwrap_or_else(|| panic!("no backend server {name}"))
    }

    /// Lets one agent read the host list.
    pub(crate) fn read_list(&mut self, name: &str) {
        let (now, mut list) = (self.now, self.list.clone());
        list.sort_by(|a, b| a.host.cmp(&b.host));
        let servers = self.servers.iter().map(|s| s.listed.clone());
        let mut servers: Vec<ListedBackend> = servers.collect();
        servers.sort_by(|a, b| a.backend.cmp(&b.backend));
        if let Some(members) = &mut self.agent(name).members {
            members.apply_host_list(now, &list, &servers);
        }
    }

    /// Advances the clock by `span` and runs all agents.
    pub(crate) fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            for i in 0..self.agents.len() {
                self.tick(i);
            }
        }
    }

    /// Runs one agent at the current time.
    pub(crate) fn tick_one(&mut self, name: &str) {
        let i = self.agents.iter().position(|a| a.name.as_str() == name);
        i.into_iter().for_each(|i| self.tick(i));
    }

    fn tick(&mut self, i: usize) {
        let mut actions = Vec::new();
        let now = self.now;
        if let Some(members) = running(&mut self.agents[i]) {
            members.tick(now, &mut actions);
        }
        for action in actions {
            match action {
                Action::Heartbeat { host, .. } => self.exchange(i, &host),
                Action::Poll { backend, .. } => self.poll(i, &backend),
            }
        }
    }

    fn exchange(&mut self, i: usize, to: &HostId) {
        let now = self.now;
        let from = self.agents[i].name.clone();
        let is_cut = |(a, b): &(HostId, HostId)| (*a == from && b == to) || (a == to && *b == from);
        if self.cuts.iter().any(is_cut) {
            return;
        }
        let request = running(&mut self.agents[i]).map(|m| m.heartbeat(now, to));
        let peer = self.agents.iter_mut().find(|a| a.name == *to);
        let Some((peer, request)) = peer.and_then(running).zip(request) else {
            return;
        };
        let sizes = self.measure.map(|size| size(&request));
        self.sizes.extend(sizes);
        peer.receive(now, request);
        let answer = peer.heartbeat(now, &from);
        let sizes = self.measure.map(|size| size(&answer));
        self.sizes.extend(sizes);
        if let Some(members) = running(&mut self.agents[i]) {
            members.receive(now, answer);
        }
    }

    fn poll(&mut self, i: usize, backend: &BackendId) {
        self.polls += 1;
        let now = self.now;
        let server = self.servers.iter().find(|s| s.listed.backend == *backend);
        let report = server.filter(|s| s.is_up).map(|s| s.report.clone());
        if let Some(members) = running(&mut self.agents[i]) {
            members.apply_poll_result(now, backend, report);
        }
    }

    /// The view of an agent, one line per member.
    pub(crate) fn show(&mut self, name: &str) -> String {
        let Some(members) = &self.agent(name).members else {
            return "not running\n".to_owned();
        };
        let mut text = String::new();
        for (id, host) in members.hosts() {
            let incarnation = host.lifecycle.incarnation.map_or(0, |i| i.0);
            let leaving = if host.lifecycle.is_leaving() {
                " leaving"
            } else {
                ""
            };
            text += &format!("{id} {} life={incarnation}{leaving}\n", host.status);
        }
        for (id, backend) in members.backends() {
            let incarnation = backend.lifecycle.incarnation.map_or(0, |i| i.0);
            let alive = if backend.is_alive() { "alive" } else { "dead" };
            let leaving = if backend.lifecycle.is_leaving() {
                " leaving"
            } else {
                ""
            };
            let load = backend.claim().map_or(0, |c| c.report.running);
            text += &format!("{id} {alive} life={incarnation} load={load}{leaving}\n");
        }
        if members.own().lifecycle.leaving {
            text += "this host leaves\n";
        }
        text
    }
}

/// The members of an agent; `None` if it is stopped or paused.
pub(crate) fn running(agent: &mut Agent) -> Option<&mut Members> {
    let paused = agent.paused;
    agent.members.as_mut().filter(|_| !paused)
}
