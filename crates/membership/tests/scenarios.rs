//! Scripted scenarios of hosts and backend servers that stop, pause, leave and return.

mod sim;

use base::prelude::*;
use sim::Sim;

#[test]
fn scenarios() {
    datadriven::walk("tests/scenarios", |file| {
        let mut sim = Sim::default();
        file.run(|case| {
            let mut shown = String::new();
            for line in case.input.lines() {
                shown += &step(&mut sim, line);
            }
            shown
        });
    });
}

fn step(sim: &mut Sim, line: &str) -> String {
    let words: Vec<&str> = line.split_whitespace().collect();
    match words.as_slice() {
        ["hosts", centre, names @ ..] => names.iter().for_each(|n| sim.add_host(n, centre)),
        ["servers", centre, names @ ..] => names.iter().for_each(|n| sim.add_server(n, centre)),
        ["start", incarnation, names @ ..] => {
            names.iter().for_each(|n| sim.start(n, number(incarnation)))
        }
        ["run", ms] => sim.run(Millis(number(ms))),
        ["tick", name] => sim.tick_one(name),
        ["kill", name] => sim.agent(name).members = None,
        ["pause", name] => sim.agent(name).paused = true,
        ["wake", name] => sim.agent(name).paused = false,
        ["cut", a, b] => sim.cuts.push((HostId::from(*a), HostId::from(*b))),
        ["join"] => sim.cuts.clear(),
        ["leave", name] => {
            let agent = sim.agent(name);
            agent.members.iter_mut().for_each(|m| m.leave());
        }
        ["list", name, word, readers @ ..] => list(sim, name, *word == "leaving", readers),
        ["server", name, "down"] => sim.server(name).is_up = false,
        ["server", name, "up", incarnation] => {
            let server = sim.server(name);
            server.is_up = true;
            server.report.incarnation = Incarnation(number(incarnation));
            server.report.leaving = false;
        }
        ["server", name, "leaving"] => sim.server(name).report.leaving = true,
        ["server", name, "staying"] => sim.server(name).report.leaving = false,
        ["server", name, "load", load] => sim.server(name).report.running = number(load),
        ["show", name] => return sim.show(name),
        _ => panic!("unknown step: {line}"),
    }
    String::new()
}

/// Changes the leaving mark of a member in the host list and lets some agents read the list.
fn list(sim: &mut Sim, name: &str, leaving: bool, readers: &[&str]) {
    let hosts = sim.list.iter_mut().filter(|h| h.host.as_str() == name);
    hosts.for_each(|h| h.leaving = leaving);
    let servers = sim.servers.iter_mut().map(|s| &mut s.listed);
    let servers = servers.filter(|s| s.backend.as_str() == name);
    servers.for_each(|s| s.leaving = leaving);
    readers.iter().for_each(|r| sim.read_list(r));
}

fn number(text: &str) -> u64 {
    text.parse()
        .unwrap_or_else(|_| panic!("not a number: {text}"))
}
