//! Which other host opens a tunnel to a server that this host does not reach itself.

use std::net::SocketAddr;

use base::hash::stable;
use base::prelude::*;
use base::sorted::{Sorted, distinct};

/// How long a host is passed over after it did not open a tunnel; doubles if it fails again afterwards.
const FIRST_PAUSE: Millis = Millis(500);

/// The longest time for which a host is passed over.
const MAX_PAUSE: Millis = Millis(4_000);

/// A host that opens tunnels.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TunnelHost {
    /// The address at which it does.
    pub addr: SocketAddr,
    /// Whether it does by HTTP/2, which tells the end of an answer from a loss; by HTTP/1 otherwise.
    pub has_http2: bool,
    /// Its data centre.
    pub centre: DataCentre,
}

/// What a tunnel is wanted for.
#[derive(Clone, Copy, Debug)]
pub struct TunnelRequest<'a> {
    /// The data centre of the server.
    pub server_centre: &'a DataCentre,
    /// The data centre of this host.
    pub own_centre: &'a DataCentre,
    /// Addresses of the hosts that were tried already.
    pub tried: &'a [SocketAddr],
    /// Random number that spreads the tunnels over the hosts.
    pub seed: u64,
}

/// The hosts that are passed over for a while, with the end of the pause and its length.
#[derive(Clone, Debug, Default)]
pub struct TunnelHosts {
    paused: Sorted<SocketAddr, (Millis, Millis)>,
}

impl TunnelHosts {
    /// The host to try next; `None` if all were tried or are passed over.
    ///
    /// Hosts without HTTP/2 come last.
    /// All hosts of a data centre may be cut from the servers together, so one in which a host was tried, or is
    /// passed over, comes after the others. Among these a host in the server's data centre comes first, since
    /// the request crosses between data centres once then, as without a tunnel; then one in this host's data
    /// centre; then any other.
    pub fn choose<'a>(
        &self,
        now: Millis,
        hosts: &'a [TunnelHost],
        request: &TunnelRequest<'_>,
    ) -> Option<&'a TunnelHost> {
        let is_tried = |h: &TunnelHost| request.tried.contains(&h.addr);
        let is_paused = |h: &TunnelHost| {
            let paused = self.paused.get(&h.addr);
            paused.is_some_and(|(until, _)| now < *until)
        };
        let tried = distinct(hosts.iter().filter(|h| is_tried(h)).map(|h| &h.centre));
        let paused = distinct(hosts.iter().filter(|h| is_paused(h)).map(|h| &h.centre));
        let (_, host) = hosts
            .iter()
            .enumerate()
            .filter(|(_, h)| !is_tried(h) && !is_paused(h))
            .min_by_key(|(i, h)| {
                let spread = stable(&(request.seed ^ (*i as u64).rotate_left(32)).to_le_bytes());
                (
                    !h.has_http2,
                    tried.binary_search(&&h.centre).is_ok(),
                    paused.binary_search(&&h.centre).is_ok(),
                    h.centre != *request.server_centre,
                    h.centre != *request.own_centre,
                    spread,
                )
            })?;
        Some(host)
    }

    /// Records that a host did not open a tunnel, or that one over it broke or stalled.
    pub fn record_failed(&mut self, now: Millis, host: SocketAddr) {
        self.paused.retain(|_, (until, _)| now < *until + MAX_PAUSE);
        let pause = match self.paused.get(&host) {
            // Several tunnels were asked of it at once.
            Some((until, _)) if now < *until => return,
            Some((_, last)) => (*last + *last).min(MAX_PAUSE),
            None => FIRST_PAUSE,
        };
        self.paused.insert(host, (now + pause, pause));
    }

    /// Records that a host opened a tunnel.
    pub fn record_opened(&mut self, host: SocketAddr) {
        self.paused.remove(&host);
    }
}
