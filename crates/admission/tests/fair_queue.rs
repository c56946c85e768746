//! Scripted arrivals and ends at one router, see `scenarios/queue.txt`, and property tests.

use admission::{
    Action, Controller, ProfileBounds, Request, RetryBudget, WorkspaceBounds, limit_share,
};
use base::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Running request.
struct Running {
    ticket: u64,
    profile: ProfileName,
    workspace: WorkspaceName,
    started: Millis,
}

#[derive(Default)]
struct World {
    controller: Controller,
    now: Millis,
    requests: Vec<(u64, ProfileName, WorkspaceName)>,
    running: Vec<Running>,
    budget: RetryBudget,
}

impl World {
    fn apply(&mut self, actions: Vec<Action>) -> String {
        let mut text = String::new();
        for action in actions {
            match action {
                Action::Start(ticket) => {
                    let (_, profile, workspace) = self
                        .requests
                        .iter()
                        .find(|r| r.0 == ticket)
                        .expect("an earlier request")
                        .clone();
                    text += &format!("{ticket} {workspace} starts\n");
                    self.running.push(Running {
                        ticket,
                        profile,
                        workspace,
                        started: self.now,
                    });
                }
                Action::Refuse {
                    ticket,
                    reason,
                    after,
                } => text += &format!("{ticket} not run: {reason}, after {after}\n"),
            }
        }
        text
    }

    fn end(&mut self, i: usize) -> String {
        let one = self.running.remove(i);
        let mut out = Vec::new();
        let hold_time = self.now.since(one.started);
        self.controller
            .release(self.now, &one.profile, &one.workspace, hold_time, &mut out);
        format!("{} ends\n{}", one.ticket, self.apply(out))
    }
}

#[test]
fn fair_queue() {
    datadriven::walk("tests/scenarios", |file| {
        let mut world = World::default();
        file.run(|case| {
            let text = |name: &str, or: &str| {
                let value = case.args.get(name).and_then(|v| v.first());
                value.cloned().unwrap_or_else(|| or.to_owned())
            };
            let number = |name: &str, or: u64| text(name, &or.to_string()).parse().expect(name);
            match case.directive.as_str() {
                "reset" => {
                    world = World::default();
                    String::new()
                }
                "profile" => {
                    let bounds = ProfileBounds {
                        capacity: number("capacity", 1),
                        queue_limit: number("queued", 100),
                        priority: number("priority", 0) as u32,
                        first_output: Millis(number("first", 0)),
                    };
                    world
                        .controller
                        .set_profile(&ProfileName(text("name", "p")), bounds);
                    String::new()
                }
                "workspace" => {
                    let bounds = WorkspaceBounds {
                        share: number("share", 1) as u32,
                        limit: number("limit", 0),
                    };
                    world
                        .controller
                        .set_workspace(&WorkspaceName(text("name", "w")), bounds);
                    String::new()
                }
                "ask" => {
                    let mut shown = String::new();
                    for _ in 0..number("count", 1) {
                        let ticket = world.requests.len() as u64 + 1;
                        let profile = ProfileName(text("profile", "p"));
                        let workspace = WorkspaceName(text("name", "w"));
                        let request = Request {
                            ticket,
                            profile: &profile,
                            workspace: &workspace,
                            cost: number("cost", 1),
                            deadline: world.now + Millis(number("within", 10_000)),
                            is_admitted: case.args.contains_key("admitted"),
                        };
                        let mut out = Vec::new();
                        world.controller.arrive(world.now, &request, &mut out);
                        world
                            .requests
                            .push((ticket, profile.clone(), workspace.clone()));
                        shown += &world.apply(out);
                    }
                    shown
                }
                "end" => (0..number("count", 1)).map(|_| world.end(0)).collect(),
                "leave" => {
                    world.controller.cancel(number("ticket", 0));
                    String::new()
                }
                "pass" => {
                    world.now = world.now + Millis(number("ms", 0));
                    let mut out = Vec::new();
                    world.controller.tick(world.now, &mut out);
                    world.apply(out)
                }
                "retries" => {
                    let percent = number("percent", 10) as u32;
                    (0..number("first", 0)).for_each(|_| world.budget.earn(percent));
                    let wanted = number("wanted", 0);
                    let given = (0..wanted).filter(|_| world.budget.spend()).count();
                    format!("{given} of {wanted}\n")
                }
                other => panic!("unknown directive {other}"),
            }
        });
    });
}

