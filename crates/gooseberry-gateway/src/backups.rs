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
use crate::fleet::{Lease, PlacementRequest};
use crate::liveness;
use crate::send::{self, Job};

/// How often the server that holds a copy is checked.
const CHECK_INTERVAL: Millis = Millis(400);

/// A holder that was heard within this time is not asked whether it is there.
const RECENT_ACTIVITY: Millis = Millis(1_500);

/// How long a holder may take to accept a connection.
const PROBE_TIMEOUT: Millis = Millis(120);

/// How often a copy that is made by calls is brought up to date; engines drop one after 4 s.
const REFRESH_INTERVAL: Millis = Millis(1_000);

/// How long a call that makes a copy may take; the copy itself takes a few milliseconds.
const CALL_TIMEOUT: Millis = Millis(500);

/// The servers that are tried as holders of one copy.
const MAX_CANDIDATES: usize = 3;

/// The memory that a request needs at an engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct KvDemand {
    /// The tokens that an engine holds.
    pub capacity: u64,
    /// The tokens that this request needs.
    pub needed: u64,
    /// The tokens of its prompt.
    pub prompt: u64,
    /// Whether engines copy what they hold to others.
    pub has_backups: bool,
}

/// A copy and the server that holds it.
#[derive(Debug)]
pub struct Backup {
    /// The server, with the room that the copy takes.
    pub server: Lease,
    /// What the copy is.
    pub handle: KvBackup,
    /// Since when the server has held it.
    since: Millis,
}

/// The copy of a run, kept while the run goes on.
#[derive(Debug)]
pub struct BackupTask {
    backup: Arc<Mutex<Option<Backup>>>,
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

impl Backup {
    /// A copy that the engine of a run keeps up to date at `holder`.
    pub fn followed(server: Lease, now: Millis) -> Self {
        let handle = KvBackup::Followed {
            holder: server.addr,
        };
        Self {
            server,
            handle,
            since: now,
        }
    }
}

impl BackupTask {
    /// Watches over the copy of the run of `job` at the server `source`.
    pub fn start(
        ctx: &Arc<Context>,
        job: &Arc<Job>,
        kv: KvDemand,
        source: &Lease,
        backup: Option<Backup>,
    ) -> Self {
        let backup = Arc::new(Mutex::new(backup));
        let maintainer = Maintainer {
            ctx: Arc::clone(ctx),
            job: Arc::clone(job),
            kv,
            source: source.id.clone(),
            addr: source.addr,
            centre: source.centre.clone(),
            backup: Arc::clone(&backup),
        };
        let task = AbortOnDropHandle::new(tokio::spawn(maintainer.run()));
        Self {
            backup,
            _task: task,
        }
    }

