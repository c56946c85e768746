//! Network, processor and memory usage of the agents, and their load on the platform.

use std::time::Duration;

use serde::Serialize;
use serde_json::Value;
use store::client::Platform;
use tokio::time::Instant;

use super::agents::Agents;
use crate::harness::fleet::CALL_TIMEOUT;
use crate::harness::usage;

/// Bytes per MiB.
const MIB: f64 = 1_048_576.0;

/// Cumulative usage up to a point in time.
pub(crate) struct Usage {
    at: Instant,
    by_agent: Vec<AgentUsage>,
    /// Reads counted by the platform.
    reads: f64,
    /// Writes counted by the platform.
    writes: f64,
}

/// Cumulative traffic and processor time of one agent, and its current memory.
#[derive(Clone, Copy, Default)]
struct AgentUsage {
    /// Bytes sent and received.
    bytes: f64,
    cpu: Duration,
    /// In bytes.
    memory: u64,
}

/// Mean and maximum over all agents.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct MeanMax {
    pub(crate) mean: f64,
    pub(crate) max: f64,
}

/// Usage rates over a period, per agent unless stated otherwise.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct UsageRate {
    /// Bytes sent and received per second.
    pub(crate) bytes_s: MeanMax,
    /// Share of one core.
    pub(crate) cpu_share: MeanMax,
    /// Resident memory at the end of the period, in MiB.
    pub(crate) memory_mb: MeanMax,
    /// Reads of the platform per second, by all agents together.
    pub(crate) reads_s: f64,
    /// Writes to the platform per second, by all agents together.
    pub(crate) writes_s: f64,
}

impl Usage {
    /// Reads the cumulative usage of all agents; an agent that does not answer counts 0 bytes.
    pub(crate) async fn read(agents: &Agents) -> Self {
        let at = Instant::now();
        let stats = stats(&agents.platform).await;
        let mut by_agent = Vec::new();
        for agent in &agents.all {
            let state = web::client::get(agent.admin, "/v1/state", CALL_TIMEOUT).await;
            let state: Value = state.unwrap_or_default();
            let traffic = &state["traffic"];
            let bytes = number(&traffic["sent"]) + number(&traffic["received"]);
            let id = agent.process.id();
            by_agent.push(AgentUsage {
                bytes,
                cpu: usage::cpu(id),
                memory: usage::memory(id),
            });
        }
        Self {
            at,
            by_agent,
            reads: number(&stats["reads"]),
            writes: number(&stats["writes"]),
        }
    }

    /// The usage rates from `before` to `self`.
    pub(crate) fn since(&self, before: &Self) -> UsageRate {
        let seconds = (self.at - before.at).as_secs_f64();
        let pairs = || self.by_agent.iter().zip(&before.by_agent);
        UsageRate {
            bytes_s: mean_max(pairs().map(|(a, b)| (a.bytes - b.bytes) / seconds)),
            cpu_share: mean_max(
                pairs().map(|(a, b)| a.cpu.saturating_sub(b.cpu).as_secs_f64() / seconds),
            ),
            memory_mb: mean_max(self.by_agent.iter().map(|n| n.memory as f64 / MIB)),
            reads_s: (self.reads - before.reads) / seconds,
            writes_s: (self.writes - before.writes) / seconds,
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

fn mean_max(values: impl Iterator<Item = f64>) -> MeanMax {
    let all: Vec<f64> = values.collect();
    let count = all.len().max(1) as f64;
    MeanMax {
        mean: all.iter().sum::<f64>() / count,
        max: all.iter().copied().fold(0.0, f64::max),
    }
}
