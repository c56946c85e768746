//! The backend servers that the platform's registry lists, and which of them may take new requests.
//!
//! The registry drops the rows of servers whose heartbeats it could not take while it was away. Such
//! rows come back soon after it does, so that a removal learned then is believed only after a while.

use std::net::SocketAddr;

use base::prelude::*;
use base::sorted::Sorted;
use strum::IntoStaticStr;

/// How long after the registry's return a row may still be missing although its server lives.
pub const RECOVERY_GRACE: Millis = Millis(2_200);

/// The state that a backend server reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// Takes requests.
    Serving,
    /// Takes no new requests and ends soon.
    Leaving,
}

/// A row of the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The service of which the server is a part.
    pub service: ServiceName,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Its data centre.
    pub centre: DataCentre,
    /// What it reports of itself.
    pub state: State,
    /// The requests that it runs at once; 0 if unknown.
    pub slots: u64,
    /// When the server started, in milliseconds of Unix time; 0 if unknown.
    pub start_time: u64,
}

/// A row and what is believed of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The row.
    pub entry: Entry,
    /// The registry's revision of the row.
    pub revision: u64,
    /// When the removal of the row takes effect, if it was removed.
    pub expires: Option<Millis>,
    /// Whether a server that started later has its address.
    pub is_replaced: bool,
    /// Whether the server has no row yet and was met at the address of another one.
    pub is_adopted: bool,
}

impl Member {
    /// Whether the server may take new requests.
    pub fn is_usable(&self, now: Millis) -> bool {
        self.entry.state == State::Serving
            && !self.is_replaced
            && self.expires.is_none_or(|at| now < at)
    }
}

/// What a change of the registry means for the requests that a server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Change {
    /// Nothing that matters to requests.
    None,
    /// The server may be used from now on.
    Added,
    /// The server started anew; what it ran is lost.
    Restarted,
    /// The server takes no new requests.
    Leaving,
    /// The row is gone.
    Removed,
    /// The row is gone, which is believed only if it stays away.
    Missing,
}

/// All backend servers that are listed.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    members: Sorted<BackendId, Member>,
    /// When the registry answered again after an outage.
    available_since: Option<Millis>,
    /// Whether it does not answer now.
    is_unavailable: bool,
}

impl Roster {
    /// The registry does not answer.
    pub fn registry_unavailable(&mut self) {
        self.is_unavailable = true;
    }

    /// The registry answers; returns whether it did not before.
    pub fn registry_available(&mut self, now: Millis) -> bool {
        let was_unavailable = std::mem::replace(&mut self.is_unavailable, false);
        if was_unavailable {
            self.available_since = Some(now);
            let adopted = self.members.iter_mut().filter(|(_, m)| m.is_adopted);
            for (_, member) in adopted {
                member.expires = Some(now + RECOVERY_GRACE);
            }
        }
        was_unavailable
    }

    /// Takes in a row, unless a newer one is held.
    pub fn put(&mut self, id: BackendId, entry: Entry, revision: u64) -> Change {
        let addr = entry.addr;
        let change = self.insert(id, entry, revision);
        if change != Change::None {
            self.mark_replaced(addr);
        }
        change
    }

    /// Marks the servers at `addr` that another one has replaced.
    ///
    /// The row of a server that crashed stays until its heartbeats have been missing for a while; the
    /// one that starts in its place is listed before that.
    fn mark_replaced(&mut self, addr: SocketAddr) {
        let at_addr = |m: &Member| m.entry.addr == addr;
        let members = self.members.iter().filter(|(_, m)| at_addr(m));
        let newest = members.map(|(_, m)| m.entry.start_time).max().unwrap_or(0);
        for (_, member) in self.members.iter_mut().filter(|(_, m)| at_addr(m)) {
            member.is_replaced = member.entry.start_time > 0 && member.entry.start_time < newest;
        }
    }

    fn insert(&mut self, id: BackendId, entry: Entry, revision: u64) -> Change {
        let Some(held) = self.members.get_mut(&id) else {
            let change = match entry.state {
                State::Serving => Change::Added,
                State::Leaving => Change::Leaving,
            };
            let member = Member {
                entry,
                revision,
                expires: None,
                is_replaced: false,
                is_adopted: false,
            };
            self.members.insert(id, member);
            return change;
        };
        if revision < held.revision {
            return Change::None;
        }
        let change = if held.entry.start_time != entry.start_time || held.entry.addr != entry.addr {
            Change::Restarted
        } else if held.entry.state == State::Serving && entry.state == State::Leaving {
            Change::Leaving
        } else {
            Change::None
        };
        held.entry = entry;
        held.revision = revision;
        held.expires = None;
        held.is_adopted = false;
        change
    }

    /// Takes in a server without a row that was met at the address of `old`, while the registry is
    /// away. It must be known to be of the same service.
    ///
    /// Its row is expected once the registry is back; without one it is dropped then.
    pub fn adopt(&mut self, old: &BackendId, id: &BackendId, start_time: u64) -> Change {
        let Some(held) = self.members.get_mut(old) else {
            return Change::None;
        };
        held.is_replaced = true;
        let entry = Entry {
            start_time,
            state: State::Serving,
            ..held.entry.clone()
        };
        if !self.is_unavailable || self.members.get(id).is_some() {
            return Change::None;
        }
        let member = Member {
            entry,
            revision: 0,
            expires: None,
            is_replaced: false,
            is_adopted: true,
        };
        self.members.insert(id.clone(), member);
        Change::Added
    }

    /// Whether the registry does not answer now.
    pub fn is_unavailable(&self) -> bool {
        self.is_unavailable
    }

    /// Takes in the removal of a row, unless a newer row is held.
    pub fn remove(&mut self, id: &BackendId, revision: u64, now: Millis) -> Change {
        let grace = self.grace_ends(now);
        let Some(held) = self.members.get_mut(id) else {
            return Change::None;
        };
        if revision < held.revision || held.expires.is_some() {
            return Change::None;
        }
        held.revision = revision;
        match grace {
            Some(at) => {
                held.expires = Some(at);
                Change::Missing
            }
            None => {
                self.members.remove(id);
                Change::Removed
            }
        }
    }

    /// Removes each row that a whole reading as of `revision` does not have.
    pub fn retain_listed(
        &mut self,
        listed: &[BackendId],
        revision: u64,
        now: Millis,
    ) -> Vec<BackendId> {
        let missing: Vec<BackendId> = self
            .members
            .iter()
            .filter(|(id, _)| listed.binary_search(id).is_err())
            .map(|(id, _)| id.clone())
            .collect();
        for id in &missing {
            self.remove(id, revision, now);
        }
        missing
    }

    /// Drops the rows whose grace is over.
    pub fn expire(&mut self, now: Millis) {
        self.members
            .retain(|_, m| m.expires.is_none_or(|at| now < at));
    }

    /// The server of that id.
    pub fn get(&self, id: &BackendId) -> Option<&Member> {
        self.members.get(id)
    }

    /// All servers in order of id.
    pub fn iter(&self) -> impl Iterator<Item = (&BackendId, &Member)> {
        self.members.iter()
    }

    /// How many servers are listed.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether none is listed.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Until when a removal is doubted, if it is.
    fn grace_ends(&self, now: Millis) -> Option<Millis> {
        let ends = self.available_since? + RECOVERY_GRACE;
        (now < ends).then_some(ends)
    }
}
