//! The operators of the experiment: they change one workspace at a time.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base::prelude::*;
use hyper::Method;
use profiles::change::{Proposal, Refusal};
use profiles::commit::Outcome;
use rand::RngExt;
use rand::rngs::StdRng;
use tokio::time::{Instant, sleep_until};

use super::agents::{Agents, OPERATOR_KEY, WORKSPACES, change};

/// The longest wait for the answer to a proposal.
const APPLY_TIMEOUT: Duration = Duration::from_secs(8);

/// An accepted change.
#[derive(Clone, Debug)]
pub(crate) struct ProposedChange {
    pub(crate) version: Version,
    pub(crate) operation: OperationId,
    pub(crate) workspace: usize,
    pub(crate) share: u32,
    /// When it was sent, in milliseconds of Unix time.
    pub(crate) sent_ms: u64,
}

/// What the operators did.
#[derive(Debug, Default)]
pub(crate) struct Operators {
    pub(crate) accepted: Vec<ProposedChange>,
    pub(crate) conflicts: u64,
    /// Proposals to agents that could not reach the platform; nothing was sent for these.
    pub(crate) unavailable: u64,
    /// Proposals that were refused for another reason, or have no known outcome.
    pub(crate) failed: u64,
    head: u64,
    count: u32,
}

/// How one proposal ended.
struct ProposalResult {
    proposed: ProposedChange,
    outcome: Option<Outcome>,
}

impl Operators {
    /// Makes `count` changes, one each `period`.
    pub(crate) async fn steady(
        &mut self,
        agents: &Agents,
        random: &mut StdRng,
        count: usize,
        period: Duration,
    ) {
        let start = Instant::now();
        for i in 0..u32::try_from(count).unwrap_or(0) {
            sleep_until(start + period * i).await;
            let proposed = self.draw_change(random);
            let result = send(pick_agent(agents, random), proposed).await;
            self.record(result);
        }
        sleep_until(start + period * u32::try_from(count).unwrap_or(0)).await;
    }

    /// Two operators propose at once, through two agents.
    pub(crate) async fn race(&mut self, agents: &Agents, random: &mut StdRng) {
        let (one, two) = (self.draw_change(random), self.draw_change(random));
        let (first, second) = (pick_agent(agents, random), pick_agent(agents, random));
        let (one, two) = tokio::join!(send(first, one), send(second, two));
        self.record(one);
        self.record(two);
    }

    fn draw_change(&mut self, random: &mut StdRng) -> ProposedChange {
        self.count += 1;
        ProposedChange {
            version: Version(self.head.max(1)),
            operation: OperationId(format!("change-{}", self.count)),
            workspace: random.random_range(0..WORKSPACES),
            // Each change differs from all before it.
            share: self.count + 1,
            sent_ms: now_ms(),
        }
    }

    fn record(&mut self, result: ProposalResult) {
        match result.outcome {
            Some(Outcome::Accepted { version }) => {
                self.head = self.head.max(version.0);
                self.accepted.push(ProposedChange {
                    version,
                    ..result.proposed
                });
            }
            Some(Outcome::Refused {
                refusal: Refusal::Conflict { head, .. },
            }) => {
                self.head = self.head.max(head.0);
                self.conflicts += 1;
            }
            Some(Outcome::Unavailable) => self.unavailable += 1,
            _ => self.failed += 1,
        }
    }
}

/// Sends a proposal based on the version that `tried` names.
async fn send(addr: SocketAddr, proposed: ProposedChange) -> ProposalResult {
    let proposal = Proposal {
        base: proposed.version,
        operation: proposed.operation.clone(),
        changes: vec![change(proposed.workspace, proposed.share)],
    };
    let path = "/v1/config/apply";
    let mut request = web::client::json_request(addr, Method::POST, path, &proposal);
    if let Ok(value) = format!("Bearer {OPERATOR_KEY}").parse() {
        request.headers_mut().insert("authorization", value);
    }
    ProposalResult {
        proposed,
        outcome: outcome(addr, request).await,
    }
}

async fn outcome(
    addr: SocketAddr,
    request: hyper::Request<http_body_util::Full<bytes::Bytes>>,
) -> Option<Outcome> {
    let response = web::client::send(addr, request, APPLY_TIMEOUT).await.ok()?;
    match web::client::read_whole(addr, response).await {
        Ok(bytes) => serde_json::from_slice(&bytes).ok(),
        Err(web::client::CallError::Status { body, .. }) => serde_json::from_str(&body).ok(),
        Err(_) => None,
    }
}

/// An agent that is up.
fn pick_agent(agents: &Agents, random: &mut StdRng) -> SocketAddr {
    let up: Vec<SocketAddr> = agents
        .all
        .iter()
        .filter(|a| a.is_up)
        .map(|a| a.admin)
        .collect();
    up[random.random_range(0..up.len())]
}

/// The time, in milliseconds of Unix time; all processes run on one machine.
pub(crate) fn now_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |e| u64::try_from(e.as_millis()).unwrap_or(0))
}
