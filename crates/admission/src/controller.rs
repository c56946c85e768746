//! Admission controller of one router: starts, queues or refuses requests.
//!
//! Waiting requests of a profile start in the order of start-time fair queueing, with one flow per
//! workspace. A request is refused once it cannot start early enough to meet its deadline.

use base::prelude::*;
use base::sorted::Sorted;
use serde::Serialize;
use strum::{Display, IntoStaticStr};

use crate::flow::{Flow, ProfileState, Waiting, WorkspaceState};

/// Shortest time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Millis = Millis(1_000);

/// Limits of one router for one profile.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ProfileBounds {
    /// Maximum number of running requests.
    pub capacity: u64,
    /// Maximum number of waiting requests.
    #[serde(rename = "queued")]
    pub queue_limit: u64,
    /// Profiles with a higher value start their waiting requests first.
    pub priority: u32,
    /// Time expected from the start of a request to its first output.
    #[serde(rename = "first")]
    pub first_output: Millis,
}

/// Limits of one router for one workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct WorkspaceBounds {
    /// Weight in fair queueing; 0 counts as 1.
    pub share: u32,
    /// Maximum number of running requests; 0 for no limit.
    pub limit: u64,
}

/// Request that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Number that identifies it in actions.
    pub ticket: u64,
    /// Profile under which it runs.
    pub profile: &'a ProfileName,
    /// Workspace to which it belongs.
    pub workspace: &'a WorkspaceName,
    /// Cost in fair queueing: the maximum number of its output tokens.
    pub cost: u64,
    /// Time by which its first output is due.
    pub deadline: Millis,
    /// Whether it continues work admitted earlier; it then starts at once, whatever the limits.
    pub is_admitted: bool,
}

/// Decision on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Run the request with this ticket.
    Start(u64),
    /// Answer that the request was not run and never will be.
    Refuse {
        /// Ticket of the request.
        ticket: u64,
        /// Cause of the refusal.
        reason: Reason,
        /// Time after which a retry is likely to be admitted.
        after: Millis,
    },
}

/// Cause of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The queue of its profile is full.
    QueueFull,
    /// On arrival, the expected wait was too long to meet its deadline.
    TooLate,
    /// While it waited, the time left became too short to meet its deadline.
    Expired,
}

/// Profile and workspace of a flow.
type FlowKey = (ProfileName, WorkspaceName);

/// Counts of running requests and queues of waiting ones at one router.
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
    /// Sets the limits of a profile.
    pub fn set_profile(&mut self, profile: &ProfileName, bounds: ProfileBounds) {
        let state = self.profiles.entry(profile.clone(), ProfileState::default);
        state.bounds = bounds;
    }

    /// Sets the limits of a workspace.
    pub fn set_workspace(&mut self, workspace: &WorkspaceName, bounds: WorkspaceBounds) {
        let state = self
            .workspaces
            .entry(workspace.clone(), WorkspaceState::default);
        state.bounds = bounds;
    }

    /// Handles the arrival of a request: starts, queues or refuses it.
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

    /// Handles the end of a request that ran for `hold_time`, and fills the free slots.
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

    /// Removes a waiting request whose caller has disconnected.
    pub fn cancel(&mut self, ticket: u64) {
        self.remove_waiting(|w| w.ticket == ticket);
    }

    /// Refuses waiting requests that can no longer meet their deadline, and fills free slots.
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
        self.fill_slots(out);
    }

    /// Whether any request is queued; if none is, [`Controller::tick`] has nothing to do.
    pub fn has_waiting(&self) -> bool {
        self.profiles.iter().any(|(_, s)| s.waiting > 0)
    }

    /// State of each profile, for a state dump.
    pub fn profiles(&self) -> &impl Serialize {
        &self.profiles
    }

    /// Whether a new request may start ahead of all that wait under its profile.
    fn can_start_now(&self, key: &FlowKey) -> bool {
        let Some(state) = self.profiles.get(&key.0) else {
            return false;
        };
        let is_first = state.waiting == 0 || self.none_startable(key);
        state.running < state.bounds.capacity && is_first && self.is_below_limit(&key.1)
    }

    /// Whether the workspaces of all requests that wait under the profile are at their limit.
    fn none_startable(&self, key: &FlowKey) -> bool {
        self.next_flow(&key.0).is_none()
    }

    fn is_below_limit(&self, workspace: &WorkspaceName) -> bool {
        self.workspaces
            .get(workspace)
            .is_none_or(WorkspaceState::is_below_limit)
    }

    /// Cause for refusing a request on arrival, and when to retry; `None` if it may wait.
    fn refusal(&self, now: Millis, key: &FlowKey, deadline: Millis) -> Option<(Reason, Millis)> {
        let state = self.profiles.get(&key.0)?;
        if state.waiting >= state.bounds.queue_limit {
            return Some((Reason::QueueFull, self.retry_after(&key.0)));
        }
        let wait = state.wait_time(self.queue_position(key)) + state.bounds.first_output;
        let left = deadline.since(now);
        if wait > left {
            return Some((Reason::TooLate, (wait - left).max(MIN_RETRY_AFTER)));
        }
        None
    }

    /// Likely position of a new request of this flow in the order of starts, counted from 1.
    fn queue_position(&self, key: &FlowKey) -> u64 {
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

    /// Time after which a refused caller is likely to find a free slot.
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

    /// Fills the free slots, profiles of higher priority first.
    fn fill_slots(&mut self, out: &mut Vec<Action>) {
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

    /// Starts the next request of a profile; returns `false` if none can start.
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

    /// Flow with the lowest start tag among those whose workspace is below its limit.
    fn next_flow(&self, profile: &ProfileName) -> Option<FlowKey> {
        self.flows
            .iter()
            .filter(|(k, flow)| {
                k.0 == *profile && !flow.queue.is_empty() && self.is_below_limit(&k.1)
            })
            .min_by_key(|(_, flow)| flow.next_start)
            .map(|(k, _)| k.clone())
    }

    /// Removes waiting requests with a deadline up to `limit`, and returns their tickets.
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
