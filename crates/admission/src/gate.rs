//! Which requests start, wait or are refused at one router.

use base::prelude::*;
use base::sorted::Sorted;
use serde::Serialize;
use strum::{Display, IntoStaticStr};

use crate::lane::{Class, Lane, Space, Waiting};

/// The least time after which a refused caller is told to come back.
const COME_BACK: Millis = Millis(1_000);

/// What one router may do under one profile.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClassBounds {
    /// The most requests that run at once.
    pub capacity: u64,
    /// The most requests that wait.
    pub queued: u64,
    /// Higher goes first where a place may go to several profiles.
    pub priority: u32,
    /// The time from the start of a request to its first output.
    pub first: Millis,
}

/// What one router may do for one workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SpaceBounds {
    /// The weight when work has to wait.
    pub share: u32,
    /// The most requests that run at once; 0 for no limit.
    pub limit: u64,
}

/// A request that has arrived.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The number by which actions name it.
    pub ticket: u64,
    /// The profile.
    pub profile: &'a ProfileName,
    /// The workspace.
    pub workspace: &'a WorkspaceName,
    /// The work that it asks for, as the most tokens of its output.
    pub cost: u64,
    /// When its first output must be there.
    pub deadline: Millis,
    /// Whether it goes on with work that was admitted before and must not wait.
    pub is_admitted: bool,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run the request.
    Start(u64),
    /// Answer that it was not run and never will be.
    Refuse {
        /// The request.
        ticket: u64,
        /// Why.
        reason: Reason,
        /// After which time it is likely to be taken.
        after: Millis,
    },
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// Too many requests wait.
    QueueFull,
    /// Its turn would not come before its deadline.
    TooLate,
    /// Its turn did not come before its deadline.
    Expired,
}

/// The key of a lane.
type LaneKey = (ProfileName, WorkspaceName);

/// All requests that run or wait at one router.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Gate {
    classes: Sorted<ProfileName, Class>,
    spaces: Sorted<WorkspaceName, Space>,
    lanes: Sorted<LaneKey, Lane>,
}

impl Gate {
    /// Puts the bounds of a profile into force.
    pub fn set_class(&mut self, profile: &ProfileName, bounds: ClassBounds) {
        let class = self.classes.entry(profile.clone(), Class::default);
        class.bounds = bounds;
    }

    /// Puts the bounds of a workspace into force.
    pub fn set_space(&mut self, workspace: &WorkspaceName, bounds: SpaceBounds) {
        let space = self.spaces.entry(workspace.clone(), Space::default);
        space.bounds = bounds;
    }

    /// Takes in a request: starts it, lets it wait or refuses it.
    pub fn ask(&mut self, now: Millis, ask: &Ask<'_>, out: &mut Vec<Action>) {
        let key = (ask.profile.clone(), ask.workspace.clone());
        self.lanes.entry(key.clone(), Lane::default);
        let waiting = Waiting {
            ticket: ask.ticket,
            cost: ask.cost,
            deadline: ask.deadline,
        };
        if ask.is_admitted || self.may_start_now(&key) {
            self.start(&key, waiting, out);
            return;
        }
        if let Some((reason, after)) = self.refusal(now, &key, ask.deadline) {
            let ticket = ask.ticket;
            out.push(Action::Refuse {
                ticket,
                reason,
                after,
            });
            return;
        }
        if let Some(lane) = self.lanes.get_mut(&key) {
            lane.queue.push_back(waiting);
        }
        if let Some(class) = self.classes.get_mut(&key.0) {
            class.waiting += 1;
        }
    }

    /// Frees the place of a request that was started `held` ago.
    pub fn done(
        &mut self,
        now: Millis,
        profile: &ProfileName,
        workspace: &WorkspaceName,
        held: Millis,
        out: &mut Vec<Action>,
    ) {
        if let Some(class) = self.classes.get_mut(profile) {
            class.ended(held);
        }
        if let Some(space) = self.spaces.get_mut(workspace) {
            space.running = space.running.saturating_sub(1);
        }
        self.tick(now, out);
    }

    /// Forgets a waiting request whose caller went away.
    pub fn give_up(&mut self, ticket: u64) {
        self.drop_waiting(|w| w.ticket == ticket);
    }

