//! Copies of the memory of running streams, from which they go on after a loss.
//!
//! The engine that runs a stream keeps a copy up to date at an engine in another data centre. When that
//! one is lost, copies are made at a third one by calls, as long as the stream runs.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use balance::place::Load;
use base::prelude::*;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Uri};
use platform::kv_copy::{self, CopyError};
use platform::request::KvBackup;
use thiserror::Error;
use tokio_util::task::AbortOnDropHandle;

use crate::context::Context;
use crate::fleet::{Lease, Want};
use crate::liveness;
use crate::send::{self, Job};

/// How often the server that holds a copy is checked.
const CHECK: Millis = Millis(400);

/// A holder that was heard within this time is not asked whether it is there.
const HEARD: Millis = Millis(1_500);

/// How long a holder may take to accept a connection.
const ASK_LIMIT: Millis = Millis(120);

/// How often a copy that is made by calls is brought up to date; engines drop one after 4 s.
const RENEW: Millis = Millis(1_000);

/// How long a call that makes a copy may take; the copy itself takes a few milliseconds.
const CALL_LIMIT: Millis = Millis(500);

/// The servers that are tried as holders of one copy.
const MAX_HOLDERS: usize = 3;

/// The memory that a request needs at an engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Memory {
    /// The tokens that an engine holds.
    pub capacity: u64,
    /// The tokens that this request needs.
    pub needed: u64,
    /// The tokens of its prompt.
    pub prompt: u64,
    /// Whether engines copy what they hold to others.
    pub copies: bool,
}

/// A copy and the server that holds it.
#[derive(Debug)]
pub struct Held {
    /// The server, with the room that the copy takes.
    pub holder: Lease,
    /// What the copy is.
    pub copy: KvBackup,
    /// Since when the server has held it.
    since: Millis,
}

/// The copy of a run, kept while the run goes on.
#[derive(Debug)]
pub struct Keeper {
    held: Arc<Mutex<Option<Held>>>,
    _task: AbortOnDropHandle<()>,
}

/// Why a call for a copy gave none.
#[derive(Debug, Error)]
enum CallError {
    #[error("the engine that runs the stream is not reachable")]
    Unreachable,
    #[error(transparent)]
    Copy(#[from] CopyError),
}

impl Held {
    /// A copy that the engine of a run keeps up to date at `holder`.
    pub fn followed(holder: Lease, now: Millis) -> Self {
        let copy = KvBackup::Followed {
            holder: holder.addr,
        };
        Self {
            holder,
            copy,
            since: now,
        }
    }
}

impl Keeper {
    /// Watches over the copy of the run of `job` at the server `source`.
    pub fn start(
        ctx: &Arc<Context>,
        job: &Arc<Job>,
        memory: Memory,
        source: &Lease,
        held: Option<Held>,
    ) -> Self {
        let held = Arc::new(Mutex::new(held));
        let work = Work {
            ctx: Arc::clone(ctx),
            job: Arc::clone(job),
            memory,
            source: source.id.clone(),
            addr: source.addr,
            centre: source.centre.clone(),
            held: Arc::clone(&held),
        };
        let task = AbortOnDropHandle::new(tokio::spawn(work.run()));
        Self { held, _task: task }
    }

