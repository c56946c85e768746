//! Checks that accepted changes came into force at all reachable agents and were not reverted.

use std::time::Duration;

use base::prelude::*;
use profiles::document::Document;
use serde::Deserialize;
use serde_json::Value;

use super::agents::{Agent, Agents, WORKSPACES};
use super::changes::{Operators, ProposedChange};
use crate::harness::BenchError;
use crate::harness::fleet::CALL_TIMEOUT;
use crate::harness::report::{Times, times};

/// Time within which a change should reach an agent: an agent that becomes unreachable later than
/// this after a change was sent must have adopted the change.
const PROPAGATION_LIMIT_MS: u64 = 4_000;

/// Violations and propagation delays of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Verdict {
    /// Accepted changes that the platform does not store under their version.
    pub(crate) lost: u64,
    /// Agents that adopted a lower version after a higher one, or whose document lacks an accepted
    /// change.
    pub(crate) reverted: u64,
    /// Pairs of a change and a reachable agent that never adopted it.
    pub(crate) behind: u64,
    /// Time from sending a change until it is in force at an agent, over all reachable agents.
    pub(crate) in_force_ms: Times,
}

/// The checked parts of an agent's state dump.
#[derive(Debug, Deserialize)]
struct State {
    view: View,
    /// Versions in the order of adoption, each with its Unix time in milliseconds.
    adoptions: Vec<(Version, u64)>,
}

#[derive(Debug, Deserialize)]
struct View {
    document: Option<Document>,
}

/// Checks the final state of the platform and of all agents.
pub(crate) async fn judge(agents: &Agents, operators: &Operators) -> Result<Verdict, BenchError> {
    let mut verdict = Verdict::default();
    for accepted in &operators.accepted {
        let stored = agents.platform.revision(accepted.version).await?;
        if stored.is_none_or(|r| r.operation != accepted.operation) {
            verdict.lost += 1;
        }
    }
    let mut delays = Vec::new();
    for agent in &agents.all {
        let state: Value = web::client::get(agent.admin, "/v1/state", CALL_TIMEOUT).await?;
        let Ok(state) = serde_json::from_value::<State>(state) else {
            verdict.reverted += 1;
            continue;
        };
        if !is_consistent(&state, &operators.accepted) {
            verdict.reverted += 1;
        }
        for accepted in &operators.accepted {
            match propagation(agent, &state, accepted) {
                Propagation::InForce(delay) => delays.push(delay),
                Propagation::Missing => verdict.behind += 1,
                Propagation::Unreachable => {}
            }
        }
    }
    verdict.in_force_ms = times(delays);
    Ok(verdict)
}

/// Whether versions only increased and the current document holds the last accepted share of each
/// workspace.
fn is_consistent(state: &State, accepted: &[ProposedChange]) -> bool {
    let is_rising = state.adoptions.windows(2).all(|w| w[0].0 < w[1].0);
    let Some(document) = &state.view.document else {
        return false;
    };
    let mut expected = vec![1; WORKSPACES];
    let mut in_order: Vec<&ProposedChange> = accepted.iter().collect();
    in_order.sort_by_key(|a| a.version);
    for one in in_order {
        expected[one.workspace] = one.share;
    }
    let has = |(i, share): (usize, &u32)| {
        let name = WorkspaceName(format!("workspace-{i}"));
        document
            .workspace_named(&name)
            .is_some_and(|w| w.share == *share)
    };
    is_rising && expected.iter().enumerate().all(has)
}

/// How a change reached an agent.
enum Propagation {
    /// It came into force this long after it was sent.
    InForce(Duration),
    /// The agent was reachable and never adopted it.
    Missing,
    /// The agent was unreachable while it should have adopted the change.
    Unreachable,
}

fn propagation(agent: &Agent, state: &State, accepted: &ProposedChange) -> Propagation {
    let adopted = state.adoptions.iter().find(|(v, _)| *v >= accepted.version);
    let end = adopted.map_or(u64::MAX, |(_, at)| *at);
    let sent = accepted.sent_ms;
    let was_unreachable =
        |(from, to): &(u64, u64)| *from < end.min(sent + PROPAGATION_LIMIT_MS) && *to > sent;
    if agent.unreachable.iter().any(was_unreachable) {
        return Propagation::Unreachable;
    }
    match adopted {
        Some((_, at)) => Propagation::InForce(Duration::from_millis(at.saturating_sub(sent))),
        None => Propagation::Missing,
    }
}
