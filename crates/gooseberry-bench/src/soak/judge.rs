//! Checks of the answers that callers received against the requests that backend servers recorded.

use std::time::Duration;

use gooseberry_standin::site::caller::{self, Answer};
use gooseberry_standin::site::path::Cut;
use thiserror::Error;

use crate::soak::callers::{Kind, Record, send_request};
use crate::soak::faults::CUTS;
use crate::soak::site::{EVENTS, Site};

/// Number of requests of each kind that every gateway must serve after all faults.
const RECOVERY_REQUESTS: usize = 5;

/// Time after which a gateway that is cut from the backend servers must serve its callers.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// A violated guarantee.
#[derive(Clone, Debug, Error)]
pub(crate) enum Finding {
    /// A non-idempotent request ran more than once.
    #[error("non-idempotent request {id} ran {runs} times")]
    DuplicateRun { id: String, runs: usize },
    /// A non-idempotent request was refused with a status that means "not run", but ran.
    #[error("request {id} was refused as not run, but a backend server ran it")]
    FalseRefusal { id: String },
    /// A successful answer is not the one to this request.
    #[error("request {id} got a wrong answer: {text:?}")]
    WrongAnswer { id: String, text: String },
    /// Events are missing, repeated, or of another stream.
    #[error("stream {id} got wrong events: {text:?}")]
    WrongEvents { id: String, text: String },
    /// A valid request was rejected with a client error.
    #[error("valid request {id} was rejected with status {status}")]
    Rejected { id: String, status: u16 },
    /// A request that ran got no complete answer although only planned operations were done.
    #[error("request {id} was interrupted during planned operations: {cause}")]
    Interrupted { id: String, cause: String },
    /// A request was not served after the end of all faults; `status` is `None` without an answer.
    #[error("request {id} was not served after the end of all faults; status {status:?}")]
    NotRecovered { id: String, status: Option<u16> },
    /// A request was not served by a gateway that is cut from the backend servers; `status` is `None` without an
    /// answer.
    #[error(
        "request {id} was not served while its host reached no server ({cut:?}); status {status:?}"
    )]
    CutOff {
        id: String,
        cut: Cut,
        status: Option<u16>,
    },
}

/// Finds the guarantees that `records` violate.
///
/// If only planned operations were done, each request that ran must have a complete answer.
pub(crate) fn judge(records: &[Record], site: &Site, is_planned: bool) -> Vec<Finding> {
    let runs = site.run_ids();
    let count = |id: &str| {
        let first = runs.partition_point(|r| r.as_str() < id);
        runs[first..].iter().take_while(|r| *r == id).count()
    };
    let mut findings = Vec::new();
    for record in records {
        let id = record.id.clone();
        let runs = count(&id);
        if record.kind == Kind::Once && runs > 1 {
            findings.push(Finding::DuplicateRun {
                id: id.clone(),
                runs,
            });
        }
        let is_refused = record.answer.as_ref().is_ok_and(Answer::is_refusal);
        if record.kind == Kind::Once && is_refused && runs > 0 {
            findings.push(Finding::FalseRefusal { id: id.clone() });
        }
        let cause = match &record.answer {
            Ok(answer) if answer.is_whole => None,
            Ok(answer) => Some(format!("status {} with an incomplete body", answer.status)),
            Err(error) => Some(error.clone()),
        };
        if let Some(cause) = cause.filter(|_| is_planned && runs > 0 && !record.is_aborted) {
            findings.push(Finding::Interrupted { id, cause });
        }
        findings.extend(judge_answer(record));
    }
    findings
}

/// Checks the status and content of an answer.
fn judge_answer(record: &Record) -> Option<Finding> {
    let answer = record.answer.as_ref().ok()?;
    let id = record.id.clone();
    let status = answer.status.as_u16();
    if matches!(status, 400 | 401 | 403 | 404 | 413 | 431) {
        return Some(Finding::Rejected { id, status });
    }
    if !answer.status.is_success() {
        return None;
    }
    let text = answer.text().to_owned();
    if record.kind == Kind::Draft {
        let expected = caller::events(&id, record.last_event, EVENTS);
        let is_expected = expected.starts_with(&text) && (!answer.is_whole || text == expected);
        return (!is_expected).then_some(Finding::WrongEvents { id, text });
    }
    let is_expected = answer.is_whole && text == caller::receipt(&id);
    (!is_expected && answer.is_whole).then_some(Finding::WrongAnswer { id, text })
}

/// Sends requests of each kind to each gateway; all must be served.
pub(crate) async fn check_recovery(site: &Site, seed: u64) -> Vec<Finding> {
    let mut findings = Vec::new();
    for i in 0..site.gateways.len() {
        for (id, status) in unserved(site, i, &format!("last-{seed:x}")).await {
            findings.push(Finding::NotRecovered { id, status });
        }
    }
    findings
}

/// Cuts one gateway from all backend servers; later than [`CONTACT_TIME`] it must serve its callers through the
/// others.
pub(crate) async fn check_cut_gateway(site: &Site, seed: u64) -> Vec<Finding> {
    let i = seed as usize % site.gateways.len();
    let cut = CUTS[seed as usize % (CUTS.len() - 1)];
    site.cut_gateway(i, cut, false);
    tokio::time::sleep(CONTACT_TIME).await;
    let unserved = unserved(site, i, &format!("cut-{seed:x}")).await;
    site.cut_gateway(i, Cut::Open, false);
    let findings = unserved.into_iter();
    findings
        .map(|(id, status)| Finding::CutOff { id, cut, status })
        .collect()
}

/// Sends requests of each kind to a gateway; returns the ids of those that were not served, each with the status
/// of its answer.
async fn unserved(site: &Site, i: usize, tag: &str) -> Vec<(String, Option<u16>)> {
    let mut unserved = Vec::new();
    for kind in [Kind::Safe, Kind::Once, Kind::Draft] {
        for n in 0..RECOVERY_REQUESTS {
            let id = format!("{tag}-{i}-{kind}-{n}");
            let addr = site.gateways[i].caller_proxy.addr;
            let answer = send_request(&mut None, addr, kind, &id, 0).await;
            let is_served = answer
                .as_ref()
                .is_ok_and(|a| a.status.is_success() && a.is_whole);
            if !is_served {
                unserved.push((id, answer.ok().map(|a| a.status.as_u16())));
            }
        }
    }
    unserved
}

/// Counts the requests by outcome, for the output.
pub(crate) fn summary(records: &[Record]) -> String {
    let answers: Vec<&Answer> = records
        .iter()
        .filter_map(|r| r.answer.as_ref().ok())
        .collect();
    let is_served = |a: &&&Answer| a.status.is_success() && a.is_whole;
    let served = answers.iter().filter(is_served).count();
    let refused = answers.iter().filter(|a| a.is_refusal()).count();
    let unanswered = records.len() - answers.len();
    format!(
        "{} requests, {served} served, {refused} refused, {unanswered} without an answer",
        records.len()
    )
}
