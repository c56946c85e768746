//! Scripted choices of a server by many routers, see `scenarios/choice.txt`.
//!
//! The servers are simulated: each request placed stays in flight, and load reports are updated only
//! when the script says so, so that routers choose with outdated reports.

use balance::{ChoiceRequest, Health, Rule, Server, choose};
use base::hash::stable;
use base::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

#[derive(Clone, Default)]
struct ServerModel {
    name: String,
    rank: usize,
    slots: u64,
    load: u64,
    reported: u64,
    age: Millis,
    is_frozen: bool,
    cached: u64,
    health: Health,
    in_flight: Vec<u64>,
    at_report: Vec<u64>,
}

struct Simulation {
    servers: Vec<ServerModel>,
    routers: usize,
    now: Millis,
    rule: Rule,
    seed: u64,
}

impl Simulation {
    fn place(
        &mut self,
        router: usize,
        prefix: Option<u64>,
        request: &ChoiceRequest<'_>,
    ) -> Option<usize> {
        let now = self.now;
        let servers: Vec<Server<'_>> = self
            .servers
            .iter()
            .map(|s| Server {
                backend: &s.name,
                is_usable: true,
                rank: s.rank,
                in_flight: s.in_flight[router],
                since_report: s.in_flight[router] as i64 - s.at_report[router] as i64,
                reported_load: s.reported,
                report_age: s.age,
                slots: s.slots,
                cached_blocks: s.cached,
                is_ejected: s.health.is_ejected(now),
                ramp_permille: s.health.ramp_permille(now),
                latency_ms: s.health.latency(now),
                resumes: s.in_flight[router],
            })
            .collect();
        self.seed += 1;
        let request = ChoiceRequest {
            seed: stable(&self.seed.to_le_bytes()),
            sequence: self.seed,
            routers: self.routers as u64,
            prefix,
            rule: self.rule,
            ..request.clone()
        };
        let chosen = choose(&servers, &request)?;
        self.servers[chosen].in_flight[router] += 1;
        self.servers[chosen].load += 1;
        Some(chosen)
    }

    fn report(&mut self) {
        for server in self.servers.iter_mut().filter(|s| !s.is_frozen) {
            server.reported = server.load;
            server.at_report.clone_from(&server.in_flight);
        }
    }

    fn loads(&self) -> String {
        let all: Vec<String> = self.servers.iter().map(|s| s.load.to_string()).collect();
        format!("{}\n", all.join(" "))
    }
}

#[test]
fn server_choice() {
    datadriven::walk("tests/scenarios", |file| {
        let mut simulation = Simulation {
            servers: Vec::new(),
            routers: 1,
            now: Millis(1),
            rule: Rule::Combined,
            seed: 0,
        };
        file.run(|case| {
            let number = |name: &str, or: u64| {
                let value = case.args.get(name).and_then(|v| v.first());
                value.map_or(or, |v| v.parse().expect(name))
            };
            match case.directive.as_str() {
                "servers" => {
                    simulation.routers = number("routers", 1) as usize;
                    simulation.now = Millis(1);
                    let (near, far) = (number("near", 4), number("far", 0));
                    let server = |i: u64| ServerModel {
                        name: format!("engine-{i}"),
                        rank: usize::from(i >= near),
                        slots: number("slots", 8),
                        in_flight: vec![0; simulation.routers],
                        at_report: vec![0; simulation.routers],
                        ..ServerModel::default()
                    };
                    simulation.servers = (0..near + far).map(server).collect();
                    String::new()
                }
                "set" => {
                    let server = &mut simulation.servers[number("server", 0) as usize];
                    server.load = number("load", server.load);
                    server.cached = number("cached", server.cached);
                    server.age = Millis(number("age", server.age.0));
                    server.is_frozen |= case.args.contains_key("frozen");
                    let now = simulation.now;
                    for _ in 0..number("fails", 0) {
                        server.health.record_failure(now);
                    }
                    if number("first", 0) > 0 {
                        server
                            .health
                            .record_first_token(now, Millis(number("first", 0)));
                    }
                    if case.args.contains_key("returns") {
                        server.health.record_return(now);
                    }
                    String::new()
                }
                "pass" => {
                    simulation.now = simulation.now + Millis(number("ms", 0));
                    String::new()
                }
                "report" => {
                    simulation.report();
                    String::new()
                }
                "place" => {
                    let request = ChoiceRequest {
                        blocks: number("blocks", 0),
                        max_resumes: case
                            .args
                            .contains_key("resumes")
                            .then(|| number("resumes", 0)),
                        ..ChoiceRequest::default()
                    };
                    let every = number("report", u64::MAX);
                    for i in 0..number("count", 1) {
                        if i % every == every - 1 {
                            simulation.report();
                        }
                        let router = i as usize % simulation.routers;
                        let prefixes = number("prefixes", 0);
                        let prefix =
                            (prefixes > 0).then(|| i / simulation.routers as u64 % prefixes);
                        simulation.place(router, prefix, &request);
                    }
                    simulation.loads()
                }
                other => panic!("unknown directive {other}"),
            }
        });
    });
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        cases: 64,
        ..Config::default()
    })]

    /// However old the reports are, no server gets more than twice its equal share of the requests.
    #[test]
    fn no_herd(routers in 1_usize..300, lag in 1_u64..64, servers in 4_usize..30) {
        let server = |i: usize| ServerModel {
            name: format!("engine-{i}"),
            slots: 1_000,
            in_flight: vec![0; routers],
            at_report: vec![0; routers],
            ..ServerModel::default()
        };
        let mut simulation = Simulation {
            servers: (0..servers).map(server).collect(),
            routers,
            now: Millis(1),
            rule: Rule::Combined,
            seed: lag,
        };
        let count = servers as u64 * 40;
        for i in 0..count {
            if i % lag == 0 {
                simulation.report();
            }
            simulation.place(i as usize % routers, None, &ChoiceRequest::default());
        }
        let most = simulation.servers.iter().map(|s| s.load).max().unwrap_or(0);
        prop_assert!(most <= 40 * 2, "most {most}");
    }

    /// A server is chosen whenever one is usable, and never an unusable one.
    #[test]
    fn always_usable(
        flags in proptest::collection::vec((any::<bool>(), any::<bool>(), 0_u64..1_001, 0_u64..9), 0..12),
        seed in any::<u64>(),
        prefix in proptest::option::of(any::<u64>()),
    ) {
        let servers: Vec<Server<'_>> = flags
            .iter()
            .map(|(is_usable, is_ejected, ramp, load)| Server {
                backend: "engine",
                is_usable: *is_usable,
                is_ejected: *is_ejected,
                ramp_permille: *ramp,
                reported_load: *load,
                slots: 4,
                latency_ms: load * 100,
                ..Server::default()
            })
            .collect();
        let request = ChoiceRequest {
            seed,
            prefix,
            blocks: 8,
            max_resumes: Some(0),
            ..ChoiceRequest::default()
        };
        match choose(&servers, &request) {
            Some(i) => prop_assert!(servers[i].is_usable),
            None => prop_assert!(servers.iter().all(|s| !s.is_usable)),
        }
    }
}
