//! Which prompts are quarantined, by the crashes and answers that hosts have seen.

use base::prelude::*;
use membership::gossip::PromptEvidence;
use relay::quarantine::{Admission, Quarantine, Subject};

/// Parts of prompts: one that is fatal, a second one, and others that are not.
const FATAL: u64 = 50;
const OTHER_FATAL: u64 = 60;
const SHARED: u64 = 10;

/// The hold time of a new quarantine.
const HOLD: Millis = Millis(900_000);

fn check(quarantine: &mut Quarantine, now: u64, parts: &[u64]) -> Admission {
    quarantine.check(Millis(now), parts, |_, _| true)
}

/// The hold time after a failed trial.
const SECOND_HOLD: Millis = Millis(7_200_000);

/// Ends `count` servers under requests with these parts, one each second from `from` seconds on.
fn crash(quarantine: &mut Quarantine, from: u64, count: u64, parts: &[u64]) {
    for i in from..from + count {
        quarantine.record_crash(Millis(i * 1_000), i as u32, parts);
    }
}

fn is_refused(quarantine: &mut Quarantine, now: u64, parts: &[u64]) -> bool {
    matches!(check(quarantine, now, parts), Admission::Refused(_))
}

#[test]
fn three_servers_end() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 1, 2, &[SHARED, FATAL]);
    assert_eq!(
        check(&mut quarantine, 3_000, &[SHARED, FATAL]),
        Admission::Allowed
    );
    crash(&mut quarantine, 3, 1, &[SHARED, FATAL]);
    assert_eq!(
        check(&mut quarantine, 4_000, &[SHARED, FATAL]),
        Admission::Refused(HOLD - Millis(1_000))
    );
    assert_eq!(check(&mut quarantine, 4_000, &[11, 12]), Admission::Allowed);
}

#[test]
fn crash_counts_once() {
    let mut quarantine = Quarantine::default();
    for at in [0, 300, 600] {
        quarantine.record_crash(Millis(at), 1, &[FATAL]);
        quarantine.record_crash(Millis(at), 1, &[20, FATAL]);
    }
    assert!(!is_refused(&mut quarantine, 1_000, &[FATAL]));
}

/// A server may start again under the id that it had.
#[test]
fn same_server_again() {
    let mut quarantine = Quarantine::default();
    for at in [0, 4_000, 8_000] {
        quarantine.record_crash(Millis(at), 1, &[FATAL]);
    }
    assert!(is_refused(&mut quarantine, 9_000, &[FATAL]));
}

/// A data centre that fails is no fault of the prompts that were there.
#[test]
fn servers_end_together() {
    let mut quarantine = Quarantine::default();
    for server in 0..9 {
        quarantine.record_crash(Millis(1_000 + u64::from(server)), server, &[SHARED]);
    }
    assert!(!is_refused(&mut quarantine, 2_000, &[SHARED]));
}

#[test]
fn sound_answer_clears() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 1, 2, &[SHARED]);
    quarantine.record_sound(Millis(2_500), &[SHARED, 77]);
    crash(&mut quarantine, 3, 2, &[SHARED]);
    assert!(!is_refused(&mut quarantine, 5_000, &[SHARED]));
}

/// Also where each of the bad requests has another one of the shared parts.
#[test]
fn shared_part_is_spared() {
    let mut quarantine = Quarantine::default();
    quarantine.record_sound(Millis(500), &[SHARED]);
    crash(&mut quarantine, 1, 3, &[SHARED, FATAL]);
    assert_eq!(check(&mut quarantine, 4_000, &[SHARED]), Admission::Allowed);
    assert!(is_refused(&mut quarantine, 4_000, &[11, FATAL]));
}

#[test]
fn two_fatal_parts() {
    let mut quarantine = Quarantine::default();
    for i in 0..4 {
        quarantine.record_sound(Millis(i * 1_000), &[SHARED]);
        crash(&mut quarantine, 2 * i + 1, 1, &[SHARED, FATAL]);
        crash(&mut quarantine, 2 * i + 2, 1, &[SHARED, OTHER_FATAL]);
    }
    assert!(is_refused(&mut quarantine, 9_000, &[FATAL]));
    assert!(is_refused(&mut quarantine, 9_000, &[OTHER_FATAL]));
    assert!(!is_refused(&mut quarantine, 9_000, &[SHARED]));
}

/// A part that was sound and ends servers from some time on.
#[test]
fn sound_part_turns_fatal() {
    let mut quarantine = Quarantine::default();
    quarantine.record_sound(Millis(0), &[FATAL]);
    crash(&mut quarantine, 1, 4, &[FATAL]);
    assert!(!is_refused(&mut quarantine, 5_000, &[FATAL]));
    crash(&mut quarantine, 5, 1, &[FATAL]);
    assert!(is_refused(&mut quarantine, 6_000, &[FATAL]));
}

