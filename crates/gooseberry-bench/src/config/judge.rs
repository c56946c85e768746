//! Whether accepted changes came into force everywhere and stayed.

use std::time::Duration;

use base::prelude::*;
use profiles::document::Document;
use serde::Deserialize;
use serde_json::Value;

use super::agents::{Agent, Agents, WORKSPACES};
use super::changes::{Accepted, Operators};
use crate::harness::BenchError;
use crate::harness::fleet::CALL_TIMEOUT;
use crate::harness::report::{Times, times};

/// An agent that goes away this long after a change was sent should have had it.
const EXCUSED_MS: u64 = 4_000;

/// The verdict on a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Judged {
    /// Accepted changes that the platform does not hold under their version.
    pub(crate) lost: u64,
    /// Agents that fell to a lower version, or whose document lacks an accepted change.
    pub(crate) reverted: u64,
    /// Changes that a reachable agent never had.
    pub(crate) behind: u64,
    /// From sending a change until it is in force, over all reachable agents.
    pub(crate) in_force_ms: Times,
}

/// The parts of an agent's state that count.
#[derive(Debug, Deserialize)]
struct State {
    view: View,
    adoptions: Vec<(Version, u64)>,
}

#[derive(Debug, Deserialize)]
struct View {
    document: Option<Document>,
}

/// Judges a run at its end.
pub(crate) async fn judge(agents: &Agents, operators: &Operators) -> Result<Judged, BenchError> {
    let mut judged = Judged::default();
    for accepted in &operators.accepted {
        let kept = agents.platform.revision(accepted.version).await?;
        if kept.is_none_or(|r| r.operation != accepted.operation) {
            judged.lost += 1;
        }
    }
    let mut spans = Vec::new();
    for agent in &agents.all {
        let state: Value = web::client::get(agent.admin, "/v1/state", CALL_TIMEOUT).await?;
        let Ok(state) = serde_json::from_value::<State>(state) else {
            judged.reverted += 1;
            continue;
        };
        if !holds_all(&state, &operators.accepted) {
            judged.reverted += 1;
        }
        for accepted in &operators.accepted {
            match in_force(agent, &state, accepted) {
                Seen::After(span) => spans.push(span),
                Seen::Never => judged.behind += 1,
                Seen::Excused => {}
            }
        }
    }
    judged.in_force_ms = times(spans);
    Ok(judged)
}

/// Whether versions only rose and the last document holds what was accepted last.
fn holds_all(state: &State, accepted: &[Accepted]) -> bool {
    let rises = state.adoptions.windows(2).all(|w| w[0].0 < w[1].0);
    let Some(document) = &state.view.document else {
        return false;
    };
    let mut wanted = vec![1; WORKSPACES];
    let mut in_order: Vec<&Accepted> = accepted.iter().collect();
    in_order.sort_by_key(|a| a.version);
    for one in in_order {
        wanted[one.workspace] = one.share;
    }
    let has = |(i, share): (usize, &u32)| {
        let name = WorkspaceName(format!("workspace-{i}"));
        document
            .workspace_named(&name)
            .is_some_and(|w| w.share == *share)
    };
    rises && wanted.iter().enumerate().all(has)
}

/// When an agent had a change.
enum Seen {
    After(Duration),
    Never,
    /// It was not reachable.
    Excused,
}

fn in_force(agent: &Agent, state: &State, accepted: &Accepted) -> Seen {
    let adopted = state.adoptions.iter().find(|(v, _)| *v >= accepted.version);
    let end = adopted.map_or(u64::MAX, |(_, at)| *at);
    let sent = accepted.sent_ms;
    let is_away = |(from, to): &(u64, u64)| *from < end.min(sent + EXCUSED_MS) && *to > sent;
    if agent.away.iter().any(is_away) {
        return Seen::Excused;
    }
    match adopted {
        Some((_, at)) => Seen::After(Duration::from_millis(at.saturating_sub(sent))),
        None => Seen::Never,
    }
}