/// Step of a random run: kind of event, index of a workspace or running request, delay in ms.
type Step = (u8, u8, u64);

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        cases: 128,
        ..Config::default()
    })]

    /// The parts of a limit add up to it, and routers partitioned into groups admit at most the
    /// limit per group.
    #[test]
    fn limit_parts(limit in 1_u64..5_000, groups in proptest::collection::vec(1_u64..40, 1..4)) {
        let part = |live: u64| (0..live).map(|rank| limit_share(limit, rank, live)).sum::<u64>();
        for live in &groups {
            prop_assert_eq!(part(*live), limit.max(*live));
        }
        let split: u64 = groups.iter().map(|live| part(*live)).sum();
        let routers: u64 = groups.iter().sum();
        prop_assert!(split <= groups.len() as u64 * limit.max(routers));
    }

    /// Limits hold, each request gets exactly one decision, and none starts too late.
    #[test]
    fn one_answer(steps in proptest::collection::vec((0_u8..4, 0_u8..4, 0_u64..400), 1..120)) {
        let (capacity, limit) = (3, 2);
        let profile = ProfileName::from("p");
        let mut controller = Controller::default();
        let bounds = ProfileBounds {
            capacity,
            queue_limit: 6,
            priority: 0,
            first_output: Millis(50),
        };
        controller.set_profile(&profile, bounds);
        let names: Vec<WorkspaceName> = (0..4).map(|i| WorkspaceName(format!("w{i}"))).collect();
        for (i, name) in names.iter().enumerate() {
            controller.set_workspace(name, WorkspaceBounds { share: i as u32 + 1, limit });
        }
        let mut now = Millis(0);
        let mut requests: Vec<(Millis, usize)> = Vec::new();
        let mut decided: Vec<u64> = Vec::new();
        let mut running: Vec<(u64, Millis)> = Vec::new();
        let end: Vec<Step> = vec![(3, 0, 10_000)];
        for (what, which, ms) in steps.into_iter().chain(end) {
            now = now + Millis(ms);
            let mut out = Vec::new();
            match what {
                0 | 1 => {
                    let ticket = requests.len() as u64;
                    requests.push((now + Millis(500), usize::from(which)));
                    let request = Request {
                        ticket,
                        profile: &profile,
                        workspace: &names[usize::from(which)],
                        cost: ms,
                        deadline: now + Millis(500),
                        is_admitted: false,
                    };
                    controller.arrive(now, &request, &mut out);
                }
                2 if !running.is_empty() => {
                    let (ticket, at) = running.remove(usize::from(which) % running.len());
                    let name = &names[requests[ticket as usize].1];
                    controller.release(now, &profile, name, now.since(at), &mut out);
                }
                _ => controller.tick(now, &mut out),
            }
            for action in out {
                let ticket = match action {
                    Action::Start(ticket) => {
                        prop_assert!(
                            requests[ticket as usize].0 > now + Millis(50),
                            "started too late"
                        );
                        running.push((ticket, now));
                        ticket
                    }
                    Action::Refuse { ticket, after, .. } => {
                        prop_assert!(after > Millis(0));
                        ticket
                    }
                };
                prop_assert!(!decided.contains(&ticket), "two decisions on one request");
                decided.push(ticket);
            }
            prop_assert!(running.len() as u64 <= capacity);
            for workspace in 0..names.len() {
                let count = running
                    .iter()
                    .filter(|(t, _)| requests[*t as usize].1 == workspace)
                    .count();
                prop_assert!(count as u64 <= limit);
            }
        }
        prop_assert_eq!(decided.len(), requests.len());
        prop_assert!(!controller.has_waiting());
    }
}
