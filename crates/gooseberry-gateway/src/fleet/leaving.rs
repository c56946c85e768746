//! Servers that have said in an answer that they are leaving.

use base::hash::short_hash;
use base::prelude::*;
use membership::gossip::{Announcement, LeavingServer};

use super::{Fleet, Server, Servers};

/// How long a leaving server is included in messages to other hosts.
const ANNOUNCE_TTL: Millis = Millis(3_000);

impl Servers {
    /// Records that a server has said to this host that it is leaving; returns whether that is news.
    pub fn record_leaving(&self, id: &BackendId, now: Millis) -> bool {
        self.lock().record_leaving(id, now, true)
    }

    /// Leaving servers for messages to other hosts, from a host that passes messages on (`is_hub`) or does not.
    pub fn announced_leaving(&self, now: Millis, is_hub: bool) -> Vec<LeavingServer> {
        let fleet = self.lock();
        let servers = fleet.servers.iter();
        let due = servers.filter(|(_, s)| s.leaving.is_due(now, is_hub));
        due.filter_map(|(id, _)| {
            Some(LeavingServer {
                server: short_hash(id.as_str()),
                start_time: fleet.roster.leaving_start(id)?,
            })
        })
        .collect()
    }

    /// Applies a message of another host; returns whether there was news in it.
    pub fn merge_leaving(&self, now: Millis, received: &[LeavingServer]) -> bool {
        let mut fleet = self.lock();
        let mut is_news = false;
        for one in received {
            let Some(id) = fleet.id_of(one.server) else {
                is_news |= fleet
                    .roster
                    .record_unlisted_leaving(one.server, one.start_time);
                continue;
            };
            let member = fleet.roster.get(&id);
            if member.is_some_and(|m| m.entry.start_time <= one.start_time) {
                is_news |= fleet.record_leaving(&id, now, false);
            }
        }
        is_news
    }
}

impl Fleet {
    fn record_leaving(&mut self, id: &BackendId, now: Millis, is_own: bool) -> bool {
        let is_news = self.roster.record_leaving(id);
        if is_news {
            let server = self.servers.entry(id.clone(), Server::default);
            server.leaving = Announcement::start(now, ANNOUNCE_TTL, is_own);
        }
        is_news
    }
}
