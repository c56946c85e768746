//! Servers that have said in an answer that they are leaving.

use base::hash::short_hash;
use base::prelude::*;
use membership::gossip::Departure;

use super::{Server, Servers};

/// How long a departure is included in messages to other hosts.
const NEWS_TTL: Millis = Millis(3_000);

/// Maximum number of departures in a message, so that it fits a datagram.
const MAX_NEWS: usize = 64;

impl Servers {
    /// Records that a server has said that it is leaving; returns whether that is news.
    pub fn record_departure(&self, id: &BackendId, now: Millis) -> bool {
        let mut fleet = self.lock();
        let is_news = fleet.roster.record_departure(id);
        if is_news {
            let server = fleet.servers.entry(id.clone(), Server::default);
            server.departure_told_until = now + NEWS_TTL;
            server.is_own_departure = true;
        }
        is_news
    }

    /// Departures to tell other hosts; a host that passes messages on (`is_hub`) tells what it has heard as well.
    pub fn departure_news(&self, now: Millis, is_hub: bool) -> Vec<Departure> {
        let fleet = self.lock();
        let is_told = |s: &Server| now < s.departure_told_until && (s.is_own_departure || is_hub);
        let news = fleet.servers.iter().filter(|(_, s)| is_told(s));
        let news = news.filter_map(|(id, _)| {
            Some(Departure {
                server: short_hash(id.as_str()),
                start_time: fleet.roster.get(id)?.entry.start_time,
            })
        });
        news.take(MAX_NEWS).collect()
    }

    /// Applies what other hosts told; returns whether there was news in it.
    pub fn merge_departures(&self, now: Millis, told: &[Departure]) -> bool {
        let mut guard = self.lock();
        let fleet = &mut *guard;
        let mut is_news = false;
        for one in told {
            let is_meant = |id: &BackendId, start: u64| {
                short_hash(id.as_str()) == one.server && start <= one.start_time
            };
            let found = fleet
                .roster
                .iter()
                .find(|(id, m)| is_meant(id, m.entry.start_time))
                .map(|(id, _)| id.clone());
            let Some(id) = found else { continue };
            if fleet.roster.record_departure(&id) {
                let server = fleet.servers.entry(id, Server::default);
                server.departure_told_until = now + NEWS_TTL;
                server.is_own_departure = false;
                is_news = true;
            }
        }
        is_news
    }
}
