//! What the agents and the platform spend.

use platform::client::Platform;
use serde::Serialize;
use serde_json::Value;
use tokio::time::Instant;

use super::agents::Agents;
use crate::harness::fleet::CALL;

/// The ticks of processor time in a second, fixed by the system's interface.
const TICKS_S: f64 = 100.0;

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
    ticks: f64,
    memory_kb: f64,
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
            let state = web::client::get(agent.admin, "/v1/state", CALL).await;
            let state: Value = state.unwrap_or_default();
            let traffic = &state["traffic"];
            let bytes = number(&traffic["sent"]) + number(&traffic["received"]);
            let (ticks, memory_kb) = process(agent.process.id()).unwrap_or_default();
            nodes.push(Node {
                bytes,
                ticks,
                memory_kb,
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
            cpu_share: spread(pairs().map(|(a, b)| (a.ticks - b.ticks) / TICKS_S / span)),
            memory_mb: spread(self.nodes.iter().map(|n| n.memory_kb / 1_024.0)),
            reads_s: (self.reads - before.reads) / span,
            writes_s: (self.writes - before.writes) / span,
        }
    }
}

async fn stats(platform: &Platform) -> Value {
    let stats = web::client::get(platform.addr, "/stats", CALL).await;
    stats.unwrap_or_default()
}

/// The processor time in ticks and the resident memory in kilobytes of a process.
fn process(id: Option<u32>) -> Option<(f64, f64)> {
    let id = id?;
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The name of the program, in parentheses, may hold spaces; counted from behind it, user and
    // system time are the fields 11 and 12.
    let (_, fields) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |i: usize| fields.get(i)?.parse::<f64>().ok();
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
    let memory = line.split_whitespace().nth(1)?.parse().ok()?;
    Some((ticks(11)? + ticks(12)?, memory))
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
