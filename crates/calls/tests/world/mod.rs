//! Simulation of several routers with a fake table and a fake backend server.

use base::prelude::*;
use calls::record::{Body, Outcome, Owner, Record, State, VersionedRecord};
use calls::submission::{Action, Answer, Event, Expected, KeyOrigin, Phase, Submission, Times};

/// Course of a table access.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Access {
    /// It takes effect and is answered.
    Applied,
    /// It takes effect and its answer is lost.
    AnswerLost,
    /// It has no effect and no answer.
    Dropped,
    /// It times out for its sender and may take effect later.
    Delayed,
}

/// Course of a call that is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// It runs and is answered.
    Answer,
    /// It runs, and the server crashes before it answers.
    Crash,
    /// It never arrives; the sender cannot know that.
    Dropped,
    /// The connection is refused, so it is certain not to have been sent.
    Refuse,
}

/// Submission and its action in progress.
pub(crate) struct Call {
    pub(crate) submission: Submission,
    pub(crate) key: String,
    pub(crate) router: usize,
    pub(crate) work: Option<Action>,
    pub(crate) answer: Option<Answer>,
    pub(crate) times: Times,
    owner: Owner,
}

/// State of a router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Router {
    pub(crate) is_dead: bool,
    pub(crate) is_paused: bool,
    pub(crate) is_partitioned: bool,
}

/// Routers, submissions, and the rows of the table.
#[derive(Default)]
pub(crate) struct World {
    pub(crate) now: Millis,
    pub(crate) routers: Vec<Router>,
    pub(crate) calls: Vec<Call>,
    /// Actions that their senders have abandoned and that may still take effect, by submission.
    pub(crate) delayed: Vec<(usize, Action)>,
    pub(crate) runs: Vec<String>,
    pub(crate) log: Vec<String>,
    rows: Vec<(String, VersionedRecord)>,
    writes: u64,
    late_sends: usize,
}

impl World {
    pub(crate) fn new(routers: usize) -> Self {
        Self {
            routers: vec![Router::default(); routers],
            ..Self::default()
        }
    }

    pub(crate) fn submit(
        &mut self,
        router: usize,
        key: &str,
        digest: u64,
        origin: KeyOrigin,
        span: u64,
    ) {
        let times = Times {
            send_by: self.now + Millis(span / 2),
            deadline: self.now + Millis(span),
        };
        let owner = Owner {
            router: Incarnation(router as u64),
            number: self.calls.len() as u64,
        };
        let (submission, action) = Submission::new(owner, digest, origin, times);
        self.calls.push(Call {
            submission,
            key: key.to_owned(),
            router,
            work: None,
            answer: None,
            times,
            owner,
        });
        self.perform(self.calls.len() - 1, vec![action]);
    }

    /// Whether the router of a submission is neither dead nor paused.
    pub(crate) fn is_running(&self, i: usize) -> bool {
        let router = self.routers[self.calls[i].router];
        !router.is_dead && !router.is_paused
    }

    /// Completes the table access of a submission, if one is in progress.
    pub(crate) fn complete_access(&mut self, i: usize, access: Access) {
        let is_table =
            |a: &mut Action| matches!(a, Action::Write(..) | Action::Delete(_) | Action::Read);
        if !self.is_running(i) {
            return;
        }
        let Some(action) = self.calls[i].work.take_if(is_table) else {
            return;
        };
        let access = match self.routers[self.calls[i].router].is_partitioned {
            true => Access::Dropped,
            false => access,
        };
        let event = match access {
            Access::Applied => self.carry_out(i, &action),
            Access::AnswerLost => {
                self.carry_out(i, &action);
                Event::Unconfirmed
            }
            Access::Dropped => Event::Unconfirmed,
            Access::Delayed => {
                self.delayed.push((i, action));
                Event::Unconfirmed
            }
        };
        self.handle(i, event);
    }

    /// Completes the selection of a backend server for a submission.
    pub(crate) fn complete_selection(&mut self, i: usize, is_found: bool) {
        if self.is_running(i)
            && self.calls[i]
                .work
                .take_if(|a| *a == Action::SelectServer)
                .is_some()
        {
            let event = if is_found {
                Event::ServerReady
            } else {
                Event::NoServer
            };
            self.handle(i, event);
        }
    }

    /// Completes the sending of a call.
    pub(crate) fn complete_send(&mut self, i: usize, delivery: Delivery) {
        if !self.is_running(i) || self.calls[i].work.take_if(|a| *a == Action::Send).is_none() {
            return;
        }
        if matches!(delivery, Delivery::Answer | Delivery::Crash) {
            self.run(i);
        }
        let event = match delivery {
            Delivery::Answer => Event::Answered(outcome(i)),
            Delivery::Crash | Delivery::Dropped => Event::NoAnswer,
            Delivery::Refuse => Event::NotSent,
        };
        self.handle(i, event);
    }

    /// Carries out an abandoned action; its sender may be dead by now.
    pub(crate) fn deliver(&mut self, index: usize) {
        if index >= self.delayed.len() {
            return;
        }
        let (i, action) = self.delayed.remove(index);
        if action == Action::Send {
            self.run(i);
        } else {
            self.carry_out(i, &action);
        }
    }

