//! The metrics of an agent: what it believes, once a second.

use base::prelude::*;
use cadence::StatsdClient;
use cadence::prelude::*;

use crate::shared::{Agent, SharedAgent};

/// The time between two reports.
const REPORT_PERIOD: Millis = Millis(1_000);

/// Sends what the agent believes for ever.
pub async fn report(agent: SharedAgent, metrics: StatsdClient) {
    let mut ticks = agent.timer.every(REPORT_PERIOD);
    loop {
        ticks.next().await;
        for (name, value) in gauges(&agent) {
            // Metrics that cannot be sent are no concern of the agent's work.
            let _ = metrics.gauge(name, value);
        }
    }
}

/// Each gauge with its value.
fn gauges(agent: &Agent) -> [(&'static str, u64); 5] {
    let count = |n: usize| u64::try_from(n).unwrap_or(u64::MAX);
    let (hosts, backends, leaving) = agent.members(|m| {
        let hosts = m.hosts().filter(|(_, h)| h.is_usable()).count();
        let backends = m.backends().filter(|(_, b)| b.is_alive()).count();
        let leaving = m
            .backends()
            .filter(|(_, b)| b.lifecycle.is_leaving())
            .count();
        (hosts, backends, leaving)
    });
    [
        ("config_version", agent.version().0),
        ("config_fresh", u64::from(agent.distribution.is_fresh())),
        ("hosts_alive", count(hosts)),
        ("backends_alive", count(backends)),
        ("backends_leaving", count(leaving)),
    ]
}