    /// The copy, once the run has ended.
    pub fn take(self) -> Option<Held> {
        lock(&self.held).take()
    }
}

/// Chooses a server in another data centre that is there, for a copy of a run at `centre`.
pub async fn choose(
    ctx: &Context,
    job: &Job,
    memory: Memory,
    centre: &DataCentre,
    avoid: &[BackendId],
) -> Option<Lease> {
    for _ in 0..MAX_HOLDERS {
        let lease = place(ctx, job, memory, centre, avoid)?;
        if liveness::is_there(ctx, &lease.id, HEARD, ASK_LIMIT).await {
            return Some(lease);
        }
    }
    None
}

/// Chooses a server in another data centre for a copy of a run at `centre`: in this host's own, unless the
/// run is there.
pub fn place(
    ctx: &Context,
    job: &Job,
    memory: Memory,
    centre: &DataCentre,
    avoid: &[BackendId],
) -> Option<Lease> {
    let want = Want {
        service: job.plan.service.as_str(),
        load: Load {
            backups: memory.needed,
            ..Load::default()
        },
        capacity: memory.capacity,
        avoid,
        avoid_centre: Some(centre.as_str()),
        // When this host is cut off from the run, the copy is on its side.
        prefer_centre: Some(ctx.data_centre.as_str()),
        content: None,
    };
    let lease = ctx.servers.place(ctx.now(), &want)?;
    (!avoid.contains(&lease.id)).then_some(lease)
}

/// What watches over one copy.
struct Work {
    ctx: Arc<Context>,
    job: Arc<Job>,
    memory: Memory,
    source: BackendId,
    addr: SocketAddr,
    centre: DataCentre,
    held: Arc<Mutex<Option<Held>>>,
}

impl Work {
    async fn run(self) {
        let mut made = Millis(0);
        loop {
            self.ctx.timer.after(CHECK).await;
            let now = self.ctx.now();
            let known = self.known();
            let is_sound = match &known {
                Some((holder, since, _)) => {
                    self.ctx.servers.is_sound(holder, *since)
                        && liveness::is_there(&self.ctx, holder, HEARD, ASK_LIMIT).await
                }
                None => false,
            };
            match known {
                Some((_, _, None)) if is_sound => {}
                Some((_, _, Some(addr))) if is_sound => {
                    if now.since(made) >= RENEW && self.renew(addr).await {
                        made = now;
                    }
                }
                _ => {
                    lock(&self.held).take();
                    if self.replace().await {
                        made = now;
                    }
                }
            }
        }
    }

    /// The holder, since when, and its address if the copy is made by calls.
    fn known(&self) -> Option<(BackendId, Millis, Option<SocketAddr>)> {
        let held = lock(&self.held);
        let held = held.as_ref()?;
        let addr = match held.copy {
            KvBackup::Followed { .. } => None,
            KvBackup::Moved { .. } => Some(held.holder.addr),
        };
        Some((held.holder.id.clone(), held.since, addr))
    }

    /// Brings a copy up to date; returns whether it was.
    async fn renew(&self, addr: SocketAddr) -> bool {
        match self.call(addr).await {
            Ok(handle) => {
                if let Some(held) = lock(&self.held).as_mut() {
                    held.copy = self.moved(handle);
                }
                true
            }
            Err(error) => {
                self.failed(&error);
                lock(&self.held).take();
                false
            }
        }
    }

    /// Makes a copy at another server; returns whether there is one.
    async fn replace(&self) -> bool {
        let avoid = [self.source.clone()];
        let holder = choose(&self.ctx, &self.job, self.memory, &self.centre, &avoid).await;
        let Some(holder) = holder else { return false };
        match self.call(holder.addr).await {
            Ok(handle) => {
                tracing::info!(
                    id = %self.job.call.id, server = %self.source, holder = %holder.id, "copy replaced"
                );
                let held = Held {
                    holder,
                    copy: self.moved(handle),
                    since: self.ctx.now(),
                };
                *lock(&self.held) = Some(held);
                true
            }
            Err(error) => {
                self.failed(&error);
                false
            }
        }
    }

    fn moved(&self, handle: String) -> KvBackup {
        KvBackup::Moved {
            source: self.addr,
            handle,
        }
    }

    fn failed(&self, error: &CallError) {
        tracing::info!(id = %self.job.call.id, server = %self.source, %error, "copy not made");
    }

    /// Has the run's memory copied to the server at `to`; returns the name of the copy.
    async fn call(&self, to: SocketAddr) -> Result<String, CallError> {
        let work = self.exchange(to);
        match tokio::time::timeout(CALL_LIMIT.duration(), work).await {
            Ok(result) => result,
            Err(_) => Err(CallError::Unreachable),
        }
    }

    async fn exchange(&self, to: SocketAddr) -> Result<String, CallError> {
        let opened = send::link(&self.ctx, &self.source, self.addr, CALL_LIMIT, "copy").await;
        let mut link = opened.map_err(|_| CallError::Unreachable)?;
        let body = kv_copy::encode(&self.job.call.id, to);
        let mut request = Request::new(Full::new(Bytes::from(body)));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static(kv_copy::PATH);
        let json = HeaderValue::from_static("application/json");
        request.headers_mut().insert(CONTENT_TYPE, json);
        let answer = link.fetch(request).await;
        let (status, body) = answer.map_err(|_| CallError::Unreachable)?;
        self.ctx
            .servers
            .keep(&self.source, link, self.ctx.now(), None);
        Ok(kv_copy::decode(status, &body)?)
    }
}

fn lock(held: &Mutex<Option<Held>>) -> std::sync::MutexGuard<'_, Option<Held>> {
    held.lock().unwrap_or_else(PoisonError::into_inner)
}
