//! Fault injection for all stand-ins, switched by `POST /faults`.

use std::sync::Mutex;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, sleep_until};
use web::{Response, reply};

/// The limit on the body of `POST /faults`.
const MAX_BODY_BYTES: usize = 4_096;

/// The exit code of a process ended by a fault switch.
const FAULT_EXIT_CODE: i32 = 86;

/// The body of `POST /faults`; omitted fields leave their fault unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Switch {
    /// Exit the process immediately, without a graceful shutdown.
    pub die: bool,
    /// Stall all work for this many milliseconds, then continue normally.
    pub pause_ms: Option<u64>,
    /// Delay each answer by this many milliseconds.
    pub delay_ms: Option<u64>,
    /// Send nothing more on the streams that are open now, and keep their connections open; new
    /// streams are not affected.
    pub silence: bool,
    /// Whether to refuse each request; stays on until switched off.
    pub outage: Option<bool>,
    /// Execute this many of the next writes, but break off their answers.
    pub lose_answers: Option<u64>,
    /// Execute this many calls, then exit the process before the last one is answered.
    pub die_after: Option<u64>,
    /// Whether to report that the server leaves, and refuse new work.
    pub leaving: Option<bool>,
    /// Drop this many of the next cache events.
    pub drop_events: Option<u64>,
    /// Whether to keep reporting an old load instead of the current one.
    pub freeze_load: Option<bool>,
}

/// The faults in force.
#[derive(Clone, Debug, Default)]
pub struct State {
    paused_until: Option<Instant>,
    /// The delay added to each answer.
    pub delay: Duration,
    /// Streams up to and including this number send nothing more.
    pub last_silenced: u64,
    /// Whether every request is refused.
    pub outage: bool,
    /// The number of answers to writes that are still to be broken off.
    pub lose_answers: u64,
    /// The number of calls left until the process exits; `None` if it does not.
    pub die_after: Option<u64>,
    /// Whether the server reports that it leaves and refuses new work.
    pub leaving: bool,
    /// The number of cache events that are still to be dropped.
    pub drop_events: u64,
    /// Whether load reports are no longer updated.
    pub freeze_load: bool,
    /// The number of streams opened so far.
    opened: u64,
}

/// The faults of a stand-in, shared by its request handlers.
#[derive(Debug, Default)]
pub struct Faults {
    state: Mutex<State>,
}

impl Faults {
    /// A copy of the faults now in force.
    pub fn state(&self) -> State {
        self.update(|s| s.clone())
    }

    /// Runs `change` on the faults in force under their lock.
    pub fn update<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(|e| e.into_inner());
        change(&mut state)
    }

    /// Waits until a pause has ended, then for the delay in force.
    pub async fn inject_delay(&self) {
        self.wait_paused().await;
        let delay = self.state().delay;
        if !delay.is_zero() {
            sleep(delay).await;
        }
    }

    /// Waits until a pause has ended.
    pub async fn wait_paused(&self) {
        while let Some(until) = self.state().paused_until.filter(|t| *t > Instant::now()) {
            sleep_until(until).await;
        }
    }

    /// Registers a stream that is being opened and returns its number, counted from 1.
    pub fn open_stream(&self) -> u64 {
        self.update(|s| {
            s.opened += 1;
            s.opened
        })
    }

    /// Whether the stream with this number sends nothing more.
    pub fn is_silent(&self, stream: u64) -> bool {
        self.update(|s| stream <= s.last_silenced)
    }

    /// Whether to break off the answer of a write that was executed; counts down `lose_answers`.
    pub fn loses_answer(&self) -> bool {
        self.update(|s| {
            let is_lost = s.lose_answers > 0;
            s.lose_answers = s.lose_answers.saturating_sub(1);
            is_lost
        })
    }

    /// Counts an executed call against `die_after`, and exits the process if it was the last one.
    pub fn count_call(&self) {
        let is_last = self.update(|s| match &mut s.die_after {
            Some(0 | 1) => true,
            Some(left) => {
                *left -= 1;
                false
            }
            None => false,
        });
        if is_last {
            std::process::exit(FAULT_EXIT_CODE);
        }
    }

    /// Handles `POST /faults`; echoes the switch, or answers 400 if its body is invalid.
    pub async fn handle_request(&self, request: Request<Incoming>) -> Response {
        let switch: Switch = match reply::read_json(request, MAX_BODY_BYTES).await {
            Ok(switch) => switch,
            Err(e) => return reply::json(StatusCode::BAD_REQUEST, &e.to_string()),
        };
        self.apply(&switch);
        reply::json(StatusCode::OK, &switch)
    }

    /// Applies a switch; does not return if it sets `die`.
    pub fn apply(&self, switch: &Switch) {
        if switch.die {
            std::process::exit(FAULT_EXIT_CODE);
        }
        self.update(|s| {
            if let Some(ms) = switch.pause_ms {
                s.paused_until = Some(Instant::now() + Duration::from_millis(ms));
            }
            if let Some(ms) = switch.delay_ms {
                s.delay = Duration::from_millis(ms);
            }
            if switch.silence {
                s.last_silenced = s.opened;
            }
            s.outage = switch.outage.unwrap_or(s.outage);
            s.lose_answers = switch.lose_answers.unwrap_or(s.lose_answers);
            s.die_after = switch.die_after.or(s.die_after);
            s.leaving = switch.leaving.unwrap_or(s.leaving);
            s.drop_events = switch.drop_events.unwrap_or(s.drop_events);
            s.freeze_load = switch.freeze_load.unwrap_or(s.freeze_load);
        });
    }
}
