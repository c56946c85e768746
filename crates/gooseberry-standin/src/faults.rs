//! Fault switches that all stand-ins share.

use std::sync::Mutex;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, sleep_until};
use web::{Response, reply};

/// The largest body of a fault switch, in bytes.
const MAX_BODY_BYTES: usize = 4_096;

/// The exit code of a process told to die.
const FAULT_EXIT_CODE: i32 = 86;

/// The body of `POST /faults`; fields left out keep their setting.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Switch {
    /// End the process at once, without closing anything in order.
    pub die: bool,
    /// Do nothing for so many milliseconds, then go on as if nothing had happened.
    pub pause_ms: Option<u64>,
    /// Answer each request later by so many milliseconds.
    pub delay_ms: Option<u64>,
    /// Send nothing more on the streams open now; new ones work.
    pub silence: bool,
    /// Refuse each request until switched off.
    pub outage: Option<bool>,
    /// Carry out the next so many writes and lose their answers.
    pub lose_answers: Option<u64>,
    /// Carry out the next so many calls, then end the process before answering.
    pub die_after: Option<u64>,
    /// Whether to take no new work.
    pub leaving: Option<bool>,
    /// Send no cache event for so many events.
    pub drop_events: Option<u64>,
    /// Freeze the load report.
    pub freeze_load: Option<bool>,
}

/// The faults in force.
#[derive(Clone, Debug, Default)]
pub struct State {
    paused_until: Option<Instant>,
    /// How much later requests are answered.
    pub delay: Duration,
    /// Streams opened before this number are silent.
    pub last_silenced: u64,
    /// Whether each request is refused.
    pub outage: bool,
    /// How many answers of writes are still to be lost.
    pub lose_answers: u64,
    /// After how many calls the process ends.
    pub die_after: Option<u64>,
    /// Whether no new work is taken.
    pub leaving: bool,
    /// How many cache events are still to be dropped.
    pub drop_events: u64,
    /// Whether the load report is frozen.
    pub freeze_load: bool,
    opened: u64,
}

/// The switches of a process.
#[derive(Debug, Default)]
pub struct Faults {
    state: Mutex<State>,
}

impl Faults {
    /// The faults in force now.
    pub fn state(&self) -> State {
        self.update(|s| s.clone())
    }

    /// Changes or reads the faults in force.
    pub fn update<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(|e| e.into_inner());
        change(&mut state)
    }

    /// Waits out a pause and a delay.
    pub async fn inject_delay(&self) {
        self.wait_paused().await;
        let delay = self.state().delay;
        if !delay.is_zero() {
            sleep(delay).await;
        }
    }

    /// Waits out a pause.
    pub async fn wait_paused(&self) {
        while let Some(until) = self.state().paused_until.filter(|t| *t > Instant::now()) {
            sleep_until(until).await;
        }
    }

    /// Numbers a stream that is being opened.
    pub fn open_stream(&self) -> u64 {
        self.update(|s| {
            s.opened += 1;
            s.opened
        })
    }

    /// Whether the stream of this number is silent.
    pub fn is_silent(&self, stream: u64) -> bool {
        self.update(|s| stream <= s.last_silenced)
    }

    /// Whether the answer of a write that took effect is lost; counts down.
    pub fn loses_answer(&self) -> bool {
        self.update(|s| {
            let is_lost = s.lose_answers > 0;
            s.lose_answers = s.lose_answers.saturating_sub(1);
            is_lost
        })
    }

    /// Ends the process if it was to end after this call.
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

    /// Answers `POST /faults`.
    pub async fn handle_request(&self, request: Request<Incoming>) -> Response {
        let switch: Switch = match reply::read_json(request, MAX_BODY_BYTES).await {
            Ok(switch) => switch,
            Err(e) => return reply::json(StatusCode::BAD_REQUEST, &e.to_string()),
        };
        self.apply(&switch);
        reply::json(StatusCode::OK, &switch)
    }

    /// Puts a switch into force.
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
