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
use peer::agent::{Changes, ChangesRequest};
use peer::link::{AgentLink, LinkError};
use profiles::cache::Update;
use profiles::topology::{Role, role};
use store::wire::HostKind;
use tokio::sync::watch;

use crate::shared::{Agent, SharedAgent};

/// How long the agent that is followed may hold an answer back without news, in milliseconds.
const WAIT: Millis = Millis(1_000);

/// The time limit of a call beyond the time for which it may be held back.
const GRACE: Duration = Duration::from_millis(500);

/// How long an agent that gave no answer is left out.
const AVOID: Millis = Millis(3_000);

/// How long what was read from the platform counts as fresh.
const FRESH: Millis = Millis(1_500);

/// The time that the first link has to bring a version that the second one has told of.
const LEAD: Millis = Millis(100);

/// The most agents of other data centres that are asked at once.
const ELSEWHERE: usize = 8;

/// The adoptions that are kept for the state dump.
const ADOPTIONS: usize = 2_048;

/// What agents that follow this one wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Signal {
    version: Version,
    is_fresh: bool,
}

/// The state of spreading.
#[derive(Debug)]
pub struct Spread {
    signal: watch::Sender<Signal>,
    inner: Mutex<Inner>,
}

/// The part of [`Spread`] that changes.
#[derive(Debug, Default)]
struct Inner {
    /// Until when agents are left out, by host.
    avoided: Sorted<String, Millis>,
    /// Until when the platform's accepted version counts as known.
    fresh_until: Millis,
    /// Why there is no configuration.
    lack: String,
    /// When each version was adopted, in milliseconds of Unix time.
    adoptions: Vec<(Version, u64)>,
}

impl Default for Spread {
    fn default() -> Self {
        let inner = Inner {
            lack: "the platform and the peers have not answered yet".to_owned(),
            ..Inner::default()
        };
        Self {
            signal: watch::Sender::default(),
            inner: Mutex::new(inner),
        }
    }
}

