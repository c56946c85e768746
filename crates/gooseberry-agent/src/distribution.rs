//! Distribution of new configuration versions among the agents of a data centre.
//!
//! The topology of [`profiles::topology`] selects a few agents that poll the platform. Every other
//! agent follows two agents by long polls: it fetches changes from the first and checks the version
//! of the second. So one dead or frozen agent delays no other agent.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base::prelude::*;
use base::sorted::Sorted;
use futures_util::future::{join, join_all};
use peer::agent::{Changes, ChangesRequest};
use peer::link::{AgentLink, LinkError};
use profiles::cache::Update;
use profiles::topology::{Role, role};
use store::wire::HostKind;
use tokio::sync::watch;

use crate::shared::{Agent, SharedAgent};

/// Maximum time for which a followed agent holds a long poll open while nothing changes.
const MAX_HOLD: Millis = Millis(1_000);

/// Added to the hold time of a long poll to get the time limit of the call.
const CALL_MARGIN: Duration = Duration::from_millis(500);

/// Time for which an agent whose call failed is not followed.
const AVOID_TIME: Millis = Millis(3_000);

/// Time after a confirmation of the platform's accepted version during which it counts as known.
const FRESH_TTL: Millis = Millis(1_500);

/// Time for which the first followed agent may still deliver a version that the second one reports,
/// before it is fetched from the second.
const FALLBACK_DELAY: Millis = Millis(100);

/// Maximum number of agents of other data centres among the candidate peers.
const MAX_REMOTE_PEERS: usize = 8;

/// Number of adoptions kept for the state dump.
const MAX_ADOPTIONS: usize = 2_048;

/// State on whose change the long polls of this agent's followers are answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Signal {
    version: Version,
    is_fresh: bool,
}

/// State of the configuration distribution at one agent.
#[derive(Debug)]
pub struct Distribution {
    signal: watch::Sender<Signal>,
    inner: Mutex<Inner>,
}

/// Part of [`Distribution`] behind the lock.
#[derive(Debug, Default)]
struct Inner {
    /// Time until which a host's agent is not followed, by host.
    avoided: Sorted<String, Millis>,
    /// Time until which the platform's accepted version counts as known.
    fresh_until: Millis,
    /// Reason why there is no configuration, for the readiness response.
    missing_reason: String,
    /// Adopted versions, each with the time of its adoption in milliseconds of Unix time.
    adoptions: Vec<(Version, u64)>,
}

impl Default for Distribution {
    fn default() -> Self {
        let inner = Inner {
            missing_reason: "the platform and the peers have not answered yet".to_owned(),
            ..Inner::default()
        };
        Self {
            signal: watch::Sender::default(),
            inner: Mutex::new(inner),
        }
    }
}

impl Distribution {
    /// Reason why there is no configuration; meaningful only while the version is 0.
    pub fn missing_reason(&self) -> String {
        self.with(|i| i.missing_reason.clone())
    }

    /// The latest adopted versions, each with its time of adoption in milliseconds of Unix time.
    pub fn adoptions(&self) -> Vec<(Version, u64)> {
        self.with(|i| i.adoptions.clone())
    }

    /// Whether the platform's accepted version is known, read by this agent or by followed agents.
    pub fn is_fresh(&self) -> bool {
        self.signal.borrow().is_fresh
    }

    fn with<T>(&self, change: impl FnOnce(&mut Inner) -> T) -> T {
        change(&mut self.inner.lock().unwrap_or_else(|e| e.into_inner()))
    }

    fn mark_fresh(&self, now: Millis) {
        self.with(|i| i.fresh_until = now + FRESH_TTL);
        self.signal
            .send_if_modified(|s| !std::mem::replace(&mut s.is_fresh, true));
    }

    /// Clears the freshness if no confirmation came within [`FRESH_TTL`].
    fn expire_fresh(&self, now: Millis) {
        let is_expired = self.with(|i| now >= i.fresh_until);
        if is_expired {
            self.signal
                .send_if_modified(|s| std::mem::replace(&mut s.is_fresh, false));
        }
    }

    fn record_adoption(&self, version: Version) {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
        let at = elapsed.map_or(0, |e| u64::try_from(e.as_millis()).unwrap_or(0));
        self.with(|i| {
            if i.adoptions.len() == MAX_ADOPTIONS {
                i.adoptions.remove(0);
            }
            i.adoptions.push((version, at));
        });
        self.signal.send_modify(|s| s.version = version);
    }

    fn avoid(&self, host: &str, until: Millis) {
        self.with(|i| i.avoided.insert(host.to_owned(), until));
    }
}

/// Fetches a first configuration and keeps it up to date; never returns.
pub async fn run(agent: SharedAgent) {
    start(&agent).await;
    join(follow_changes(&agent), follow_versions(&agent)).await;
}