#[test]
fn some_parts_tried_one_by_one() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 1, 3, &[SHARED, FATAL]);
    assert_eq!(check(&mut quarantine, 4_000, &[SHARED]), Admission::Allowed);
    assert_eq!(check(&mut quarantine, 4_100, &[20, FATAL]), Admission::Wait);
    quarantine.record_sound(Millis(4_500), &[SHARED]);
    assert!(is_refused(&mut quarantine, 4_600, &[20, FATAL]));
    assert_eq!(check(&mut quarantine, 4_600, &[SHARED]), Admission::Allowed);
}

#[test]
fn crash_of_some_parts() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 1, 3, &[SHARED, FATAL]);
    assert_eq!(
        check(&mut quarantine, 4_000, &[20, FATAL]),
        Admission::Allowed
    );
    quarantine.record_crash(Millis(5_000), 9, &[20, FATAL]);
    assert!(is_refused(&mut quarantine, 5_100, &[30, FATAL]));
    assert!(!is_refused(&mut quarantine, 5_100, &[SHARED]));
}

/// Sends what each host has to tell to all others, until there is no news.
fn exchange(hosts: &mut [Quarantine], now: u64) {
    for _ in 0..3 {
        let told: Vec<Option<PromptEvidence>> = hosts
            .iter_mut()
            .map(|h| h.evidence(Millis(now), true))
            .collect();
        for (from, evidence) in told.iter().enumerate() {
            let Some(evidence) = evidence else { continue };
            for (to, host) in hosts.iter_mut().enumerate() {
                if from != to {
                    host.merge(Millis(now), evidence);
                }
            }
        }
    }
}

#[test]
fn hosts_judge_together() {
    let mut hosts = vec![Quarantine::default(); 4];
    hosts[3].record_sound(Millis(900), &[SHARED]);
    for (i, host) in hosts.iter_mut().take(3).enumerate() {
        crash(host, 1 + i as u64, 1, &[SHARED, FATAL]);
    }
    exchange(&mut hosts, 3_100);
    for host in &mut hosts {
        assert!(is_refused(host, 3_200, &[20, FATAL]));
        assert!(!is_refused(host, 3_200, &[SHARED]));
    }
}

#[test]
fn lost_messages_are_repeated() {
    let mut hosts = vec![Quarantine::default(); 2];
    crash(&mut hosts[0], 1, 3, &[FATAL]);
    let lost = hosts[0].evidence(Millis(3_000), false);
    assert!(lost.is_some());
    // Long after the crashes, as to a host that was cut off.
    exchange(&mut hosts, 60_000);
    assert!(is_refused(&mut hosts[1], 60_100, &[FATAL]));
}

#[test]
fn echoes_are_no_news() {
    let mut hosts = vec![Quarantine::default(); 2];
    crash(&mut hosts[0], 1, 1, &[SHARED, FATAL]);
    hosts[1].record_sound(Millis(900), &[SHARED]);
    exchange(&mut hosts, 1_100);
    let evidence = hosts[1].evidence(Millis(1_150), true).unwrap();
    assert!(!hosts[0].merge(Millis(1_200), &evidence));
}

#[test]
fn trial_after_hold() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 1, 3, &[FATAL]);
    let due = 3_000 + HOLD.0;
    let elsewhere = quarantine.check(Millis(due), &[FATAL], |_, _| false);
    assert!(matches!(elsewhere, Admission::Refused(_)));
    assert_eq!(check(&mut quarantine, due, &[FATAL]), Admission::Allowed);
    assert!(is_refused(&mut quarantine, due + 10, &[FATAL]));
    crash(&mut quarantine, due / 1_000 + 1, 1, &[FATAL]);
    assert!(is_refused(&mut quarantine, due + 1_100 + HOLD.0, &[FATAL]));
    let due = due + 1_000 + SECOND_HOLD.0;
    assert!(is_refused(&mut quarantine, due - 1, &[FATAL]));
    assert_eq!(check(&mut quarantine, due, &[FATAL]), Admission::Allowed);
    quarantine.record_sound(Millis(due + 500), &[FATAL]);
    for _ in 0..3 {
        let after = check(&mut quarantine, due + 600, &[FATAL]);
        assert_eq!(after, Admission::Allowed);
    }
}

