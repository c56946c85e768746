//! The backend servers in the platform's registry, and which of them may take new requests.
//!
//! After an outage the registry removes the rows of servers whose heartbeats it could not receive during the
//! outage. Servers that run write their rows again soon after, so that a removal within [`RECOVERY_GRACE`]
//! of the recovery takes effect only at the end of that time.

use std::net::SocketAddr;

use base::hash::short_hash;
use base::prelude::*;
use base::sorted::Sorted;
use strum::IntoStaticStr;

/// How long after the registry's recovery the row of a running server may still be missing.
pub const RECOVERY_GRACE: Millis = Millis(2_200);

/// The state that a backend server writes into its row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// Accepts requests.
    Serving,
    /// Accepts no new requests and stops soon.
    Leaving,
}

/// The content of a registry row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The service that the server belongs to.
    pub service: ServiceName,
    /// Address on which it accepts requests.
    pub addr: SocketAddr,
    /// Data centre of the server.
    pub centre: DataCentre,
    /// Whether the server accepts new requests.
    pub state: State,
    /// Maximum number of concurrent requests; 0 if unknown.
    pub slots: u64,
    /// Unix time at which the server started, in milliseconds; 0 if unknown.
    pub start_time: u64,
}

/// Servers that have said that they are leaving and are remembered after their rows are gone.
const MAX_GONE: usize = 1_024;

/// A registry row with the state that this host derives for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The content of the last row; of the replaced server's row, but for the start time and the state, while
    /// `is_adopted`.
    pub entry: Entry,
    /// Registry revision of the last write or removal applied; 0 while `is_adopted`.
    pub revision: u64,
    /// When the server is dropped; `None` unless its row was removed, or is awaited, after an outage.
    pub expires: Option<Millis>,
    /// Whether a server that started later uses the same address.
    pub is_replaced: bool,
    /// Whether the server was observed at the address of another one but is not registered yet.
    pub is_adopted: bool,
    /// Whether the server itself has said that it is leaving, or its row was removed and is back in an older copy only.
    pub is_gone: bool,
}

impl Member {
    /// Whether the server may take new requests.
    pub fn is_usable(&self, now: Millis) -> bool {
        self.entry.state == State::Serving
            && !self.is_replaced
            && !self.is_gone
            && self.expires.is_none_or(|at| now < at)
    }
}

/// The effect of a registry change on the requests at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Change {
    /// No effect on requests.
    None,
    /// The server is new, or back with the same start, and accepts requests.
    Added,
    /// The server has restarted or moved; the requests that it ran are lost.
    Restarted,
    /// The server accepts no new requests.
    Leaving,
    /// The row was removed.
    Removed,
    /// The row was removed soon after an outage; the server stays usable until the grace time ends.
    Missing,
}

/// All registered backend servers, and those adopted during an outage.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    members: Sorted<BackendId, Member>,
    /// Start times of the servers that have said that they are leaving, also of those that are not listed.
    leaving: Sorted<BackendId, u64>,
    /// Start times of servers that were not listed when another host reported that they are leaving, by the short hash
    /// of their ids.
    unlisted_leaving: Sorted<u32, u64>,
    /// Start times of the servers whose rows were removed.
    removed: Sorted<BackendId, u64>,
    /// Rows up to this revision come from an older copy of the registry; 0 if it has not come back from one.
    copy_revision: u64,
    /// When the registry recovered from its last outage; `None` if there was none.
    available_since: Option<Millis>,
    /// Whether the registry does not answer.
    is_unavailable: bool,
}

impl Roster {
    /// Records that the registry does not answer.
    pub fn registry_unavailable(&mut self) {
        self.is_unavailable = true;
    }

    /// Records that the registry answers; returns whether this ends an outage.
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

    /// Records that the registry has come back from an older copy, which it held at `revision` at the latest.
    ///
    /// What was known before holds until rows are written again: a server that left or was removed is not used
    /// because the copy lists it, and one that the copy lacks stays for the grace time of an outage.
    pub fn registry_restored(&mut self, revision: u64, now: Millis) {
        self.copy_revision = revision;
        self.available_since = Some(now);
    }

    /// Applies a row unless a newer revision is held.
    pub fn put(&mut self, id: BackendId, entry: Entry, revision: u64) -> Change {
        let addr = entry.addr;
        let change = self.insert(id.clone(), entry, revision);
        self.update_leaving(&id, revision <= self.copy_revision);
        if change != Change::None {
            self.mark_replaced(addr);
        }
        change
    }

    /// Records that a server has said that it is leaving, also one whose row was removed meanwhile; returns whether that
    /// is news. No row makes it usable again, only another start.
    pub fn record_leaving(&mut self, id: &BackendId) -> bool {
        let start_time = match self.members.get_mut(id) {
            Some(member) => {
                member.is_gone = true;
                member.entry.start_time
            }
            None => match self.removed.get(id) {
                Some(start_time) => *start_time,
                None => return false,
            },
        };
        if self.leaving.get(id).is_some_and(|s| start_time <= *s) {
            return false;
        }
        self.leaving.insert(id.clone(), start_time);
        if self.leaving.len() > MAX_GONE {
            let members = &self.members;
            self.leaving.retain(|id, _| members.get(id).is_some());
        }
        true
    }

    /// Start time of a server that has said that it is leaving; `None` if it has not.
    pub fn leaving_start(&self, id: &BackendId) -> Option<u64> {
        self.leaving.get(id).copied()
    }

    /// Records another host's report that a server which is not listed here is leaving; returns whether that is news.
    pub fn record_unlisted_leaving(&mut self, server_hash: u32, start_time: u64) -> bool {
        if self
            .unlisted_leaving
            .get(&server_hash)
            .is_some_and(|s| start_time <= *s)
        {
            return false;
        }
        if self.unlisted_leaving.len() >= MAX_GONE {
            self.unlisted_leaving = Sorted::default();
        }
        self.unlisted_leaving.insert(server_hash, start_time);
        true
    }

