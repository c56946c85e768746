//! Scripted choices of a server by many routers, see `scenarios/choice.txt`.
//!
//! A small model stands for the servers: each request placed stays, and reports are taken when the
//! script says so, so that what routers know lags behind.

use balance::{Ask, Health, Rule, Server, choose};
use base::hash::stable;
use base::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

#[derive(Clone, Default)]
struct Node {
    name: String,
    rank: usize,
    slots: u64,
    load: u64,
    reported: u64,
    age: Millis,
    is_frozen: bool,
    cached: u64,
    health: Health,
    own: Vec<u64>,
    at_report: Vec<u64>,
}

struct World {
    nodes: Vec<Node>,
    routers: usize,
    now: Millis,
    rule: Rule,
    seed: u64,
}

impl World {
    fn place(&mut self, router: usize, prefix: Option<u64>, ask: &Ask<'_>) -> Option<usize> {
        let now = self.now;
        let servers: Vec<Server<'_>> = self
            .nodes
            .iter()
            .map(|n| Server {
                backend: &n.name,
                is_usable: true,
                rank: n.rank,
                own: n.own[router],
                since: n.own[router] as i64 - n.at_report[router] as i64,
                reported: n.reported,
                age: n.age,
                slots: n.slots,
                cached: n.cached,
                is_ejected: n.health.is_ejected(now),
                ramp: n.health.ramp(now),
                latency: n.health.latency(now),
                resumes: n.own[router],
            })
            .collect();
        self.seed += 1;
        let ask = Ask {
            spread: stable(&self.seed.to_le_bytes()),
            turn: self.seed,
            routers: self.routers as u64,
            prefix,
            rule: self.rule,
            ..ask.clone()
        };
        let chosen = choose(&servers, &ask)?;
        self.nodes[chosen].own[router] += 1;
        self.nodes[chosen].load += 1;
        Some(chosen)
    }

    fn report(&mut self) {
        for node in self.nodes.iter_mut().filter(|n| !n.is_frozen) {
            node.reported = node.load;
            node.at_report.clone_from(&node.own);
        }
    }

    fn loads(&self) -> String {
        let all: Vec<String> = self.nodes.iter().map(|n| n.load.to_string()).collect();
        format!("{}\n", all.join(" "))
    }
}

#[test]
fn server_choice() {
    datadriven::walk("tests/scenarios", |file| {
        let mut world = World {
            nodes: Vec::new(),
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
                    world.routers = number("routers", 1) as usize;
                    world.now = Millis(1);
                    let (near, far) = (number("near", 4), number("far", 0));
                    let node = |i: u64| Node {
                        name: format!("engine-{i}"),
                        rank: usize::from(i >= near),
                        slots: number("slots", 8),
                        own: vec![0; world.routers],
                        at_report: vec![0; world.routers],
                        ..Node::default()
                    };
                    world.nodes = (0..near + far).map(node).collect();
                    String::new()
                }
                "set" => {
                    let node = &mut world.nodes[number("server", 0) as usize];
                    node.load = number("load", node.load);
                    node.cached = number("cached", node.cached);
                    node.age = Millis(number("age", node.age.0));
                    node.is_frozen |= case.args.contains_key("frozen");
                    let now = world.now;
                    for _ in 0..number("fails", 0) {
                        node.health.failed(now);
                    }
                    if number("first", 0) > 0 {
                        node.health.first_token(now, Millis(number("first", 0)));
                    }
                    if case.args.contains_key("returns") {
                        node.health.came_back(now);
                    }
                    String::new()
                }
                "pass" => {
                    world.now = world.now + Millis(number("ms", 0));
                    String::new()
                }
                "report" => {
                    world.report();
                    String::new()
                }
                "place" => {
                    let ask = Ask {
                        blocks: number("blocks", 0),
                        resumes: case
                            .args
                            .contains_key("resumes")
                            .then(|| number("resumes", 0)),
                        ..Ask::default()
                    };
                    let every = number("report", u64::MAX);
                    for i in 0..number("count", 1) {
                        if i % every == every - 1 {
                            world.report();
                        }
                        let router = i as usize % world.routers;
                        let prefixes = number("prefixes", 0);
                        let prefix = (prefixes > 0).then(|| i / world.routers as u64 % prefixes);
                        world.place(router, prefix, &ask);
                    }
                    world.loads()
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

    /// However old the reports, no server gets far more than the others.
    #[test]
    fn no_herd(routers in 1_usize..300, lag in 1_u64..64, servers in 4_usize..30) {
        let node = |i: usize| Node {
            name: format!("engine-{i}"),
            slots: 1_000,
            own: vec![0; routers],
            at_report: vec![0; routers],
            ..Node::default()
        };
        let mut world = World {
            nodes: (0..servers).map(node).collect(),
            routers,
            now: Millis(1),
            rule: Rule::Combined,
            seed: lag,
        };
        let count = servers as u64 * 40;
        for i in 0..count {
            if i % lag == 0 {
                world.report();
            }
            world.place(i as usize % routers, None, &Ask::default());
        }
        let most = world.nodes.iter().map(|n| n.load).max().unwrap_or(0);
        prop_assert!(most <= 40 * 2, "most {most}");
    }

    /// A usable server is chosen whenever there is one, and only such a one.
    #[test]
    fn always_usable(
        flags in proptest::collection::vec((any::<bool>(), any::<bool>(), 0_u64..1_001, 0_u64..9), 0..12),
        spread in any::<u64>(),
        prefix in proptest::option::of(any::<u64>()),
    ) {
        let servers: Vec<Server<'_>> = flags
            .iter()
            .map(|(is_usable, is_ejected, ramp, load)| Server {
                backend: "engine",
                is_usable: *is_usable,
                is_ejected: *is_ejected,
                ramp: *ramp,
                reported: *load,
                slots: 4,
                latency: load * 100,
                ..Server::default()
            })
            .collect();
        let ask = Ask { spread, prefix, blocks: 8, resumes: Some(0), ..Ask::default() };
        match choose(&servers, &ask) {
            Some(i) => prop_assert!(servers[i].is_usable),
            None => prop_assert!(servers.iter().all(|s| !s.is_usable)),
        }
    }
}
