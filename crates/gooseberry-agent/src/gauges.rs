//! Gauges of an agent's view of configuration, hosts and backend servers, sent to statsd.

use base::prelude::*;
use cadence::StatsdClient;
use cadence::prelude::*;

use crate::shared::{Agent, SharedAgent};

/// Period at which the gauges are sent.
const REPORT_PERIOD: Millis = Millis(1_000);

/// Sends the gauges periodically; never returns.
pub async fn report(agent: SharedAgent, metrics: StatsdClient) {
    let mut ticks = agent.timer.every(REPORT_PERIOD);
    loop {
        ticks.next().await;
        for (name, value) in gauges(&agent) {
            // Failures to send metrics must not affect the agent.
            let _ = metrics.gauge(name, value);
        }
    }
}

/// Names and current values of the gauges.
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
