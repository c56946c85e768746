//! Which requests start, wait or are refused at one router.

use base::prelude::*;
use base::sorted::Sorted;
use serde::Serialize;
use strum::{Display, IntoStaticStr};

use crate::flow::{Flow, ProfileState, Waiting, WorkspaceState};

/// The least time after which a refused caller is told to come back.
const MIN_RETRY_AFTER: Millis = Millis(1_000);

/// What one router may do under one profile.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ProfileBounds {
    /// The most requests that run at once.
    pub capacity: u64,
    /// The most requests that wait.
    #[serde(rename = "queued")]
    pub queue_limit: u64,
    /// Higher goes first where a place may go to several profiles.
    pub priority: u32,
    /// The time from the start of a request to its first output.
    #[serde(rename = "first")]
    pub first_output: Millis,
}

/// What one router may do for one workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct WorkspaceBounds {
    /// The weight when work has to wait.
    pub share: u32,
    /// The most requests that run at once; 0 for no limit.
    pub limit: u64,
}

/// A request that has arrived.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
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

/// The key of a flow.
type FlowKey = (ProfileName, WorkspaceName);

/// All requests that run or wait at one router.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Controller {
    #[serde(rename = "classes")]
    profiles: Sorted<ProfileName, ProfileState>,
    #[serde(rename = "spaces")]
    workspaces: Sorted<WorkspaceName, WorkspaceState>,
    #[serde(rename = "lanes")]
    flows: Sorted<FlowKey, Flow>,
}

impl Controller {
    /// Puts the bounds of a profile into force.
    pub fn set_profile(&mut self, profile: &ProfileName, bounds: ProfileBounds) {
        let state = self.profiles.entry(profile.clone(), ProfileState::default);
        state.bounds = bounds;
    }

    /// Puts the bounds of a workspace into force.
    pub fn set_workspace(&mut self, workspace: &WorkspaceName, bounds: WorkspaceBounds) {
        let state = self
            .workspaces
            .entry(workspace.clone(), WorkspaceState::default);
        state.bounds = bounds;
    }

