//! Commands for the replicator.

use base::prelude::*;
use datadriven::TestCase;
use journal::record::Refusal;
use journal::replicator::{Action, Policy, Replicator};

use super::{epoch, now, number, text};

/// The replicator under test.
#[derive(Default)]
pub(crate) struct ReplicatorScript {
    replicator: Option<Replicator>,
}

impl ReplicatorScript {
    /// Runs one command and returns its output.
    pub(crate) fn run(&mut self, case: &TestCase) -> String {
        let now = now(case);
        let call = number(case, "call").unwrap_or(0);
        let mut out = Vec::new();
        if case.directive == "new" {
            let policy = Policy {
                batch_ms: number(case, "batch").unwrap_or(0),
                required: case.args.contains_key("required"),
                ..Policy::default()
            };
            self.replicator = Some(Replicator::new(now, policy, hosts(case)));
            return String::new();
        }
        let replicator = self.replicator.as_mut().expect("`new` comes first");
        match case.directive.as_str() {
            "grow" => {
                let length = Offset(number(case, "to").expect("`to=` is given"));
                let is_whole = case.args.contains_key("whole");
                replicator.grow(now, length, is_whole, &mut out);
            }
            "touch" => replicator.header_changed(now, &mut out),
            "verify" => replicator.verify(now, &mut out),
            "ack" => {
                let held = Offset(number(case, "held").expect("`held=` is given"));
                replicator.on_ack(now, call, held, &mut out);
            }
            "refuse" => replicator.on_refused(now, call, refusal(case), &mut out),
            "fail" => replicator.on_failed(now, call, &mut out),
            "hosts" => replicator.set_candidates(now, hosts(case), &mut out),
            "tick" => replicator.tick(now, &mut out),
            "wake" => return format!("{}\n", replicator.wake_at(now)),
            other => panic!("there is no command `{other}`"),
        }
        out.iter().map(line).collect()
    }
}

fn line(action: &Action) -> String {
    match action {
        Action::Send {
            host,
            from,
            with_header,
            call,
        } => {
            let header = if *with_header { " header" } else { "" };
            format!("send {host} from={from} call={call}{header}\n")
        }
        Action::Release(upto) => format!("advance {upto}\n"),
        Action::Superseded(epoch) => format!("superseded by {epoch}\n"),
    }
}

fn hosts(case: &TestCase) -> Vec<HostId> {
    let names = case.args.get("hosts").cloned().unwrap_or_default();
    names.into_iter().map(HostId).collect()
}

fn refusal(case: &TestCase) -> Refusal {
    match text(case, "why").as_deref() {
        Some("sealed") => Refusal::Sealed(epoch(case)),
        Some("full") => Refusal::Full,
        Some("gap") => Refusal::Gap(Offset(number(case, "held").unwrap_or(0))),
        Some("leaving") => Refusal::Leaving,
        other => panic!("there is no refusal {other:?}"),
    }
}