#[test]
fn kept_in_the_store() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 1, 3, &[FATAL]);
    let written = quarantine.take_unwritten();
    assert_eq!(written.len(), 1);
    assert!(quarantine.take_unwritten().is_empty());
    let mut restarted = Quarantine::default();
    restarted.restore(written[0].parts.clone(), Millis(0), written[0].hold);
    assert!(is_refused(&mut restarted, 100, &[FATAL]));
    quarantine.record_sound(Millis(9_000), &[FATAL]);
    assert_eq!(quarantine.take_lifted(), [vec![FATAL]]);
}

/// Many prompts with many parts, as a caller may send on purpose.
#[test]
fn messages_are_bounded() {
    let mut quarantine = Quarantine::default();
    for i in 0..3_000 {
        let parts: Vec<u64> = (i * 40..i * 40 + 40).collect();
        let now = Millis(i);
        quarantine.record_sound(now, &parts);
        quarantine.record_crash(now + Millis(1), i as u32, &parts);
        quarantine.restore(parts, now, HOLD);
    }
    let evidence = quarantine.evidence(Millis(3_000), true).unwrap();
    let crash_parts: usize = evidence.crashes.iter().map(|c| c.parts.len()).sum();
    let fatal_parts: usize = evidence.fatal.iter().map(|f| f.parts.len()).sum();
    assert!(crash_parts + fatal_parts + evidence.sound.len() <= 72);
    assert!(quarantine.fatal().len() <= 64);
}

/// A part that is in many sound answers is told to the others all the same.
#[test]
fn sound_part_is_told() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 1, 1, &[SHARED, FATAL]);
    quarantine.record_sound(Millis(2_000), &[SHARED]);
    quarantine.record_sound(Millis(2_010), &[SHARED]);
    let evidence = quarantine.evidence(Millis(2_050), false).unwrap();
    let told: Vec<u64> = evidence.sound.iter().map(|s| s.part).collect();
    assert_eq!(told, [SHARED]);
}

/// A host that has answered on a part before it hears of a crash tells its hub that the part is sound.
#[test]
fn earlier_answer_is_told() {
    let mut hosts = vec![Quarantine::default(); 2];
    hosts[0].record_sound(Millis(900), &[SHARED]);
    crash(&mut hosts[1], 1, 1, &[SHARED, FATAL]);
    let report = hosts[1].evidence(Millis(1_100), false).unwrap();
    hosts[0].merge(Millis(1_150), &report);
    let evidence = hosts[0].evidence(Millis(1_200), false).unwrap();
    let told: Vec<u64> = evidence.sound.iter().map(|s| s.part).collect();
    assert_eq!(told, [SHARED]);
}

/// Hold time of a new quarantine of a whole request.
const REQUEST_HOLD: u64 = 30_000;

/// A quarantine of whole requests in which servers ended under this one at these times.
fn fatal_request(times: &[u64]) -> Quarantine {
    let mut quarantine = Quarantine::new(Subject::Requests);
    for (server, at) in times.iter().enumerate() {
        quarantine.record_crash(Millis(*at), server as u32, &[FATAL]);
    }
    quarantine
}

/// As in the incident: three servers within a quarter of a second.
#[test]
fn request_ends_three_servers() {
    let mut quarantine = fatal_request(&[5_281, 5_346]);
    assert!(!is_refused(&mut quarantine, 5_347, &[FATAL]));
    let mut quarantine = fatal_request(&[5_281, 5_346, 5_500]);
    assert!(is_refused(&mut quarantine, 5_501, &[FATAL]));
    assert!(!is_refused(&mut quarantine, 5_501, &[SHARED]));
}

/// A request that many send is at most servers of a rack that fails.
#[test]
fn popular_request_in_a_rack() {
    let mut quarantine = fatal_request(&[5_000, 5_001, 5_003, 5_060]);
    assert!(!is_refused(&mut quarantine, 5_100, &[FATAL]));
    quarantine.record_sound(Millis(5_200), &[FATAL]);
    quarantine.record_crash(Millis(6_000), 9, &[FATAL]);
    assert!(!is_refused(&mut quarantine, 6_100, &[FATAL]));
}

/// A request that is refused cannot be answered, so that it is tried soon, once, and after that seldom.
#[test]
fn request_is_tried() {
    let mut quarantine = fatal_request(&[1_000, 2_000, 3_000]);
    let due = 3_000 + REQUEST_HOLD;
    assert!(is_refused(&mut quarantine, due - 1, &[FATAL]));
    assert!(!is_refused(&mut quarantine, due, &[FATAL]));
    assert!(quarantine.is_on_trial(Millis(due), &[FATAL]));
    assert!(is_refused(&mut quarantine, due + 1, &[FATAL]));
    quarantine.record_sound(Millis(due + 50), &[FATAL]);
    assert!(quarantine.is_empty());
    assert!(!is_refused(&mut quarantine, due + 51, &[FATAL]));
}

