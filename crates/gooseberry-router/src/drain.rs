//! Graceful shutdown of a router: it refuses new work, transfers its journals to other hosts and
//! waits for the requests in flight.

use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use futures_util::{StreamExt, stream};
use journal::record::Refusal;
use journal::store::JournalCopy;

use crate::config;
use crate::context::Router;

/// Interval between checks whether requests are still in flight.
const POLL_INTERVAL: Millis = Millis(50);

/// Number of hosts that each journal is transferred to. One of them may be the owner of the
/// request, which has the journal already.
const COPIES: usize = 2;

/// Maximum number of concurrent transfers.
const MAX_TRANSFERS: usize = 16;

/// Time limit of one call to a host.
const CALL_LIMIT: Duration = Duration::from_millis(2_000);

/// Time for which the router still answers calls about its journals after the last transfer.
const LINGER: Millis = Millis(300);

/// Refuses new work, transfers the journals and waits for the requests in flight, at most for
/// `drain_ms` of the settings.
pub async fn run(router: &Arc<Router>) {
    log::info!("router draining host={}", router.settings.host);
    router.drain.cancel();
    router.journals.leave();
    config::report_leaving(router).await;
    transfer_journals(router, &router.registry.keys()).await;
    let limit = router.timer.now() + Millis(router.settings.drain_ms);
    while !router.registry.is_empty() && router.timer.now() < limit {
        router.timer.after(POLL_INTERVAL).await;
    }
    transfer_journals(router, &[]).await;
    router.timer.after(LINGER).await;
}

/// Transfers all journals except those of `in_flight` (sorted), whose requests run here and have a
/// witness.
async fn transfer_journals(router: &Arc<Router>, in_flight: &[RequestKey]) {
    let keys = router.journals.keys().into_iter();
    let foreign = keys.filter(|key| in_flight.binary_search(key).is_err());
    let count = stream::iter(foreign.filter_map(|key| router.journals.copy(&key)))
        .map(|copy| transfer(router, copy))
        .buffer_unordered(MAX_TRANSFERS)
        .filter(|is_transferred| std::future::ready(*is_transferred))
        .count()
        .await;
    log::info!(
        "journals handed over host={} count={count}",
        router.settings.host
    );
}

/// Transfers a journal to the first [`COPIES`] hosts that accept it; returns whether any did.
async fn transfer(router: &Router, copy: JournalCopy) -> bool {
    let mut holders = 0;
    for host in router.witnesses(&copy.append.key) {
        if holders == COPIES {
            break;
        }
        holders += usize::from(transfer_to(router, &host, &copy).await);
    }
    if holders == 0 {
        log::warn!(
            "journal not handed over key={} host={}",
            copy.append.key,
            router.settings.host
        );
    }
    holders > 0
}

/// Transfers a journal and its seal to one host; returns whether the host counts as a holder.
async fn transfer_to(router: &Router, host: &HostId, copy: &JournalCopy) -> bool {
    let Some(addr) = router.address(host) else {
        return false;
    };
    let peer = router.links.peer(addr);
    let answer = peer
        .link
        .append(vec![copy.append.clone()], CALL_LIMIT)
        .await;
    let appended = answer.ok().and_then(|results| results.into_iter().next());
    match appended {
        Some(Ok(_)) => {}
        // A takeover has sealed the journal there and has also queried this host.
        Some(Err(Refusal::Sealed(_))) => return true,
        Some(Err(_)) | None => return false,
    }
    let (key, epoch) = (&copy.append.key, copy.append.epoch);
    if let Some(seal) = copy.seal {
        let digest = copy.append.header.as_ref().map_or(0, |h| h.digest);
        let sealed = peer.link.seal(key, seal, digest, CALL_LIMIT).await;
        return sealed.is_ok();
    }
    if copy.closed {
        // If this call fails, the host only keeps the journal a little longer.
        let _ = peer.link.close(key, epoch, CALL_LIMIT).await;
    }
    true
}
