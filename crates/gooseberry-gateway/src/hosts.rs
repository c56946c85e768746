//! Registration of this host in the store's list of entry hosts, and periodic reads of that list.
//!
//! A host writes its row before it reads the list, so that of any two hosts at least one finds the other.

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use membership::gossip::ListedPeer;
use platform::store::{Row, Table};
use serde::{Deserialize, Serialize};

use crate::context::Context;
use crate::store::{CallError, Store};

/// The interval between reads of the list by a hub.
const PERIOD: Millis = Millis(30_000);

/// The interval between reads by a member of a hub, which uses the list only if the hub fails.
const MEMBER_PERIOD: Millis = Millis(120_000);

/// How often a host checks whether more hosts report than its list has: those that started together with it
/// but wrote their rows later, and those added since.
const CHECK_INTERVAL: Millis = Millis(5_000);

/// The pause after a failed call.
const RETRY_PAUSE: Millis = Millis(1_000);

/// Time limit for a call.
const TIMEOUT: Millis = Millis(1_000);

/// Time limit for removing the row when the host stops, so that it fits the grace period.
const LEAVE_TIMEOUT: Millis = Millis(400);

/// The value of a host's row.
#[derive(Debug, Serialize, Deserialize)]
struct Entry {
    /// Address on which the host receives messages and calls of other hosts.
    peers: SocketAddr,
    /// The data centre of the host.
    data_centre: DataCentre,
    /// Address at which it opens tunnels, for hosts of earlier versions, which ask by HTTP/1.
    #[serde(default)]
    tunnels: Option<SocketAddr>,
    /// Address at which it opens tunnels by HTTP/2; absent in rows of earlier versions.
    #[serde(default)]
    tunnels_h2: Option<SocketAddr>,
    /// The host's priority as a hub; absent in rows of earlier versions.
    #[serde(default)]
    hub_priority: u64,
    /// Number of kinds of messages that the host understands; absent in rows of earlier versions.
    #[serde(default)]
    kinds: u8,
}

/// Writes this host's row once, then reads the list of hosts until the task is aborted.
pub async fn register(ctx: Arc<Context>, mut store: Store, own: ListedPeer) {
    let entry = Entry {
        peers: own.addr,
        data_centre: own.data_centre,
        tunnels: own.tunnels,
        tunnels_h2: own.tunnels,
        hub_priority: own.hub_priority,
        kinds: own.kinds,
    };
    // Serialising an address and a name to JSON cannot fail.
    let value = serde_json::to_vec(&entry).unwrap_or_default();
    let mut is_written = false;
    let mut era = ctx.store_era();
    loop {
        // A copy that the store has come back from may lack the row.
        let latest = ctx.store_era();
        is_written &= era == latest;
        era = latest;
        let result = refresh(&ctx, &mut store, &own.host, &value, is_written).await;
        match result {
            Ok(()) => {
                if !is_written {
                    is_written = true;
                    era = ctx.store_era();
                }
                until_due(&ctx).await;
            }
            Err(error) => {
                tracing::info!(%error, is_written, "cannot update the list of hosts; will retry");
                ctx.timer.after(RETRY_PAUSE).await;
            }
        }
    }
}

/// Waits until the list is to be read again.
async fn until_due(ctx: &Context) {
    let (read, era) = (ctx.now(), ctx.store_era());
    loop {
        ctx.timer.after(CHECK_INTERVAL).await;
        let now = ctx.now();
        let gossip = ctx.gossip();
        let period = if gossip.is_hub() {
            PERIOD
        } else {
            MEMBER_PERIOD
        };
        let is_restored = ctx.store_era() != era;
        if is_restored || gossip.is_list_short(now) || now.since(read) >= period {
            return;
        }
    }
}

/// Removes this host's row.
///
/// # Errors
///
/// Any [`CallError`]. The row may then remain, and the other hosts divide the fixed part of the retry
/// budget by one host too many.
pub async fn unregister(store: &mut Store, host: &HostId) -> Result<(), CallError> {
    store
        .write(Table::Hosts, host.as_str(), None, LEAVE_TIMEOUT)
        .await
}

/// Writes this host's row unless it is written, then reads the list.
async fn refresh(
    ctx: &Context,
    store: &mut Store,
    host: &HostId,
    value: &[u8],
    is_written: bool,
) -> Result<(), CallError> {
    if !is_written {
        let key = host.as_str();
        store.write(Table::Hosts, key, Some(value), TIMEOUT).await?;
    }
    let rows = store.table(Table::Hosts, TIMEOUT).await?.rows;
    let hosts = rows.iter().filter_map(|row| {
        parse_row(row)
            .inspect_err(
                |error| tracing::warn!(host = %row.key, %error, "malformed host row skipped"),
            )
            .ok()
    });
    let hosts: Vec<ListedPeer> = hosts.collect();
    ctx.gossip().set_hosts(hosts);
    Ok(())
}

fn parse_row(row: &Row) -> Result<ListedPeer, serde_json::Error> {
    let entry: Entry = serde_json::from_slice(row.value.as_deref().unwrap_or_default())?;
    Ok(ListedPeer {
        host: HostId::from(row.key.as_str()),
        data_centre: entry.data_centre,
        addr: entry.peers,
        tunnels: entry.tunnels_h2.or(entry.tunnels),
        has_http2: entry.tunnels_h2.is_some(),
        hub_priority: entry.hub_priority,
        kinds: entry.kinds,
    })
}
