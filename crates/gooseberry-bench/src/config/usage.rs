//! What the agents and the platform spend.

use std::time::Duration;

use serde::Serialize;
use serde_json::Value;
use store::client::Platform;
use tokio::time::Instant;

use super::agents::Agents;
use crate::harness::fleet::CALL_TIMEOUT;
use crate::harness::usage;

/// The bytes in a megabyte of memory.
const MIB: f64 = 1_048_576.0;

/// What was spent up to some time.
pub(crate) struct Usage {
    at: Instant,
    nodes: Vec<Node>,
    reads: f64,
    writes: f64,
}

/// What one agent has spent.
#[derive(Clone, Copy, Default)]
struct Node {
    bytes: f64,
    cpu: Duration,
    /// In bytes.
    memory: u64,
}

/// Over all agents.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Spread {
    pub(crate) mean: f64,
    pub(crate) max: f64,
}

/// What was spent in a span of time, a node.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Spent {
    /// Bytes sent and received a second.
    pub(crate) bytes_s: Spread,
    /// The share of one core.
    pub(crate) cpu_share: Spread,
    /// Resident memory in megabytes.
    pub(crate) memory_mb: Spread,
    /// Reads of the platform a second, by all agents.
    pub(crate) reads_s: f64,
    /// Writes to the platform a second, by all agents.
    pub(crate) writes_s: f64,
}

impl Usage {
    /// Reads what all agents have spent so far.
    pub(crate) async fn read(agents: &Agents) -> Self {
        let at = Instant::now();
        let stats = stats(&agents.platform).await;
        let mut nodes = Vec::new();
        for agent in &agents.all {
            let state = web::client::get(agent.admin, "/v1/state", CALL_TIMEOUT).await;
            let state: Value = state.unwrap_or_default();
            let traffic = &state["traffic"];
            let bytes = number(&traffic["sent"]) + number(&traffic["received"]);
            let id = agent.process.id();
            nodes.push(Node {
                bytes,
                cpu: usage::cpu(id),
                memory: usage::memory(id),
            });
        }
        Self {
            at,
            nodes,
            reads: number(&stats["reads"]),
            writes: number(&stats["writes"]),
        }
    }

    /// What was spent since `before`.
    pub(crate) fn since(&self, before: &Self) -> Spent {
        let span = (self.at - before.at).as_secs_f64();
        let pairs = || self.nodes.iter().zip(&before.nodes);
        Spent {
            bytes_s: spread(pairs().map(|(a, b)| (a.bytes - b.bytes) / span)),
            cpu_share: spread(
                pairs().map(|(a, b)| a.cpu.saturating_sub(b.cpu).as_secs_f64() / span),
            ),
            memory_mb: spread(self.nodes.iter().map(|n| n.memory as f64 / MIB)),
            reads_s: (self.reads - before.reads) / span,
            writes_s: (self.writes - before.writes) / span,
        }
    }
}

async fn stats(platform: &Platform) -> Value {
    let stats = web::client::get(platform.addr, "/stats", CALL_TIMEOUT).await;
    stats.unwrap_or_default()
}

fn number(value: &Value) -> f64 {
    value.as_f64().unwrap_or(0.0)
}

fn spread(values: impl Iterator<Item = f64>) -> Spread {
    let all: Vec<f64> = values.collect();
    let count = all.len().max(1) as f64;
    Spread {
        mean: all.iter().sum::<f64>() / count,
        max: all.iter().copied().fold(0.0, f64::max),
    }
}