    /// The copy, once the run has ended.
    pub fn into_backup(self) -> Option<Backup> {
        lock(&self.backup).take()
    }
}

/// Chooses a server in another data centre that is there, for a copy of a run at `centre`.
pub async fn place_reachable(
    ctx: &Context,
    job: &Job,
    kv: KvDemand,
    centre: &DataCentre,
    avoid: &[BackendId],
) -> Option<Lease> {
    for _ in 0..MAX_CANDIDATES {
        let lease = place(ctx, job, kv, centre, avoid)?;
        if liveness::is_reachable(ctx, &lease.id, RECENT_ACTIVITY, PROBE_TIMEOUT).await {
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
    kv: KvDemand,
    centre: &DataCentre,
    avoid: &[BackendId],
) -> Option<Lease> {
    let request = PlacementRequest {
        service: job.plan.service.as_str(),
        load: Load {
            backups: kv.needed,
            ..Load::default()
        },
        capacity: kv.capacity,
        avoid,
        avoid_centre: Some(centre.as_str()),
        // When this host is cut off from the run, the copy is on its side.
        prefer_centre: Some(ctx.data_centre.as_str()),
        prompt_hash: None,
    };
    let lease = ctx.servers.place(ctx.now(), &request)?;
    (!avoid.contains(&lease.id)).then_some(lease)
}

/// What watches over one copy.
struct Maintainer {
    ctx: Arc<Context>,
    job: Arc<Job>,
    kv: KvDemand,
    source: BackendId,
    addr: SocketAddr,
    centre: DataCentre,
    backup: Arc<Mutex<Option<Backup>>>,
}

impl Maintainer {
    async fn run(self) {
        let mut refreshed = Millis(0);
        loop {
            self.ctx.timer.after(CHECK_INTERVAL).await;
            let now = self.ctx.now();
            let current = self.current();
            let is_up = match &current {
                Some((server, since, _)) => {
                    self.ctx.servers.is_up_since(server, *since)
                        && liveness::is_reachable(&self.ctx, server, RECENT_ACTIVITY, PROBE_TIMEOUT)
                            .await
                }
                None => false,
            };
            match current {
                Some((_, _, None)) if is_up => {}
                Some((_, _, Some(addr))) if is_up => {
                    if now.since(refreshed) >= REFRESH_INTERVAL && self.refresh(addr).await {
                        refreshed = now;
                    }
                }
                _ => {
                    lock(&self.backup).take();
                    if self.replace().await {
                        refreshed = now;
                    }
                }
            }
        }
    }

    /// The holder, since when, and its address if the copy is made by calls.
    fn current(&self) -> Option<(BackendId, Millis, Option<SocketAddr>)> {
        let backup = lock(&self.backup);
        let backup = backup.as_ref()?;
        let addr = match backup.handle {
            KvBackup::Followed { .. } => None,
            KvBackup::Moved { .. } => Some(backup.server.addr),
        };
        Some((backup.server.id.clone(), backup.since, addr))
    }

    /// Brings a copy up to date; returns whether it was.
    async fn refresh(&self, addr: SocketAddr) -> bool {
        match self.request_copy(addr).await {
            Ok(handle) => {
                if let Some(backup) = lock(&self.backup).as_mut() {
                    backup.handle = self.snapshot_handle(handle);
                }
                true
            }
            Err(error) => {
                self.log_failure(&error);
                lock(&self.backup).take();
                false
            }
        }
    }

    /// Makes a copy at another server; returns whether there is one.
    async fn replace(&self) -> bool {
        let avoid = [self.source.clone()];
        let server = place_reachable(&self.ctx, &self.job, self.kv, &self.centre, &avoid).await;
        let Some(server) = server else { return false };
        match self.request_copy(server.addr).await {
            Ok(handle) => {
                tracing::info!(
                    id = %self.job.call.id, server = %self.source, holder = %server.id, "copy replaced"
                );
                let backup = Backup {
                    server,
                    handle: self.snapshot_handle(handle),
                    since: self.ctx.now(),
                };
                *lock(&self.backup) = Some(backup);
                true
            }
            Err(error) => {
                self.log_failure(&error);
                false
            }
        }
    }

    fn snapshot_handle(&self, handle: String) -> KvBackup {
        KvBackup::Moved {
            source: self.addr,
            handle,
        }
    }

    fn log_failure(&self, error: &CallError) {
        tracing::info!(id = %self.job.call.id, server = %self.source, %error, "copy not made");
    }

    /// Has the run's memory copied to the server at `to`; returns the name of the copy.
    async fn request_copy(&self, to: SocketAddr) -> Result<String, CallError> {
        let work = self.exchange(to);
        match tokio::time::timeout(CALL_TIMEOUT.duration(), work).await {
            Ok(result) => result,
            Err(_) => Err(CallError::Unreachable),
        }
    }

    async fn exchange(&self, to: SocketAddr) -> Result<String, CallError> {
        let connected =
            send::connect(&self.ctx, &self.source, self.addr, CALL_TIMEOUT, "copy").await;
        let mut link = connected.map_err(|_| CallError::Unreachable)?;
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
            .keep_idle(&self.source, link, self.ctx.now(), None);
        Ok(kv_copy::decode(status, &body)?)
    }
}

fn lock(backup: &Mutex<Option<Backup>>) -> std::sync::MutexGuard<'_, Option<Backup>> {
    backup.lock().unwrap_or_else(PoisonError::into_inner)
}