    /// Takes in a request: starts it, lets it wait or refuses it.
    pub fn arrive(&mut self, now: Millis, request: &Request<'_>, out: &mut Vec<Action>) {
        let key = (request.profile.clone(), request.workspace.clone());
        self.flows.entry(key.clone(), Flow::default);
        let waiting = Waiting {
            ticket: request.ticket,
            cost: request.cost,
            deadline: request.deadline,
        };
        if request.is_admitted || self.can_start_now(&key) {
            self.start(&key, waiting, out);
            return;
        }
        if let Some((reason, after)) = self.refusal(now, &key, request.deadline) {
            let ticket = request.ticket;
            out.push(Action::Refuse {
                ticket,
                reason,
                after,
            });
            return;
        }
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.queue.push_back(waiting);
        }
        if let Some(state) = self.profiles.get_mut(&key.0) {
            state.waiting += 1;
        }
    }

    /// Frees the place of a request that was started `hold_time` ago.
    pub fn release(
        &mut self,
        now: Millis,
        profile: &ProfileName,
        workspace: &WorkspaceName,
        hold_time: Millis,
        out: &mut Vec<Action>,
    ) {
        if let Some(state) = self.profiles.get_mut(profile) {
            state.record_end(hold_time);
        }
        if let Some(state) = self.workspaces.get_mut(workspace) {
            state.running = state.running.saturating_sub(1);
        }
        self.tick(now, out);
    }

    /// Forgets a waiting request whose caller went away.
    pub fn cancel(&mut self, ticket: u64) {
        self.remove_waiting(|w| w.ticket == ticket);
    }

    /// Refuses what can no longer start in time and starts what may.
    pub fn tick(&mut self, now: Millis, out: &mut Vec<Action>) {
        let first_outputs: Vec<(ProfileName, Millis)> = self
            .profiles
            .iter()
            .map(|(name, s)| (name.clone(), s.bounds.first_output))
            .collect();
        for (profile, first) in first_outputs {
            let expired = self.remove_expired(&profile, now + first);
            let after = self.retry_after(&profile);
            out.extend(expired.into_iter().map(|ticket| Action::Refuse {
                ticket,
                reason: Reason::Expired,
                after,
            }));
        }
        self.start_waiting(out);
    }

    /// Whether any request waits.
    pub fn has_waiting(&self) -> bool {
        self.profiles.iter().any(|(_, s)| s.waiting > 0)
    }

    /// What runs and waits under each profile, for a state dump.
    pub fn profiles(&self) -> &impl Serialize {
        &self.profiles
    }

    /// Whether a request may start ahead of all that wait.
    fn can_start_now(&self, key: &FlowKey) -> bool {
        let Some(state) = self.profiles.get(&key.0) else {
            return false;
        };
        let is_alone = state.waiting == 0 || self.none_startable(key);
        state.running < state.bounds.capacity && is_alone && self.is_below_limit(&key.1)
    }

    /// Whether nothing that waits under the profile could start now.
    fn none_startable(&self, key: &FlowKey) -> bool {
        self.next_flow(&key.0).is_none()
    }

    fn is_below_limit(&self, workspace: &WorkspaceName) -> bool {
        self.workspaces
            .get(workspace)
            .is_none_or(WorkspaceState::is_below_limit)
    }

    /// Why a request that has to wait is refused at once, if it is.
    fn refusal(&self, now: Millis, key: &FlowKey, deadline: Millis) -> Option<(Reason, Millis)> {
        let state = self.profiles.get(&key.0)?;
        if state.waiting >= state.bounds.queue_limit {
            return Some((Reason::QueueFull, self.retry_after(&key.0)));
        }
        let wait = state.wait_time(self.starts_before(key)) + state.bounds.first_output;
        let left = deadline.since(now);
        if wait > left {
            return Some((Reason::TooLate, (wait - left).max(MIN_RETRY_AFTER)));
        }
        None
    }

    /// How many requests are likely to start before a new one of this flow, itself included.
    fn starts_before(&self, key: &FlowKey) -> u64 {
        let own = self.flows.get(key).map_or(0, |f| f.queue.len() as u64) + 1;
        let share = self.weight(&key.1);
        let others = self.flows.iter().filter(|(k, _)| k.0 == key.0 && *k != key);
        let before = others.map(|(k, flow)| {
            let turns = own * self.weight(&k.1) / share;
            turns.min(flow.queue.len() as u64)
        });
        own + before.sum::<u64>()
    }

    fn weight(&self, workspace: &WorkspaceName) -> u64 {
        let share = self.workspaces.get(workspace).map_or(1, |s| s.bounds.share);
        u64::from(share.max(1))
    }

    /// When a refused caller is likely to find room.
    fn retry_after(&self, profile: &ProfileName) -> Millis {
        let wait = self.profiles.get(profile).map(|s| s.wait_time(s.waiting));
        wait.unwrap_or_default().max(MIN_RETRY_AFTER)
    }

    fn start(&mut self, key: &FlowKey, waiting: Waiting, out: &mut Vec<Action>) {
        let share = self.workspaces.get(&key.1).map_or(1, |s| s.bounds.share);
        if let Some(state) = self.workspaces.get_mut(&key.1) {
            state.running += 1;
        }
        if let (Some(state), Some(flow)) = (self.profiles.get_mut(&key.0), self.flows.get_mut(key))
        {
            state.running += 1;
            state.virtual_time = flow
                .charge(state.virtual_time, waiting.cost, share)
                .max(state.virtual_time);
        }
        out.push(Action::Start(waiting.ticket));
    }

    /// Fills the free places, profiles of higher priority first.
    fn start_waiting(&mut self, out: &mut Vec<Action>) {
        let mut order: Vec<(u32, ProfileName)> = self
            .profiles
            .iter()
            .filter(|(_, s)| s.waiting > 0)
            .map(|(name, s)| (s.bounds.priority, name.clone()))
            .collect();
        order.sort_by_key(|(priority, _)| std::cmp::Reverse(*priority));
        for (_, profile) in order {
            while self.start_one(&profile, out) {}
        }
    }

    /// Starts the next request of a profile, if there is a place for it.
    fn start_one(&mut self, profile: &ProfileName, out: &mut Vec<Action>) -> bool {
        let is_full = |s: &ProfileState| s.running >= s.bounds.capacity;
        if self.profiles.get(profile).is_none_or(is_full) {
            return false;
        }
        let Some(key) = self.next_flow(profile) else {
            return false;
        };
        let popped = self.flows.get_mut(&key).and_then(|f| f.queue.pop_front());
        let Some(waiting) = popped else {
            return false;
        };
        if let Some(state) = self.profiles.get_mut(profile) {
            state.waiting -= 1;
        }
        self.start(&key, waiting, out);
        true
    }

    /// The flow whose turn it is, among those whose workspace has room.
    fn next_flow(&self, profile: &ProfileName) -> Option<FlowKey> {
        self.flows
            .iter()
            .filter(|(k, flow)| {
                k.0 == *profile && !flow.queue.is_empty() && self.is_below_limit(&k.1)
            })
            .min_by_key(|(_, flow)| flow.next_start)
            .map(|(k, _)| k.clone())
    }

    /// Takes out what must have started before `limit`, and returns the tickets.
    fn remove_expired(&mut self, profile: &ProfileName, limit: Millis) -> Vec<u64> {
        let mut removed = Vec::new();
        for (key, flow) in self.flows.iter_mut() {
            if key.0 != *profile {
                continue;
            }
            flow.queue.retain(|w| {
                let is_kept = w.deadline > limit;
                if !is_kept {
                    removed.push(w.ticket);
                }
                is_kept
            });
        }
        if let Some(state) = self.profiles.get_mut(profile) {
            state.waiting -= removed.len() as u64;
        }
        removed
    }

    fn remove_waiting(&mut self, matches: impl Fn(&Waiting) -> bool) {
        for (key, flow) in self.flows.iter_mut() {
            let before = flow.queue.len();
            flow.queue.retain(|w| !matches(w));
            let removed = (before - flow.queue.len()) as u64;
            if let Some(state) = self.profiles.get_mut(&key.0) {
                state.waiting -= removed;
            }
        }
    }
}
