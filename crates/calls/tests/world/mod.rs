//! Several routers before a fake table and a fake backend server.

use base::prelude::*;
use calls::record::{Body, Outcome, Owner, Record, State, VersionedRecord};
use calls::submission::{Action, Answer, Event, Expected, KeyOrigin, Phase, Submission, Times};

/// What happens to a write or read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    /// It takes effect and is answered.
    Whole,
    /// It takes effect and its answer is lost.
    Lost,
    /// It has no effect and no answer.
    Dropped,
    /// It is on its way still when its sender gives it up.
    Stray,
}

/// What happens to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Serve {
    /// It runs and is answered.
    Answer,
    /// It runs and the server dies before it answers.
    Die,
    /// It never arrives; the sender cannot know.
    Vanish,
    /// No connection could be made.
    Refuse,
}

/// One submission and the work under way for it.
pub(crate) struct Call {
    pub(crate) submission: Submission,
    pub(crate) key: String,
    pub(crate) router: usize,
    pub(crate) work: Option<Action>,
    pub(crate) told: Option<Answer>,
    pub(crate) times: Times,
    owner: Owner,
}

/// A router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Router {
    pub(crate) is_dead: bool,
    pub(crate) is_paused: bool,
    pub(crate) is_parted: bool,
}

/// Everything.
#[derive(Default)]
pub(crate) struct World {
    pub(crate) now: Millis,
    pub(crate) routers: Vec<Router>,
    pub(crate) calls: Vec<Call>,
    /// Work whose sender has given it up.
    pub(crate) strays: Vec<(usize, Action)>,
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
            told: None,
            times,
            owner,
        });
        self.take(self.calls.len() - 1, vec![action]);
    }

    /// Whether a submission's router acts at all.
    pub(crate) fn acts(&self, i: usize) -> bool {
        let router = self.routers[self.calls[i].router];
        !router.is_dead && !router.is_paused
    }

    /// Ends the table work of a submission, if it has some.
    pub(crate) fn settle(&mut self, i: usize, fate: Fate) {
        let is_table =
            |a: &mut Action| matches!(a, Action::Write(..) | Action::Delete(_) | Action::Read);
        if !self.acts(i) {
            return;
        }
        let Some(action) = self.calls[i].work.take_if(is_table) else {
            return;
        };
        let fate = match self.routers[self.calls[i].router].is_parted {
            true => Fate::Dropped,
            false => fate,
        };
        let event = match fate {
            Fate::Whole => self.carry_out(i, &action),
            Fate::Lost => {
                self.carry_out(i, &action);
                Event::Unconfirmed
            }
            Fate::Dropped => Event::Unconfirmed,
            Fate::Stray => {
                self.strays.push((i, action));
                Event::Unconfirmed
            }
        };
        self.feed(i, event);
    }

    /// Chooses a backend server for a submission, or finds none.
    pub(crate) fn pick(&mut self, i: usize, is_found: bool) {
        if self.acts(i)
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
            self.feed(i, event);
        }
    }

    /// Ends the sending of a call.
    pub(crate) fn serve(&mut self, i: usize, serve: Serve) {
        if !self.acts(i) || self.calls[i].work.take_if(|a| *a == Action::Send).is_none() {
            return;
        }
        if matches!(serve, Serve::Answer | Serve::Die) {
            self.run(i);
        }
        let event = match serve {
            Serve::Answer => Event::Answered(outcome(i)),
            Serve::Die | Serve::Vanish => Event::NoAnswer,
            Serve::Refuse => Event::NotSent,
        };
        self.feed(i, event);
    }

    /// Lets work arrive whose sender has given it up; it may be long dead.
    pub(crate) fn land(&mut self, stray: usize) {
        if stray >= self.strays.len() {
            return;
        }
        let (i, action) = self.strays.remove(stray);
        if action == Action::Send {
            self.run(i);
        } else {
            self.carry_out(i, &action);
        }
    }

    /// Lets time pass and wakes what is due.
    pub(crate) fn advance(&mut self, span: u64) {
        self.now = self.now + Millis(span);
        for i in 0..self.calls.len() {
            if self.acts(i) && self.calls[i].submission.due() <= self.now {
                self.feed(i, Event::TimerFired);
            }
        }
    }

    /// Ends a router; what it had sent stays on its way.
    pub(crate) fn kill(&mut self, router: usize) {
        self.routers[router].is_dead = true;
        for i in 0..self.calls.len() {
            if self.calls[i].router == router {
                self.stray(i);
            }
        }
    }

    /// What must hold at any moment.
    pub(crate) fn check(&self) -> Result<(), String> {
        if self.late_sends > 0 {
            return Err("a call was sent after its time".to_owned());
        }
        for call in &self.calls {
            let runs = self.count(&call.key);
            if runs > 1 {
                return Err(format!("{} ran {runs} times", call.key));
            }
            if call.told == Some(Answer::NotRun) && runs > 0 {
                return Err(format!("{} ran after `not_run`", call.key));
            }
        }
        Ok(())
    }

    /// Whether each live submission has ended for its caller once its time is up.
    pub(crate) fn check_told(&self) -> Result<(), String> {
        for (i, call) in self.calls.iter().enumerate() {
            let is_late = self.now >= call.times.deadline;
            if self.acts(i) && is_late && call.told.is_none() {
                return Err(format!(
                    "s{i} was told nothing in {}",
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

    fn feed(&mut self, i: usize, event: Event) {
        let now = self.now;
        let actions = self.calls[i].submission.handle(now, event);
        self.take(i, actions);
    }

    fn take(&mut self, i: usize, actions: Vec<Action>) {
        for action in actions {
            self.log.push(format!("s{i} {}", show(&action)));
            if let Action::Answer(answer) = action {
                assert_eq!(self.calls[i].told, None, "one answer a submission");
                self.calls[i].told = Some(answer);
                continue;
            }
            if action == Action::Send && self.now >= self.calls[i].times.send_by {
                self.late_sends += 1;
            }
            self.stray(i);
            self.calls[i].work = Some(action);
        }
        if self.calls[i].submission.phase() == Phase::Over {
            self.stray(i);
        }
    }

    /// What is replaced may be on its way all the same.
    fn stray(&mut self, i: usize) {
        let work = self.calls[i].work.take();
        if let Some(action) = work.filter(|a| !matches!(a, Action::Read | Action::SelectServer)) {
            self.strays.push((i, action));
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

/// The answer of the backend server to submission `i`.
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
