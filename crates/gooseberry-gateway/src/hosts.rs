//! The list of entry hosts: each writes its own row and learns the others from theirs.
//!
//! A host writes before it reads, so that of any two hosts at least one finds the other.

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use membership::gossip::ListedPeer;
use platform::store::{self, Row, Table};
use serde::{Deserialize, Serialize};

use crate::context::Context;
use crate::store::{CallError, Store};

/// The time between two readings of the list; between them hosts learn of new ones by their digests.
const PERIOD: Millis = Millis(30_000);

/// The pause after a call that failed.
const RETRY_PAUSE: Millis = Millis(1_000);

/// The longest wait for an answer.
const TIMEOUT: Millis = Millis(1_000);

/// The longest wait when the host stops, within what its grace leaves.
const LEAVE_TIMEOUT: Millis = Millis(400);

/// The value of a host's row.
#[derive(Debug, Serialize, Deserialize)]
struct Entry {
    /// Where the host takes messages of others.
    peers: SocketAddr,
    /// Where it stands.
    data_centre: DataCentre,
}

/// Writes this host's row and reads the others', for ever.
pub async fn register(ctx: Arc<Context>, mut store: Store, own: ListedPeer) {
    let entry = Entry {
        peers: own.addr,
        data_centre: own.data_centre,
    };
    // An address and a name cannot fail to be written as JSON.
    let value = serde_json::to_vec(&entry).unwrap_or_default();
    let mut is_written = false;
    loop {
        let result = refresh(&ctx, &mut store, &own.host, &value, is_written).await;
        let pause = match result {
            Ok(()) => PERIOD,
            Err(error) => {
                tracing::info!(%error, is_written, "list of hosts not read");
                RETRY_PAUSE
            }
        };
        is_written |= pause == PERIOD;
        ctx.timer.after(pause).await;
    }
}

/// Removes this host's row.
///
/// # Errors
///
/// Any [`CallError`]; the row remains then, and costs the others a part of the fixed retry allowance.
pub async fn unregister(store: &mut Store, host: &HostId) -> Result<(), CallError> {
    store
        .write(Table::Hosts, host.as_str(), None, LEAVE_TIMEOUT)
        .await
}

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
    let mut after: Option<String> = None;
    let mut hosts: Vec<ListedPeer> = Vec::new();
    loop {
        let path = store::read_path(Table::Hosts, after.as_deref());
        let rows = store.rows(&path, TIMEOUT).await?;
        for row in &rows.rows {
            match parse_row(row) {
                Ok(host) => hosts.push(host),
                Err(error) => tracing::warn!(host = %row.key, %error, "row of a host passed over"),
            }
        }
        after = rows.rows.last().map(|r| r.key.clone());
        if !rows.is_partial || after.is_none() {
            ctx.gossip().set_hosts(hosts);
            return Ok(());
        }
    }
}

fn parse_row(row: &Row) -> Result<ListedPeer, serde_json::Error> {
    let entry: Entry = serde_json::from_slice(row.value.as_deref().unwrap_or_default())?;
    Ok(ListedPeer {
        host: HostId::from(row.key.as_str()),
        data_centre: entry.data_centre,
        addr: entry.peers,
    })
}
