//! Simulated operators, who propose changes of one workspace each.

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

/// Time limit for the answer to a proposal.
const APPLY_TIMEOUT: Duration = Duration::from_secs(8);

/// A change of one workspace that was or will be proposed.
#[derive(Clone, Debug)]
pub(crate) struct ProposedChange {
    /// Before acceptance the base version of the proposal, afterwards the version that it created.
    pub(crate) version: Version,
    pub(crate) operation: OperationId,
    pub(crate) workspace: usize,
    pub(crate) share: u32,
    /// When it was sent, in milliseconds of Unix time.
    pub(crate) sent_ms: u64,
}

/// The operators, the changes that were accepted, and counts of all other outcomes.
#[derive(Debug, Default)]
pub(crate) struct Operators {
    pub(crate) accepted: Vec<ProposedChange>,
    pub(crate) conflicts: u64,
    /// Proposals to agents that could not reach the platform and therefore sent nothing to it.
    pub(crate) unavailable: u64,
    /// Proposals that were refused for a reason other than a conflict, or whose outcome is unknown.
    pub(crate) failed: u64,
    /// The highest version reported in answers; the base of the next proposal.
    head: u64,
    /// Number of changes drawn so far.
    count: u32,
}

/// A proposal and its outcome; `None` if there was no valid answer.
struct ProposalResult {
    proposed: ProposedChange,
    outcome: Option<Outcome>,
}

impl Operators {
    /// Proposes `count` changes, one per `period`.
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

    /// Proposes two changes concurrently on the same base version, through two agents drawn at
    /// random.
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
            // Unique, so that the state of an agent shows which change it holds.
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

/// Proposes a change on top of `proposed.version`.
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

/// The admin address of a random agent that is running.
fn pick_agent(agents: &Agents, random: &mut StdRng) -> SocketAddr {
    let up: Vec<SocketAddr> = agents
        .all
        .iter()
        .filter(|a| a.is_up)
        .map(|a| a.admin)
        .collect();
    up[random.random_range(0..up.len())]
}

/// Unix time in milliseconds; comparable across processes, since all run on one host.
pub(crate) fn now_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |e| u64::try_from(e.as_millis()).unwrap_or(0))
}