    /// Advances the time and reports timers that are due.
    pub(crate) fn advance(&mut self, span: u64) {
        self.now = self.now + Millis(span);
        for i in 0..self.calls.len() {
            if self.is_running(i) && self.calls[i].submission.due() <= self.now {
                self.handle(i, Event::TimerFired);
            }
        }
    }

    /// Kills a router; its actions in progress may still take effect.
    pub(crate) fn kill(&mut self, router: usize) {
        self.routers[router].is_dead = true;
        for i in 0..self.calls.len() {
            if self.calls[i].router == router {
                self.abandon(i);
            }
        }
    }

    /// Checks that no call was sent late, and that no key ran twice or in spite of `NotRun`.
    pub(crate) fn check(&self) -> Result<(), String> {
        if self.late_sends > 0 {
            return Err("a call was sent at or after `send_by`".to_owned());
        }
        for call in &self.calls {
            let runs = self.count(&call.key);
            if runs > 1 {
                return Err(format!("{} ran {runs} times", call.key));
            }
            if call.answer == Some(Answer::NotRun) && runs > 0 {
                return Err(format!("{} ran after `not_run`", call.key));
            }
        }
        Ok(())
    }

    /// Checks that each submission on a running router has answered its caller by the deadline.
    pub(crate) fn check_answered(&self) -> Result<(), String> {
        for (i, call) in self.calls.iter().enumerate() {
            let is_late = self.now >= call.times.deadline;
            if self.is_running(i) && is_late && call.answer.is_none() {
                return Err(format!(
                    "s{i} in phase {} has not answered by its deadline",
                    call.submission.phase()
                ));
            }
        }
        Ok(())
    }

    pub(crate) fn count(&self, key: &str) -> usize {
        self.runs.iter().filter(|k| *k == key).count()
    }

    fn run(&mut self, i: usize) {
        let key = self.calls[i].key.clone();
        self.log.push(format!("{key} runs"));
        self.runs.push(key);
    }

    fn handle(&mut self, i: usize, event: Event) {
        let now = self.now;
        let actions = self.calls[i].submission.handle(now, event);
        self.perform(i, actions);
    }

    fn perform(&mut self, i: usize, actions: Vec<Action>) {
        for action in actions {
            self.log.push(format!("s{i} {}", show(&action)));
            if let Action::Answer(answer) = action {
                assert_eq!(
                    self.calls[i].answer, None,
                    "a submission has answered twice"
                );
                self.calls[i].answer = Some(answer);
                continue;
            }
            if action == Action::Send && self.now >= self.calls[i].times.send_by {
                self.late_sends += 1;
            }
            self.abandon(i);
            self.calls[i].work = Some(action);
        }
        if self.calls[i].submission.phase() == Phase::Over {
            self.abandon(i);
        }
    }

    /// Abandons the action in progress; unless it only reads or selects, it may still take effect.
    fn abandon(&mut self, i: usize) {
        let work = self.calls[i].work.take();
        if let Some(action) = work.filter(|a| !matches!(a, Action::Read | Action::SelectServer)) {
            self.delayed.push((i, action));
        }
    }

    fn carry_out(&mut self, i: usize, action: &Action) -> Event {
        let key = self.calls[i].key.clone();
        let at = self.rows.iter().position(|(k, _)| *k == key);
        let held = at.map(|at| self.rows[at].1.clone());
        let version = held.as_ref().map(|h| h.version);
        let holds = |expected: &Expected| match expected {
            Expected::Absent => version.is_none(),
            Expected::Version(v) => version == Some(*v),
        };
        match action {
            Action::Write(expected, state) if holds(expected) => {
                self.writes += 1;
                let record = Record {
                    owner: self.calls[i].owner,
                    digest: self.calls[i].submission.digest(),
                    until_ms: 0,
                    state: state.clone(),
                };
                let version = self.writes;
                self.rows.retain(|(k, _)| *k != key);
                self.rows.push((key, VersionedRecord { version, record }));
                Event::Committed(version)
            }
            Action::Delete(version) if holds(&Expected::Version(*version)) => {
                self.rows.retain(|(k, _)| *k != key);
                Event::Committed(0)
            }
            _ => Event::Found(held),
        }
    }
}

/// Answer of the backend server to submission `i`.
pub(crate) fn outcome(i: usize) -> Outcome {
    Outcome {
        status: 200,
        content: None,
        body: Body::Text(format!("receipt of s{i}")),
    }
}

fn show(action: &Action) -> String {
    let name = |state: &State| match state {
        State::Running => "running".to_owned(),
        State::Done(_) => "done".to_owned(),
        State::Lost => "lost".to_owned(),
        State::Cancelled => "cancelled".to_owned(),
    };
    match action {
        Action::Write(Expected::Absent, state) => format!("writes {} if absent", name(state)),
        Action::Write(Expected::Version(_), state) => {
            format!("writes {} over its row", name(state))
        }
        Action::Delete(_) => "deletes its row".to_owned(),
        Action::Read => "looks".to_owned(),
        Action::SelectServer => "picks".to_owned(),
        Action::Send => "sends".to_owned(),
        Action::Answer(Answer::Stored(o)) => format!("answers stored {:?}", o.body),
        Action::Answer(answer) => format!("answers {answer:?}"),
    }
}