/// More servers end at once than one message can tell of; the one to blame may be any of them.
#[test]
fn crashes_told_in_turn() {
    let mut hosts = vec![Quarantine::new(Subject::Requests); 2];
    for server in 0..100 {
        hosts[0].record_crash(Millis(1_000), server, &[1_000 + u64::from(server)]);
    }
    let mut told = Vec::new();
    for i in 0..5 {
        let evidence = hosts[0].evidence(Millis(1_100 + i * 100), false).unwrap();
        told.extend(evidence.crashes.iter().map(|c| c.server));
    }
    told.sort_unstable();
    told.dedup();
    assert_eq!(told.len(), 100);
}

/// Sends that the target allows later than [`CONTACT`] after the third end.
const MAX_LATE_SENDS: usize = 3;

/// Time within which hosts hear of each other.
const CONTACT: u64 = 3_000;

/// Times of the sends of a fatal request to servers, on `hosts` that hear each other each 300 ms and get it in turn
/// each `interval`; each server ends 80 ms later. `answers_from` is when servers stop ending under it.
fn sends(hosts: usize, interval: u64, end: u64, answers_from: u64) -> Vec<u64> {
    let mut fleet = vec![Quarantine::new(Subject::Requests); hosts];
    let mut hub = Quarantine::new(Subject::Requests);
    let mut running: Vec<(u64, usize)> = Vec::new();
    let mut sends = Vec::new();
    let mut arrivals = 0;
    for now in (0..end).step_by(20) {
        for (sent, host) in running.extract_if(.., |(sent, _)| *sent + 80 <= now) {
            if sent < answers_from {
                fleet[host].record_crash(Millis(now), sent as u32, &[FATAL]);
            } else {
                fleet[host].record_sound(Millis(now), &[FATAL]);
            }
        }
        if now % interval == 0 {
            arrivals += 1;
            let host = arrivals * 7 % hosts;
            // The order of the hosts for this matter is that of their numbers.
            let may_try = |_: &[u64], hosts: usize| host < hosts;
            let admission = fleet[host].check(Millis(now), &[FATAL], may_try);
            if admission == Admission::Allowed {
                running.push((now, host));
                sends.push(now);
            }
        }
        if now % 300 == 0 {
            for host in &mut fleet {
                if let Some(evidence) = host.evidence(Millis(now), false) {
                    hub.merge(Millis(now), &evidence);
                }
            }
            if let Some(evidence) = hub.evidence(Millis(now), true) {
                for host in &mut fleet {
                    host.merge(Millis(now), &evidence);
                }
            }
        }
    }
    sends
}

#[test]
fn request_over_many_hosts() {
    for hosts in [8, 83, 295] {
        for interval in [20, 200, 2_000] {
            let sends = sends(hosts, interval, 120_000, u64::MAX);
            let third_end = sends[2] + 80;
            let late = sends.iter().filter(|at| **at > third_end + CONTACT);
            let late = late.count();
            assert!(
                late <= MAX_LATE_SENDS,
                "{hosts} {interval}: {late} {sends:?}"
            );
        }
    }
}

/// A request that comes seldom reaches the host that is to try it more seldom still.
#[test]
fn rare_request_is_tried() {
    let sends = sends(83, 7_000, 240_000, 15_000);
    let answered = sends.iter().find(|at| **at > 15_000);
    assert!(answered.is_some_and(|at| *at < 100_000), "{sends:?}");
}

/// Over days no more trials than the target allows sends.
#[test]
fn trials_over_hours() {
    for subject in [Subject::Prompts, Subject::Requests] {
        let mut quarantine = Quarantine::new(subject);
        crash(&mut quarantine, 1, 3, &[FATAL]);
        let mut trials = 0;
        for minute in 1..24 * 60 {
            let now = minute * 60_000;
            if check(&mut quarantine, now, &[FATAL]) == Admission::Allowed {
                trials += 1;
                quarantine.record_crash(Millis(now + 100), minute as u32, &[FATAL]);
            }
        }
        assert!(
            (1..=MAX_LATE_SENDS).contains(&trials),
            "{subject}: {trials}"
        );
    }
}

/// Requests are hashed only while there is evidence.
#[test]
fn evidence_ends() {
    let mut quarantine = fatal_request(&[1_000]);
    quarantine.evidence(Millis(600_000), false);
    assert!(!quarantine.is_empty());
    quarantine.evidence(Millis(601_000), false);
    assert!(quarantine.is_empty());
}