/// Answers a long poll of an agent that follows this one.
pub async fn answer(agent: &Agent, ask: ChangesRequest) -> Changes {
    let mut signal = agent.distribution.signal.subscribe();
    let was_fresh = signal.borrow_and_update().is_fresh;
    let is_change = |s: &Signal| s.version > ask.after || s.is_fresh != was_fresh;
    let waited = signal.wait_for(is_change);
    // On a timeout the answer reports the unchanged version.
    let _ = tokio::time::timeout(Millis(ask.wait_ms).duration(), waited).await;
    // The flag alone is not enough: it is only cleared by loops that may be delayed themselves.
    let now = agent.timer.now();
    let is_fresh =
        agent.distribution.is_fresh() && agent.distribution.with(|i| now < i.fresh_until);
    agent.read(|state| Changes {
        version: state.config.version(),
        is_fresh,
        update: if ask.version_only {
            Update::Changes(Vec::new())
        } else {
            state.config.update_since(ask.after)
        },
    })
}

/// Applies an update and puts it in force if it is newer than the current version.
pub fn adopt(agent: &Agent, update: Update) {
    let mut adopted = None;
    agent.change(|state| {
        let is_newer = state.config.apply(update);
        adopted = is_newer.then(|| state.config.version());
        is_newer
    });
    if let Some(version) = adopted {
        let host = &agent.settings.host;
        log::info!("configuration in force host={host} version={version}");
        agent.distribution.record_adoption(version);
    }
}

/// Fetches the missing versions from the platform.
///
/// # Errors
///
/// The cause if the platform cannot be read or lacks a revision.
pub async fn sync_platform(agent: &Agent) -> Result<(), String> {
    let text = |e: web::client::CallError| e.to_string();
    let head = agent.platform.head().await.map_err(text)?;
    loop {
        let current = agent.version();
        if current >= head.version {
            break;
        }
        let update = agent.platform.read_update(current, head.version).await;
        adopt(agent, update.map_err(text)?);
        if agent.version() == current {
            return Err(format!(
                "the platform lacks the revision after version {current}"
            ));
        }
    }
    agent.distribution.mark_fresh(agent.timer.now());
    Ok(())
}

/// Fetches a first configuration: from the platform, else the highest version among the candidate
/// peers; retries until there is one.
async fn start(agent: &Agent) {
    while agent.version() == Version(0) {
        match sync_platform(agent).await {
            Ok(()) => {
                let reason = "none was accepted yet; apply one with `gooseberryctl apply`";
                agent
                    .distribution
                    .with(|i| i.missing_reason = reason.to_owned());
            }
            Err(cause) => {
                let peers = candidate_peers(agent);
                let answered = fetch_peers(agent, &peers).await;
                let reason = format!(
                    "the platform cannot be read ({cause}) and {answered} of {} peers answered, \
                     none with a configuration; restore the platform or list more `peers`",
                    peers.len()
                );
                agent.distribution.with(|i| i.missing_reason = reason);
            }
        }
        if agent.version() == Version(0) {
            agent.timer.after(Millis(agent.settings.poll_ms)).await;
        }
    }
}

/// Fetches missing versions from all `peers` at once; returns how many answered.
async fn fetch_peers(agent: &Agent, peers: &[SocketAddr]) -> usize {
    let calls = peers.iter().map(|addr| async {
        let link = AgentLink::new(*addr);
        let ask = ChangesRequest {
            after: agent.version(),
            wait_ms: 0,
            version_only: false,
        };
        link.changes(ask, MAX_HOLD.duration()).await.ok()
    });
    let answers: Vec<Changes> = join_all(calls).await.into_iter().flatten().collect();
    let count = answers.len();
    for answer in answers {
        adopt(agent, answer.update);
    }
    count
}

/// Fetches changes: from the platform as a watcher, else from the first followed agent.
///
/// Falls back to the platform once no followed agent confirms the accepted version any more.
async fn follow_changes(agent: &Agent) {
    let mut link = FollowLink::default();
    loop {
        let Role::Follow(links) = own_role(agent) else {
            poll_platform(agent).await;
            agent.timer.after(Millis(agent.settings.poll_ms)).await;
            continue;
        };
        let changes = link.request(agent, &links[0], MAX_HOLD, false).await;
        if changes.is_some_and(|c| c.is_fresh) {
            agent.distribution.mark_fresh(agent.timer.now());
            continue;
        }
        agent.distribution.expire_fresh(agent.timer.now());
        if !agent.distribution.is_fresh() {
            poll_platform(agent).await;
        }
    }
}