    /// Refuses what can no longer start in time and starts what may.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        let firsts: Vec<(ProfileName, Millis)> = self
            .classes
            .iter()
            .map(|(name, c)| (name.clone(), c.bounds.first))
            .collect();
        for (profile, first) in firsts {
            let expired = self.drop_expired(&profile, now + first);
            let after = self.come_back(&profile);
            out.extend(expired.into_iter().map(|ticket| Action::Refuse {
                ticket,
                reason: Reason::Expired,
                after,
            }));
        }
        self.start_waiting(out);
    }

    /// Whether any request waits.
    pub fn is_waiting(&self) -> bool {
        self.classes.iter().any(|(_, c)| c.waiting > 0)
    }

    /// What runs and waits under each profile, for a state dump.
    pub fn classes(&self) -> &impl Serialize {
        &self.classes
    }

    /// Whether a request may start ahead of all that wait.
    fn may_start_now(&self, key: &LaneKey) -> bool {
        let Some(class) = self.classes.get(&key.0) else {
            return false;
        };
        let is_alone = class.waiting == 0 || self.is_next(key);
        class.running < class.bounds.capacity && is_alone && self.has_room(&key.1)
    }

    /// Whether nothing that waits under the profile could start now.
    fn is_next(&self, key: &LaneKey) -> bool {
        self.next_lane(&key.0).is_none()
    }

    fn has_room(&self, workspace: &WorkspaceName) -> bool {
        self.spaces.get(workspace).is_none_or(Space::has_room)
    }

    /// Why a request that has to wait is refused at once, if it is.
    fn refusal(&self, now: Millis, key: &LaneKey, deadline: Millis) -> Option<(Reason, Millis)> {
        let class = self.classes.get(&key.0)?;
        if class.waiting >= class.bounds.queued {
            return Some((Reason::QueueFull, self.come_back(&key.0)));
        }
        let wait = class.wait(self.ahead(key)) + class.bounds.first;
        let left = deadline.since(now);
        if wait > left {
            return Some((Reason::TooLate, (wait - left).max(COME_BACK)));
        }
        None
    }

    /// How many requests are likely to start before a new one of this lane, itself included.
    fn ahead(&self, key: &LaneKey) -> u64 {
        let own = self.lanes.get(key).map_or(0, |l| l.queue.len() as u64) + 1;
        let share = self.weight(&key.1);
        let others = self.lanes.iter().filter(|(k, _)| k.0 == key.0 && *k != key);
        let before = others.map(|(k, lane)| {
            let turns = own * self.weight(&k.1) / share;
            turns.min(lane.queue.len() as u64)
        });
        own + before.sum::<u64>()
    }

    fn weight(&self, workspace: &WorkspaceName) -> u64 {
        let share = self.spaces.get(workspace).map_or(1, |s| s.bounds.share);
        u64::from(share.max(1))
    }

    /// When a refused caller is likely to find room.
    fn come_back(&self, profile: &ProfileName) -> Millis {
        let wait = self.classes.get(profile).map(|c| c.wait(c.waiting));
        wait.unwrap_or_default().max(COME_BACK)
    }

    fn start(&mut self, key: &LaneKey, waiting: Waiting, out: &mut Vec<Action>) {
        let share = self.spaces.get(&key.1).map_or(1, |s| s.bounds.share);
        if let Some(space) = self.spaces.get_mut(&key.1) {
            space.running += 1;
        }
        if let (Some(class), Some(lane)) = (self.classes.get_mut(&key.0), self.lanes.get_mut(key)) {
            class.running += 1;
            class.time = lane.charge(class.time, waiting.cost, share).max(class.time);
        }
        out.push(Action::Start(waiting.ticket));
    }

    /// Fills the free places, profiles of higher priority first.
    fn start_waiting(&mut self, out: &mut Vec<Action>) {
        let mut order: Vec<(u32, ProfileName)> = self
            .classes
            .iter()
            .filter(|(_, c)| c.waiting > 0)
            .map(|(name, c)| (c.bounds.priority, name.clone()))
            .collect();
        order.sort_by_key(|(priority, _)| std::cmp::Reverse(*priority));
        for (_, profile) in order {
            while self.start_one(&profile, out) {}
        }
    }

    /// Starts the next request of a profile, if there is a place for it.
    fn start_one(&mut self, profile: &ProfileName, out: &mut Vec<Action>) -> bool {
        let is_full = |c: &Class| c.running >= c.bounds.capacity;
        if self.classes.get(profile).is_none_or(is_full) {
            return false;
        }
        let Some(key) = self.next_lane(profile) else {
            return false;
        };
        let popped = self.lanes.get_mut(&key).and_then(|l| l.queue.pop_front());
        let Some(waiting) = popped else {
            return false;
        };
        if let Some(class) = self.classes.get_mut(profile) {
            class.waiting -= 1;
        }
        self.start(&key, waiting, out);
        true
    }

    /// The lane whose turn it is, among those whose workspace has room.
    fn next_lane(&self, profile: &ProfileName) -> Option<LaneKey> {
        self.lanes
            .iter()
            .filter(|(k, lane)| k.0 == *profile && !lane.queue.is_empty() && self.has_room(&k.1))
            .min_by_key(|(_, lane)| lane.due)
            .map(|(k, _)| k.clone())
    }

    /// Takes out what must have started before `limit`, and returns the tickets.
    fn drop_expired(&mut self, profile: &ProfileName, limit: Millis) -> Vec<u64> {
        let mut dropped = Vec::new();
        for (key, lane) in self.lanes.iter_mut() {
            if key.0 != *profile {
                continue;
            }
            lane.queue.retain(|w| {
                let is_kept = w.deadline > limit;
                if !is_kept {
                    dropped.push(w.ticket);
                }
                is_kept
            });
        }
        if let Some(class) = self.classes.get_mut(profile) {
            class.waiting -= dropped.len() as u64;
        }
        dropped
    }

    fn drop_waiting(&mut self, matches: impl Fn(&Waiting) -> bool) {
        for (key, lane) in self.lanes.iter_mut() {
            let before = lane.queue.len();
            lane.queue.retain(|w| !matches(w));
            let dropped = (before - lane.queue.len()) as u64;
            if let Some(class) = self.classes.get_mut(&key.0) {
                class.waiting -= dropped;
            }
        }
    }
}
