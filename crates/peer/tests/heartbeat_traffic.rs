//! The traffic of heartbeats at the size of the long run: 34 agents before 450 backend servers.

#[expect(dead_code, reason = "the simulation is that of the membership tests")]
#[path = "../../membership/tests/sim/mod.rs"]
mod sim;

use std::pin::Pin;

use base::prelude::*;
use membership::Heartbeat;
use sim::Sim;
use tokio_serde::Serializer;
use tokio_serde::formats::MessagePack;

/// The agents of a data centre.
const AGENTS: u64 = 34;

/// The backend servers of a data centre.
const BACKENDS: u64 = 450;

/// What a node may send and receive for control, in bytes a second.
const BUDGET_BYTES_S: u64 = 11_000;

/// What the transport adds to a beat: the length, the call's number, deadline and trace.
const CALL_BYTES: u64 = 64;

/// A question for the load and its answer: two HTTP heads and a small body.
const POLL_BYTES: u64 = 350;

/// The time from a server's word to no new work, in milliseconds.
const LEAVING_KNOWN_MS: u64 = 3_000;

/// How long is measured, in seconds.
const MEASURED_S: u64 = 16;

#[test]
fn heartbeats_fit_traffic_budget() {
    let mut sim = Sim::default();
    for i in 0..AGENTS {
        sim.add_host(&format!("entry-{i}"), "vn-south-a");
    }
    for i in 0..BACKENDS {
        sim.add_server(&format!("engine-{i}"), "vn-south-a");
    }
    for i in 0..AGENTS {
        sim.start(&format!("entry-{i}"), i + 1);
    }
    sim.run(Millis(10_000));
    assert_leaving_known_in_time(&mut sim);
    sim.measure = Some(wire_size);
    sim.polls = 0;
    for second in 0..MEASURED_S {
        // Each load moves by up to a quarter of the slots within eight seconds.
        for i in 0..BACKENDS {
            let phase = (second + i) % 8;
            sim.server(&format!("engine-{i}")).report.running = 8 + phase;
        }
        sim.run(Millis(1_000));
    }
    let heartbeats = sim.sizes.len() as u64;
    let bytes: u64 = sim.sizes.iter().sum();
    // Each beat is sent by one node and received by another.
    let beat_rate = 2 * (bytes + heartbeats * CALL_BYTES) / MEASURED_S / AGENTS;
    let poll_rate = sim.polls * POLL_BYTES / MEASURED_S / AGENTS;
    println!(
        "beat_bytes={} beats_s={} beat_rate={beat_rate} poll_rate={poll_rate} polls_s={}",
        bytes / heartbeats,
        2 * heartbeats / MEASURED_S / AGENTS,
        sim.polls / MEASURED_S / AGENTS
    );
    assert!(
        beat_rate + poll_rate < BUDGET_BYTES_S,
        "{beat_rate} + {poll_rate} bytes a second"
    );
}

/// A server that says that it leaves is known to every agent in time.
fn assert_leaving_known_in_time(sim: &mut Sim) {
    for i in (0..BACKENDS).step_by(60) {
        let name = BackendId(format!("engine-{i}"));
        sim.server(name.as_str()).report.leaving = true;
        sim.run(Millis(LEAVING_KNOWN_MS));
        for agent in &sim.agents {
            let members = agent.members.iter();
            let mut found = members
                .flat_map(|m| m.backends())
                .filter(|(id, _)| **id == name);
            let leaves = found.all(|(_, b)| b.lifecycle.is_leaving());
            assert!(leaves, "{} does not know that {name} leaves", agent.name);
        }
    }
}

/// The bytes of a beat as it travels.
fn wire_size(heartbeat: &Heartbeat) -> u64 {
    let mut format: MessagePack<Heartbeat, Heartbeat> = MessagePack::default();
    let bytes = Pin::new(&mut format).serialize(heartbeat);
    bytes.map_or(0, |b| b.len() as u64)
}