impl Spread {
    /// Why there is no configuration.
    pub fn lack(&self) -> String {
        self.with(|i| i.lack.clone())
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

    fn note_fresh(&self, now: Millis) {
        self.with(|i| i.fresh_until = now + FRESH);
        self.signal
            .send_if_modified(|s| !std::mem::replace(&mut s.is_fresh, true));
    }

    fn note_stale(&self, now: Millis) {
        let is_over = self.with(|i| now >= i.fresh_until);
        if is_over {
            self.signal
                .send_if_modified(|s| std::mem::replace(&mut s.is_fresh, false));
        }
    }

    fn note_version(&self, version: Version) {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
        let at = elapsed.map_or(0, |e| u64::try_from(e.as_millis()).unwrap_or(0));
        self.with(|i| {
            if i.adoptions.len() == ADOPTIONS {
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
    join(changes(&agent), versions(&agent)).await;
}

/// Answers an agent that follows this one.
pub async fn answer(agent: &Agent, ask: ChangesRequest) -> Changes {
    let mut signal = agent.spread.signal.subscribe();
    let was_fresh = signal.borrow_and_update().is_fresh;
    let is_news = |s: &Signal| s.version > ask.after || s.is_fresh != was_fresh;
    let waited = signal.wait_for(is_news);
    // Without news the answer tells just that.
    let _ = tokio::time::timeout(Millis(ask.wait_ms).duration(), waited).await;
    // Checked by the clock as well, in case this agent's own loops are held up.
    let now = agent.timer.now();
    let is_fresh = agent.spread.is_fresh() && agent.spread.with(|i| now < i.fresh_until);
    agent.read(|known| Changes {
        version: known.held.version(),
        is_fresh,
        update: if ask.version_only {
            Update::Changes(Vec::new())
        } else {
            known.held.update_since(ask.after)
        },
    })
}

/// Takes news into force if they are newer than what is held.
pub fn adopt(agent: &Agent, news: Update) {
    let mut adopted = None;
    agent.change(|known| {
        let is_newer = known.held.apply(news);
        adopted = is_newer.then(|| known.held.version());
        is_newer
    });
    if let Some(version) = adopted {
        let host = &agent.settings.host;
        log::info!("configuration in force host={host} version={version}");
        agent.spread.note_version(version);
    }
}

/// Reads from the platform what this agent lacks.
///
/// # Errors
///
/// The cause, if the platform cannot be read.
pub async fn read_store(agent: &Agent) -> Result<(), String> {
    let text = |e: web::client::CallError| e.to_string();
    let head = agent.platform.head().await.map_err(text)?;
    loop {
        let held = agent.version();
        if held >= head.version {
            break;
        }
        let news = agent.platform.read_update(held, head.version).await;
        adopt(agent, news.map_err(text)?);
        if agent.version() == held {
            return Err(format!("the revision after version {held} is missing"));
        }
    }
    agent.spread.note_fresh(agent.timer.now());
    Ok(())
}

/// Gets a first configuration: from the platform, else the highest version among all peers.
async fn start(agent: &Agent) {
    while agent.version() == Version(0) {
        match read_store(agent).await {
            Ok(()) => {
                let lack = "none was accepted yet; apply one with `gooseberryctl apply`";
                agent.spread.with(|i| i.lack = lack.to_owned());
            }
            Err(cause) => {
                let peers = all_peers(agent);
                let answered = ask_all(agent, &peers).await;
                let lack = format!(
                    "the platform gives none ({cause}) and {answered} of {} peers answered, none \
                     of which holds any; bring the platform back or name more `peers`",
                    peers.len()
                );
                agent.spread.with(|i| i.lack = lack);
            }
        }
        if agent.version() == Version(0) {
            agent.timer.after(Millis(agent.settings.poll_ms)).await;
        }
    }
}

/// Asks agents for what this one lacks; returns how many answered.
async fn ask_all(agent: &Agent, peers: &[SocketAddr]) -> usize {
    let calls = peers.iter().map(|addr| async {
        let link = AgentLink::new(*addr);
        let ask = ChangesRequest {
            after: agent.version(),
            wait_ms: 0,
            version_only: false,
        };
        link.changes(ask, WAIT.duration()).await.ok()
    });
    let answers: Vec<Changes> = join_all(calls).await.into_iter().flatten().collect();
    let count = answers.len();
    for answer in answers {
        adopt(agent, answer.update);
    }
    count
}

/// Gets changes: from the platform, or from the first agent that is followed.
async fn changes(agent: &Agent) {
    let mut link = Link::default();
    loop {
        let Role::Follow(links) = own_part(agent) else {
            watch(agent).await;
            agent.timer.after(Millis(agent.settings.poll_ms)).await;
            continue;
        };
        let asked = link.ask(agent, &links[0], WAIT, false).await;
        if asked.is_some_and(|c| c.is_fresh) {
            agent.spread.note_fresh(agent.timer.now());
            continue;
        }
        agent.spread.note_stale(agent.timer.now());
        if !agent.spread.is_fresh() {
            watch(agent).await;
        }
    }
}

/// Watches the version of the second agent that is followed, in case the first one fails.
async fn versions(agent: &Agent) {
    let mut link = Link::default();
    loop {
        let Role::Follow(links) = own_part(agent) else {
            agent.timer.after(Millis(agent.settings.poll_ms)).await;
            continue;
        };
        let Some(told) = link.ask(agent, &links[1], WAIT, true).await else {
            continue;
        };
        if told.is_fresh {
            agent.spread.note_fresh(agent.timer.now());
        }
        if told.version <= agent.version() {
            continue;
        }
        agent.timer.after(LEAD).await;
        if told.version > agent.version() {
            link.ask(agent, &links[1], Millis(0), false).await;
        }
    }
}

/// Looks at the platform once; if it is away, at one other agent.
async fn watch(agent: &Agent) {
    let Err(cause) = read_store(agent).await else {
        return;
    };
    let host = &agent.settings.host;
    log::warn!("configuration not read host={host} cause=\"{cause}\"");
    agent.spread.note_stale(agent.timer.now());
    let peers = all_peers(agent);
    if !peers.is_empty() {
        let i = rand::random_range(0..peers.len());
        ask_all(agent, &peers[i..=i]).await;
    }
}

/// A link to the agent that is followed now.
#[derive(Default)]
struct Link {
    link: Option<AgentLink>,
}

impl Link {
    /// Asks `host`; one that does not answer is left out for some time.
    async fn ask(
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
        match link.changes(ask, wait.duration() + GRACE).await {
            Ok(mut changes) => {
                let empty = Update::Changes(Vec::new());
                adopt(agent, std::mem::replace(&mut changes.update, empty));
                Some(changes)
            }
            Err(e) => {
                self.leave(agent, host, &e);
                None
            }
        }
    }

    fn leave(&mut self, agent: &Agent, host: &str, cause: &LinkError) {
        let own = &agent.settings.host;
        log::warn!("agent not followed host={own} other={host} cause=\"{cause}\"");
        let until = agent.timer.now() + AVOID;
        agent.spread.avoid(host, until);
        self.link = None;
    }
}

/// The part of this agent among those of its data centre that are not left out.
fn own_part(agent: &Agent) -> Role {
    let now = agent.timer.now();
    let avoided = agent.spread.with(|i| {
        i.avoided.retain(|_, until| *until > now);
        i.avoided.clone()
    });
    agent.read(|known| {
        let hosts = known.hosts.hosts.iter();
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
    agent.read(|known| {
        let hosts = &known.hosts.hosts;
        let i = hosts.binary_search_by(|h| h.name.as_str().cmp(host)).ok()?;
        match hosts[i].kind {
            HostKind::Entry { agent, .. } => Some(agent),
            HostKind::Backend { .. } => None,
        }
    })
}

/// The agents that may hold a configuration: of the settings, of this data centre, and some others.
fn all_peers(agent: &Agent) -> Vec<SocketAddr> {
    let mut peers = agent.settings.peers.clone();
    let mut elsewhere = Vec::new();
    agent.read(|known| {
        for host in &known.hosts.hosts {
            let HostKind::Entry { agent: addr, .. } = host.kind else {
                continue;
            };
            if host.data_centre == agent.settings.data_centre {
                peers.push(addr);
            } else {
                elsewhere.push(addr);
            }
        }
    });
    for _ in 0..ELSEWHERE.min(elsewhere.len()) {
        let i = rand::random_range(0..elsewhere.len());
        peers.push(elsewhere.swap_remove(i));
    }
    peers.sort_unstable();
    peers.dedup();
    peers.retain(|addr| *addr != agent.settings.listen.peers);
    peers
}
