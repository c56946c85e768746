//! KV cache backups of running streams, from which a stream resumes after its server has failed.
//!
//! The engine that runs a stream keeps a backup up to date at an engine in another data centre. If the backup
//! server fails, the host calls the running engine to copy its KV cache to a third engine, and repeats the call
//! while the stream runs.

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

/// Interval at which the backup server is checked.
const CHECK_INTERVAL: Millis = Millis(400);

/// A backup server that sent data within this time is not probed.
const RECENT_ACTIVITY: Millis = Millis(1_500);

/// Time limit for a backup server to accept a connection.
const PROBE_TIMEOUT: Millis = Millis(120);

/// Interval at which a copy made by a call is made again; engines drop a copy after 4 s.
const REFRESH_INTERVAL: Millis = Millis(1_000);

/// Time limit of a call that copies the KV cache; the copy itself takes a few milliseconds.
const CALL_TIMEOUT: Millis = Millis(500);

/// Maximum size of the response to a call that copies the KV cache.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// Maximum number of servers probed when a backup server is chosen.
const MAX_CANDIDATES: usize = 3;

/// KV cache that a request needs, with the properties of its service's engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct KvDemand {
    /// Size of an engine's KV cache in tokens; 0 for a service without engines.
    pub capacity: u64,
    /// Tokens that the request needs, including its whole output.
    pub needed: u64,
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Whether the request's attempts have backups.
    pub has_backups: bool,
}

/// A KV cache backup and the server that stores it.
#[derive(Debug)]
pub struct Backup {
    /// The backup server, with the KV cache reserved for the backup.
    pub server: Lease,
    /// How the backup is found when an attempt resumes from it.
    pub handle: KvBackup,
    /// Time from which the server has stored it; a failure of the server after this time invalidates the backup.
    since: Millis,
}

/// Task that maintains the backup of an attempt until it is dropped.
#[derive(Debug)]
pub struct BackupTask {
    backup: Arc<Mutex<Option<Backup>>>,
    _task: AbortOnDropHandle<()>,
}

/// Reason why a call to copy the KV cache failed.
#[derive(Debug, Error)]
enum CallError {
    #[error("the engine that runs the stream is unreachable or did not answer within {} ms", CALL_TIMEOUT.0)]
    Unreachable,
    #[error(transparent)]
    Copy(#[from] CopyError),
}

impl Backup {
    /// A backup that the engine of the attempt keeps up to date at `server`.
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
    /// Starts the task for the attempt of `job` at `source`; `backup` is the first backup, if there is one.
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

    /// Stops the task and returns the current backup.
    pub fn into_backup(self) -> Option<Backup> {
        lock(&self.backup).take()
    }
}

/// Leases a reachable server for the backup of an attempt at `centre`, if possible in another data centre.
pub async fn place_reachable(
    ctx: &Arc<Context>,
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

/// Leases a server for the backup of an attempt at `centre`, without probing it.
///
/// Prefers this host's data centre, unless the attempt runs there; uses `centre` only if there is no other.
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
        // If the network between the data centres fails, the backup is on this host's side.
        prefer_centre: Some(ctx.data_centre.as_str()),
        prompt_hash: None,
        is_resumed: false,
    };
    let lease = ctx.servers.place(ctx.now(), &request)?;
    (!avoid.contains(&lease.id)).then_some(lease)
}

/// State of the task that maintains the backup of one attempt at the server `source`, whose address is `addr`.
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

    /// The backup server, when it received the backup, and its address if the backup is made by calls.
    fn current(&self) -> Option<(BackendId, Millis, Option<SocketAddr>)> {
        let backup = lock(&self.backup);
        let backup = backup.as_ref()?;
        let addr = match backup.handle {
            KvBackup::Followed { .. } => None,
            KvBackup::Moved { .. } => Some(backup.server.addr),
        };
        Some((backup.server.id.clone(), backup.since, addr))
    }

    /// Copies the KV cache to the same server again; returns whether that succeeded.
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

    /// Makes a backup at another server; returns whether that succeeded.
    async fn replace(&self) -> bool {
        let avoid = [self.source.clone()];
        let server = place_reachable(&self.ctx, &self.job, self.kv, &self.centre, &avoid).await;
        let Some(server) = server else { return false };
        match self.request_copy(server.addr).await {
            Ok(handle) => {
                tracing::info!(
                    id = %self.job.call.id, server = %self.source, holder = %server.id,
                    "KV cache backup moved to another server"
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
        tracing::info!(id = %self.job.call.id, server = %self.source, %error, "KV cache backup failed");
    }

    /// Calls the running engine to copy its KV cache to the engine at `to`; returns the handle of the copy.
    async fn request_copy(&self, to: SocketAddr) -> Result<String, CallError> {
        let exchange = self.exchange(to);
        match tokio::time::timeout(CALL_TIMEOUT.duration(), exchange).await {
            Ok(result) => result,
            Err(_) => Err(CallError::Unreachable),
        }
    }

    /// Sends the copy call and decodes the response, without a time limit for the response.
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
        let answer = link.fetch(request, MAX_RESPONSE_BYTES).await;
        let (parts, body) = answer.ok_or(CallError::Unreachable)?;
        self.ctx
            .servers
            .keep_idle(&self.source, link, self.ctx.now(), None);
        Ok(kv_copy::decode(parts.status, &body)?)
    }
}

fn lock(backup: &Mutex<Option<Backup>>) -> std::sync::MutexGuard<'_, Option<Backup>> {
    backup.lock().unwrap_or_else(PoisonError::into_inner)
}
