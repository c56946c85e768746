//! Interpreter of the scenario commands.

use std::str::FromStr;

use base::prelude::*;
use datadriven::TestCase;
use generation::policy::{Mode, ModelGone};
use generation::{Action, Event, Generation, OpenError, Policy, StreamError};

/// The generation under test.
#[derive(Default)]
pub(crate) struct Script {
    generation: Option<Generation>,
    is_holding: bool,
}

impl Script {
    /// Runs one command and returns its output.
    pub(crate) fn run(&mut self, case: &TestCase) -> String {
        let now = Millis(number(case, "t").unwrap_or(0));
        let mut actions = Vec::new();
        match case.directive.as_str() {
            "new" => {
                self.is_holding = case.args.contains_key("hold");
                let mut generation = Generation::new(now, policy(case));
                generation.start(now, false, &mut actions);
                self.generation = Some(generation);
            }
            "takeover" => {
                let count = number(case, "tokens").unwrap_or(0);
                let delivered = Offset(number(case, "delivered").unwrap_or(0));
                let is_whole = case.args.contains_key("whole");
                let tokens = (0..count).map(token).collect();
                let mut generation =
                    Generation::takeover(now, policy(case), tokens, is_whole, delivered);
                let has_stream = case.args.contains_key("stream");
                generation.start(now, has_stream, &mut actions);
                self.generation = Some(generation);
            }
            "token" => return self.tokens(case, now),
            "wake" => {
                let generation = self.generation.as_ref().expect("`new` comes first");
                return format!("{}\n", generation.wake_at(now));
            }
            _ => self.on(now, event(case), &mut actions),
        }
        self.print(now, actions)
    }

    /// Feeds consecutive tokens of one attempt.
    fn tokens(&mut self, case: &TestCase, start: Millis) -> String {
        let attempt = attempt(case);
        let first = number(case, "offset").expect("`offset=` is given");
        let count = number(case, "count").unwrap_or(1);
        let gap = number(case, "gap").unwrap_or(0);
        let mut text = String::new();
        for i in 0..count {
            let now = start + Millis(i * gap);
            let event = Event::Token {
                attempt,
                offset: Offset(first + i),
                token: token(first + i),
            };
            let mut actions = Vec::new();
            self.on(now, event, &mut actions);
            text.push_str(&self.print(now, actions));
        }
        text
    }

    fn on(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        let generation = self.generation.as_mut().expect("`new` comes first");
        generation.on_event(now, event, actions);
    }

    /// Prints one line per action; journalled tokens are released at once unless `hold` was given.
    fn print(&mut self, now: Millis, actions: Vec<Action>) -> String {
        let mut text = String::new();
        for action in actions {
            text.push_str(&line(&action));
            if let Action::Journal { length, .. } = action
                && !self.is_holding
            {
                let mut more = Vec::new();
                self.on(now, Event::Released(length), &mut more);
                text.push_str(&self.print(now, more));
            }
        }
        text
    }
}

fn line(action: &Action) -> String {
    match action {
        Action::Open {
            attempt,
            avoid,
            is_hedge,
        } => {
            let avoid: Vec<u64> = avoid.iter().map(|a| a.0).collect();
            let hedge = if *is_hedge { " hedge" } else { "" };
            format!("open {attempt} avoid={avoid:?}{hedge}\n")
        }
        Action::Reattach { attempt, from } => format!("reattach {attempt} from={from}\n"),
        Action::Cancel(attempt) => format!("cancel {attempt}\n"),
        Action::Detach(attempt) => format!("detach {attempt}\n"),
        Action::SetCurrent(attempt) => format!("current {attempt}\n"),
        Action::Journal { length, finished } => {
            let whole = if *finished { " whole" } else { "" };
            format!("journal {length}{whole}\n")
        }
        Action::Verify => "verify\n".to_owned(),
        Action::Deliver { from, to } => format!("deliver {from}..{to}\n"),
        Action::KeepAlive => "keep-alive\n".to_owned(),
        Action::Recovered {
            silence_ms,
            same_stream,
        } => format!("recovered silence={silence_ms} same_stream={same_stream}\n"),
        Action::Restart => "restart\n".to_owned(),
        Action::Finish => "finish\n".to_owned(),
        Action::Fail(failure) => format!("fail {failure:?}\n"),
    }
}

fn event(case: &TestCase) -> Event {
    let attempt = attempt(case);
    match case.directive.as_str() {
        "opened" => Event::Opened {
            attempt,
            offset: Offset(number(case, "offset").unwrap_or(0)),
        },
        "open-failed" => Event::OpenFailed {
            attempt,
            cause: cause(&text(case, "cause").expect("`cause=` is given")),
        },
        "ended" => Event::Ended {
            attempt,
            length: number(case, "length").expect("`length=` is given"),
        },
        "broken" => Event::Broken {
            attempt,
            cause: StreamError::Closed,
        },
        "released" => Event::Released(Offset(number(case, "upto").expect("`upto=` is given"))),
        "verified" => Event::Verified,
        "superseded" => Event::Superseded,
        "caller-gone" => Event::CallerDisconnected,
        "slow-caller" => Event::Reading(false),
        "caller-caught-up" => Event::Reading(true),
        "expired" => Event::DeadlineExpired,
        "tick" => Event::Tick,
        other => panic!("there is no command `{other}`"),
    }
}

fn cause(name: &str) -> OpenError {
    match name {
        "no-backend" => OpenError::NoBackend,
        "unreachable" => OpenError::Unreachable,
        "busy" => OpenError::Busy,
        "model-gone" => OpenError::ModelGone,
        "no-stream" => OpenError::NoStream,
        "invalid" => OpenError::Invalid,
        other => panic!("there is no cause `{other}`"),
    }
}

/// The default policy with the overrides of the command.
fn policy(case: &TestCase) -> Policy {
    let default = Policy::default();
    let mode = text(case, "mode").unwrap_or_else(|| "latency".to_owned());
    Policy {
        mode: Mode::from_str(&mode).expect("`mode=` names a mode"),
        attempts: number(case, "attempts").unwrap_or(default.attempts),
        model_gone: match text(case, "model_gone").as_deref() {
            Some("restart") => ModelGone::Restart,
            _ => ModelGone::Fail,
        },
        ..default
    }
}

fn attempt(case: &TestCase) -> Attempt {
    Attempt(number(case, "attempt").unwrap_or(1))
}

fn token(offset: u64) -> Token {
    Token {
        id: u32::try_from(offset).expect("offsets are small"),
        text: format!(" {offset}"),
    }
}

fn text(case: &TestCase, name: &str) -> Option<String> {
    case.args.get(name).and_then(|v| v.first()).cloned()
}

fn number(case: &TestCase, name: &str) -> Option<u64> {
    text(case, name).map(|v| v.parse().expect("the argument is a number"))
}