/// Checks the version of the second followed agent and fetches from it what the first one does not
/// deliver within [`FALLBACK_DELAY`].
async fn follow_versions(agent: &Agent) {
    let mut link = FollowLink::default();
    loop {
        let Role::Follow(links) = own_role(agent) else {
            agent.timer.after(Millis(agent.settings.poll_ms)).await;
            continue;
        };
        let Some(changes) = link.request(agent, &links[1], MAX_HOLD, true).await else {
            continue;
        };
        if changes.is_fresh {
            agent.distribution.mark_fresh(agent.timer.now());
        }
        if changes.version <= agent.version() {
            continue;
        }
        agent.timer.after(FALLBACK_DELAY).await;
        if changes.version > agent.version() {
            link.request(agent, &links[1], Millis(0), false).await;
        }
    }
}

/// Fetches from the platform once; if it is unavailable, from one random candidate peer.
async fn poll_platform(agent: &Agent) {
    let Err(cause) = sync_platform(agent).await else {
        return;
    };
    let host = &agent.settings.host;
    log::warn!("configuration not read from the platform host={host} cause=\"{cause}\"");
    agent.distribution.expire_fresh(agent.timer.now());
    let peers = candidate_peers(agent);
    if !peers.is_empty() {
        let i = rand::random_range(0..peers.len());
        fetch_peers(agent, &peers[i..=i]).await;
    }
}

/// Connection to the currently followed agent; replaced when its address changes.
#[derive(Default)]
struct FollowLink {
    link: Option<AgentLink>,
}

impl FollowLink {
    /// Long-polls the agent of `host` and adopts its update; if the call fails, the agent is not
    /// followed for [`AVOID_TIME`].
    async fn request(
        &mut self,
        agent: &Agent,
        host: &str,
        wait: Millis,
        is_brief: bool,
    ) -> Option<Changes> {
        let addr = agent_address(agent, host)?;
        if self.link.as_ref().is_none_or(|l| l.addr() != addr) {
            self.link = None;
        }
        let link = self.link.get_or_insert_with(|| AgentLink::new(addr));
        let ask = ChangesRequest {
            after: agent.version(),
            wait_ms: wait.0,
            version_only: is_brief,
        };
        match link.changes(ask, wait.duration() + CALL_MARGIN).await {
            Ok(mut changes) => {
                let empty = Update::Changes(Vec::new());
                adopt(agent, std::mem::replace(&mut changes.update, empty));
                Some(changes)
            }
            Err(e) => {
                self.mark_failed(agent, host, &e);
                None
            }
        }
    }

    fn mark_failed(&mut self, agent: &Agent, host: &str, cause: &LinkError) {
        let own = &agent.settings.host;
        log::warn!(
            "call to followed agent failed, avoiding it temporarily host={own} other={host} cause=\"{cause}\""
        );
        let until = agent.timer.now() + AVOID_TIME;
        agent.distribution.avoid(host, until);
        self.link = None;
    }
}

/// The role of this agent among the agents of its data centre that are not avoided.
fn own_role(agent: &Agent) -> Role {
    let now = agent.timer.now();
    let avoided = agent.distribution.with(|i| {
        i.avoided.retain(|_, until| *until > now);
        i.avoided.clone()
    });
    agent.read(|state| {
        let hosts = state.hosts.hosts.iter();
        let live: Vec<&str> = hosts
            .filter(|h| matches!(h.kind, HostKind::Entry { .. }))
            .filter(|h| h.data_centre == agent.settings.data_centre)
            .map(|h| h.name.as_str())
            .filter(|name| avoided.get(&(*name).to_owned()).is_none())
            .collect();
        role(agent.settings.spread, agent.settings.host.as_str(), &live)
    })
}

/// Address on which the agent of `host` accepts peer calls; `None` if the host list has no such
/// entry host.
fn agent_address(agent: &Agent, host: &str) -> Option<SocketAddr> {
    agent.read(|state| {
        let hosts = &state.hosts.hosts;
        let i = hosts.binary_search_by(|h| h.name.as_str().cmp(host)).ok()?;
        match hosts[i].kind {
            HostKind::Entry { agent, .. } => Some(agent),
            HostKind::Backend { .. } => None,
        }
    })
}

/// Agents that may have a configuration: those of the settings and of this data centre, and up to
/// [`MAX_REMOTE_PEERS`] random ones of other data centres.
fn candidate_peers(agent: &Agent) -> Vec<SocketAddr> {
    let mut peers = agent.settings.peers.clone();
    let mut remote = Vec::new();
    agent.read(|state| {
        for host in &state.hosts.hosts {
            let HostKind::Entry { agent: addr, .. } = host.kind else {
                continue;
            };
            if host.data_centre == agent.settings.data_centre {
                peers.push(addr);
            } else {
                remote.push(addr);
            }
        }
    });
    for _ in 0..MAX_REMOTE_PEERS.min(remote.len()) {
        let i = rand::random_range(0..remote.len());
        peers.push(remote.swap_remove(i));
    }
    peers.sort_unstable();
    peers.dedup();
    peers.retain(|addr| *addr != agent.settings.listen.peers);
    peers
}
