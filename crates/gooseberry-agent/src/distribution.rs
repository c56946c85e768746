//! How the agents of a data centre learn of new versions of the configuration.
//!
//! A few agents watch the platform; each other one follows two agents, the first for the changes and
//! the second for its version, so that one dead or frozen agent holds nobody up.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base::prelude::*;
use base::sorted::Sorted;
use futures_util::future::{join, join_all};
use peer::agent::{Ask, Changes};
use peer::link::{AgentLink, LinkError};
use profiles::cache::Update;
use profiles::topology::{Role, role};
use store::wire::HostKind;
use tokio::sync::watch;

use crate::shared::{Agent, SharedAgent};

/// How long the agent that is followed may hold an answer back without news, in milliseconds.
const MAX_HOLD: Millis = Millis(1_000);

/// The time limit of a call beyond the time for which it may be held back.
const CALL_MARGIN: Duration = Duration::from_millis(500);

/// How long an agent that gave no answer is left out.
const AVOID_TIME: Millis = Millis(3_000);

/// How long what was read from the platform counts as fresh.
const FRESH_TTL: Millis = Millis(1_500);

/// The time that the first link has to bring a version that the second one has told of.
const FALLBACK_DELAY: Millis = Millis(100);

/// The most agents of other data centres that are asked at once.
const MAX_REMOTE_PEERS: usize = 8;

/// The adoptions that are kept for the state dump.
const MAX_ADOPTIONS: usize = 2_048;

/// What agents that follow this one wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Signal {
    version: Version,
    is_fresh: bool,
}

/// The state of spreading.
#[derive(Debug)]
pub struct Distribution {
    signal: watch::Sender<Signal>,
    inner: Mutex<Inner>,
}

/// The part of [`Distribution`] that changes.
#[derive(Debug, Default)]
struct Inner {
    /// Until when agents are left out, by host.
    avoided: Sorted<String, Millis>,
    /// Until when the platform's accepted version counts as known.
    fresh_until: Millis,
    /// Why there is no configuration.
    missing_reason: String,
    /// When each version was adopted, in milliseconds of Unix time.
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
    /// Why there is no configuration.
    pub fn missing_reason(&self) -> String {
        self.with(|i| i.missing_reason.clone())
    }

    /// The latest adoptions: versions, and when they came into force in milliseconds of Unix time.
    pub fn adoptions(&self) -> Vec<(Version, u64)> {
        self.with(|i| i.adoptions.clone())
    }

    /// Whether the accepted version is known, by this agent or through others.
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

/// Keeps the configuration up to date for ever.
pub async fn run(agent: SharedAgent) {
    start(&agent).await;
    join(follow_changes(&agent), follow_versions(&agent)).await;
}

/// Answers an agent that follows this one.
pub async fn answer(agent: &Agent, ask: Ask) -> Changes {
    let mut signal = agent.distribution.signal.subscribe();
    let was_fresh = signal.borrow_and_update().is_fresh;
    let is_change = |s: &Signal| s.version > ask.after || s.is_fresh != was_fresh;
    let waited = signal.wait_for(is_change);
    // Without news the answer tells just that.
    let _ = tokio::time::timeout(Millis(ask.wait_ms).duration(), waited).await;
    // Checked by the clock as well, in case this agent's own loops are held up.
    let now = agent.timer.now();
    let is_fresh =
        agent.distribution.is_fresh() && agent.distribution.with(|i| now < i.fresh_until);
    agent.read(|state| Changes {
        version: state.config.version(),
        is_fresh,
        news: if ask.is_brief {
            Update::Changes(Vec::new())
        } else {
            state.config.update_since(ask.after)
        },
    })
}

/// Takes news into force if they are newer than what is held.
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

/// Reads from the platform what this agent lacks.
///
/// # Errors
///
/// The cause, if the platform cannot be read.
pub async fn sync_platform(agent: &Agent) -> Result<(), String> {
    let text = |e: web::client::CallError| e.to_string();
    let head = agent.platform.head().await.map_err(text)?;
    loop {
        let held = agent.version();
        if held >= head.version {
            break;
        }
        let update = agent.platform.read_update(held, head.version).await;
        adopt(agent, update.map_err(text)?);
        if agent.version() == held {
            return Err(format!("the revision after version {held} is missing"));
        }
    }
    agent.distribution.mark_fresh(agent.timer.now());
    Ok(())
}

/// Gets a first configuration: from the platform, else the highest version among all peers.
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
                    "the platform gives none ({cause}) and {answered} of {} peers answered, none \
                     of which holds any; bring the platform back or name more `peers`",
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

/// Asks agents for what this one lacks; returns how many answered.
async fn fetch_peers(agent: &Agent, peers: &[SocketAddr]) -> usize {
    let calls = peers.iter().map(|addr| async {
        let link = AgentLink::new(*addr);
        let ask = Ask {
            after: agent.version(),
            wait_ms: 0,
            is_brief: false,
        };
        link.changes(ask, MAX_HOLD.duration()).await.ok()
    });
    let answers: Vec<Changes> = join_all(calls).await.into_iter().flatten().collect();
    let count = answers.len();
    for answer in answers {
        adopt(agent, answer.news);
    }
    count
}

/// Gets changes: from the platform, or from the first agent that is followed.
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

/// Watches the version of the second agent that is followed, in case the first one fails.
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

/// Looks at the platform once; if it is away, at one other agent.
async fn poll_platform(agent: &Agent) {
    let Err(cause) = sync_platform(agent).await else {
        return;
    };
    let host = &agent.settings.host;
    log::warn!("configuration not read host={host} cause=\"{cause}\"");
    agent.distribution.expire_fresh(agent.timer.now());
    let peers = candidate_peers(agent);
    if !peers.is_empty() {
        let i = rand::random_range(0..peers.len());
        fetch_peers(agent, &peers[i..=i]).await;
    }
}

/// A link to the agent that is followed now.
#[derive(Default)]
struct FollowLink {
    link: Option<AgentLink>,
}

impl FollowLink {
    /// Asks `host`; one that does not answer is left out for some time.
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
        let ask = Ask {
            after: agent.version(),
            wait_ms: wait.0,
            is_brief,
        };
        match link.changes(ask, wait.duration() + CALL_MARGIN).await {
            Ok(mut changes) => {
                let empty = Update::Changes(Vec::new());
                adopt(agent, std::mem::replace(&mut changes.news, empty));
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
        log::warn!("agent not followed host={own} other={host} cause=\"{cause}\"");
        let until = agent.timer.now() + AVOID_TIME;
        agent.distribution.avoid(host, until);
        self.link = None;
    }
}

/// The part of this agent among those of its data centre that are not left out.
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

/// Where the agent of `host` takes calls.
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

/// The agents that may hold a configuration: of the settings, of this data centre, and some others.
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