    /// Applies to a listed server what is known of its start; `is_copy` tells whether its row is that of an older copy.
    fn update_leaving(&mut self, id: &BackendId, is_copy: bool) {
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        let is_of = |start: Option<&u64>| start.is_some_and(|s| member.entry.start_time <= *s);
        let server_hash = short_hash(id.as_str());
        let says_leaving =
            is_of(self.leaving.get(id)) || is_of(self.unlisted_leaving.get(&server_hash));
        let was_removed = is_copy && is_of(self.removed.get(id));
        member.is_gone = says_leaving || was_removed;
        if !says_leaving {
            self.leaving.remove(id);
            self.unlisted_leaving.remove(&server_hash);
        }
        if !was_removed {
            self.removed.remove(id);
        }
    }

    /// Marks the servers at `addr` that a later one has replaced.
    ///
    /// The row of a crashed server stays until its heartbeats have been missing for a while, and the server
    /// that starts in its place is registered before that.
    fn mark_replaced(&mut self, addr: SocketAddr) {
        let at_addr = |m: &Member| m.entry.addr == addr;
        let members = self.members.iter().filter(|(_, m)| at_addr(m));
        let newest = members.map(|(_, m)| m.entry.start_time).max().unwrap_or(0);
        for (_, member) in self.members.iter_mut().filter(|(_, m)| at_addr(m)) {
            member.is_replaced = member.entry.start_time > 0 && member.entry.start_time < newest;
        }
    }

    fn insert(&mut self, id: BackendId, mut entry: Entry, revision: u64) -> Change {
        let is_copy = revision <= self.copy_revision;
        let Some(held) = self.members.get_mut(&id) else {
            let removed = self.removed.get(&id);
            let change = match entry.state {
                State::Leaving => Change::Leaving,
                State::Serving if removed.is_some_and(|s| *s < entry.start_time) => {
                    Change::Restarted
                }
                State::Serving => Change::Added,
            };
            let member = Member {
                entry,
                revision,
                expires: None,
                is_replaced: false,
                is_adopted: false,
                is_gone: false,
            };
            self.members.insert(id, member);
            return change;
        };
        if revision < held.revision {
            return Change::None;
        }
        let is_older = entry.start_time < held.entry.start_time;
        let has_left =
            held.entry.state == State::Leaving && entry.start_time == held.entry.start_time;
        if is_copy && (is_older || has_left) {
            entry = held.entry.clone();
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

    /// Records that the listed server `id` answered at the address of `other`. If a row there had replaced it, it is the
    /// other servers at the address that are replaced, until a row there changes. Returns whether it was so.
    pub fn confirm(&mut self, id: &BackendId, other: &BackendId) -> bool {
        let Some(addr) = self.members.get(other).map(|m| m.entry.addr) else {
            return false;
        };
        let member = self.members.get(id);
        if member.is_none_or(|m| m.entry.addr != addr || !m.is_replaced) {
            return false;
        }
        for (at, member) in self.members.iter_mut() {
            if member.entry.addr == addr {
                member.is_replaced = at != id;
            }
        }
        true
    }

    /// Marks `old` as replaced, and adds the unregistered server observed at its address if the registry is
    /// unavailable. The caller must have checked that both belong to the same service.
    ///
    /// If no row follows within [`RECOVERY_GRACE`] of the registry's recovery, the server is dropped. A server
    /// that has restarted under its old id stays in use.
    pub fn adopt(&mut self, old: &BackendId, id: &BackendId, start_time: u64) -> Change {
        let Some(held) = self.members.get_mut(old) else {
            return Change::None;
        };
        if old == id {
            held.entry.start_time = start_time;
            self.update_leaving(id, false);
            return Change::Restarted;
        }
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
            is_gone: false,
        };
        self.members.insert(id.clone(), member);
        self.update_leaving(id, false);
        Change::Added
    }

    /// Whether the registry does not answer.
    pub fn is_unavailable(&self) -> bool {
        self.is_unavailable
    }

    /// Applies the removal of a row unless a newer revision is held.
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
                self.drop_member(id);
                Change::Removed
            }
        }
    }

    /// Removes each row that is not in `listed`, the sorted ids of a full read as of `revision`, and returns
    /// their ids.
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

    /// Drops the servers whose grace time has ended.
    pub fn expire(&mut self, now: Millis) {
        let is_over = |m: &Member| m.expires.is_some_and(|at| now >= at);
        let members = self.members.iter().filter(|(_, m)| is_over(m));
        let ids: Vec<BackendId> = members.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.drop_member(&id);
        }
    }

    /// Drops a server and remembers its start, so that an older copy of the registry does not bring it back.
    fn drop_member(&mut self, id: &BackendId) {
        if let Some(member) = self.members.remove(id) {
            self.removed.insert(id.clone(), member.entry.start_time);
            self.mark_replaced(member.entry.addr);
        }
        if self.removed.len() > MAX_GONE {
            self.removed = Sorted::default();
        }
    }

    /// The server with that id; `None` if it is not listed.
    pub fn get(&self, id: &BackendId) -> Option<&Member> {
        self.members.get(id)
    }

    /// All servers in order of id.
    pub fn iter(&self) -> impl Iterator<Item = (&BackendId, &Member)> {
        self.members.iter()
    }

    /// Number of servers, including those that await their expiry.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether none is listed.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// When a removal received at `now` takes effect; `None` for at once.
    fn grace_ends(&self, now: Millis) -> Option<Millis> {
        let ends = self.available_since? + RECOVERY_GRACE;
        (now < ends).then_some(ends)
    }
}
