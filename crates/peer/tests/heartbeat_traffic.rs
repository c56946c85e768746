//! The control traffic of an agent stays within its budget at the size of the long-running test: 34 agents
//! and 450 backend servers in one data centre.

#[expect(
    dead_code,
    reason = "shared with the membership tests, which use the rest"
)]
#[path = "../../membership/tests/sim/mod.rs"]
mod sim;

use std::pin::Pin;

use base::prelude::*;
use membership::Heartbeat;
use sim::Sim;
use tokio_serde::Serializer;
use tokio_serde::formats::MessagePack;

/// Number of agents in the data centre.
const AGENTS: u64 = 34;

/// Number of backend servers in the data centre.
const BACKENDS: u64 = 450;

/// Maximum control traffic of a host, sent and received together, in bytes per second.
const BUDGET_BYTES_S: u64 = 11_000;

/// Overhead of the transport per heartbeat: frame length, request id, deadline and trace context.
const CALL_BYTES: u64 = 64;

/// Size of a poll of a backend server and its answer: two HTTP heads and a small body.
const POLL_BYTES: u64 = 350;

/// Time limit for every agent to know that a server is leaving, in milliseconds, so that it gets no new
/// work.
const LEAVING_KNOWN_MS: u64 = 3_000;

/// Duration of the measurement, in seconds.
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
        // Each load varies by up to a quarter of the slots, with a period of eight seconds.
        for i in 0..BACKENDS {
            let phase = (second + i) % 8;
            sim.server(&format!("engine-{i}")).report.running = 8 + phase;
        }
        sim.run(Millis(1_000));
    }
    let heartbeats = sim.sizes.len() as u64;
    let bytes: u64 = sim.sizes.iter().sum();
    // Each heartbeat is sent by one host and received by another.
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
        "heartbeats {beat_rate} + polls {poll_rate} bytes per second exceed {BUDGET_BYTES_S}"
    );
}

/// Checks that every agent knows in time of a server that reports that it is leaving.
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
            assert!(
                leaves,
                "{} does not know that {name} is leaving",
                agent.name
            );
        }
    }
}

/// Size of a heartbeat as encoded on the wire, in bytes.
fn wire_size(heartbeat: &Heartbeat) -> u64 {
    let mut format: MessagePack<Heartbeat, Heartbeat> = MessagePack::default();
    let bytes = Pin::new(&mut format).serialize(heartbeat);
    bytes.map_or(0, |b| b.len() as u64)
}
