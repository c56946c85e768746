//! Validation of a document before it is accepted.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::document::{Document, Kind, Service};

/// Number of hexadecimal digits in a key's digest.
const DIGEST_DIGITS: usize = 64;

/// A validation error in a document or in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{place}: found {found}; {remedy}")]
pub struct Fault {
    /// Path in the document, such as `services[0].profile`.
    pub place: String,
    /// The invalid value, as it is shown to the operator.
    pub found: String,
    /// Advice on what to write instead.
    pub remedy: String,
}

impl Fault {
    /// Creates a fault at the path `place`.
    pub fn new(place: String, found: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self {
            place,
            found: found.into(),
            remedy: remedy.into(),
        }
    }
}

/// All faults of a document whose lists are sorted; empty if it is valid.
pub fn check(document: &Document) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_names(document, &mut faults);
    check_profiles(document, &mut faults);
    for (i, service) in document.services.iter().enumerate() {
        check_service(document, service, &format!("services[{i}]"), &mut faults);
    }
    check_workspaces(document, &mut faults);
    faults
}

/// Checks that names are well-formed and unique within their list.
fn check_names(document: &Document, faults: &mut Vec<Fault>) {
    let profiles = document.profiles.iter().map(|p| p.name.as_str());
    check_list("profiles", profiles, faults);
    let services = document.services.iter().map(|s| s.name.as_str());
    check_list("services", services, faults);
    let workspaces = document.workspaces.iter().map(|w| w.name.as_str());
    check_list("workspaces", workspaces, faults);
}

fn check_list<'a>(list: &str, names: impl Iterator<Item = &'a str>, faults: &mut Vec<Fault>) {
    let mut last = None;
    for (i, name) in names.enumerate() {
        let place = format!("{list}[{i}].name");
        if !is_name(name) {
            let remedy = "write lower-case letters, digits and hyphens, 64 at most";
            faults.push(Fault::new(place, format!("{name:?}"), remedy));
        } else if last == Some(name) {
            let remedy = "give each entry a name of its own";
            faults.push(Fault::new(place, format!("{name:?} twice"), remedy));
        }
        last = Some(name);
    }
}

/// Whether `text` has the form of a key's digest.
pub fn is_digest(text: &str) -> bool {
    text.len() == DIGEST_DIGITS && text.chars().all(|c| c.is_ascii_hexdigit())
}

/// Whether `name` may be used in paths and storage keys.
fn is_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    !name.is_empty() && name.len() <= 64 && name.chars().all(is_allowed)
}

fn check_profiles(document: &Document, faults: &mut Vec<Fault>) {
    for (i, profile) in document.profiles.iter().enumerate() {
        let resume = &profile.resume;
        let place = |field: &str| format!("profiles[{i}].{field}");
        if resume.floor_ms > resume.ceiling_ms {
            faults.push(Fault::new(
                place("resume.floor_ms"),
                resume.floor_ms.to_string(),
                format!("write at most resume.ceiling_ms, {}", resume.ceiling_ms),
            ));
        }
        if resume.attempts == 0 {
            let remedy = "write 1 or more";
            faults.push(Fault::new(place("resume.attempts"), "0", remedy));
        }
        if profile.deadline_ms == 0 {
            let remedy = "write a time in milliseconds above 0";
            faults.push(Fault::new(place("deadline_ms"), "0", remedy));
        }
    }
}

fn check_service(document: &Document, service: &Service, place: &str, faults: &mut Vec<Fault>) {
    if document.profile(&service.profile).is_none() {
        faults.push(Fault::new(
            format!("{place}.profile"),
            format!("{:?}", service.profile.as_str()),
            "name a profile that is declared, or declare this one",
        ));
    }
    if service.kind == Kind::Model && service.models.is_empty() {
        let remedy = "name at least one model with its version";
        faults.push(Fault::new(format!("{place}.models"), "no model", remedy));
    }
    for (j, rule) in service.may_repeat.iter().enumerate() {
        if rule.method.is_empty() || rule.method.chars().any(|c| !c.is_ascii_uppercase()) {
            let remedy = "write an HTTP method in capitals, as GET";
            let at = format!("{place}.may_repeat[{j}].method");
            faults.push(Fault::new(at, format!("{:?}", rule.method), remedy));
        }
        if !rule.path.starts_with('/') {
            let remedy = "begin the path with a slash";
            let at = format!("{place}.may_repeat[{j}].path");
            faults.push(Fault::new(at, format!("{:?}", rule.path), remedy));
        }
    }
}

fn check_workspaces(document: &Document, faults: &mut Vec<Fault>) {
    for (i, workspace) in document.workspaces.iter().enumerate() {
        if workspace.share == 0 {
            let remedy = "write a share of 1 or more";
            faults.push(Fault::new(format!("workspaces[{i}].share"), "0", remedy));
        }
        for (j, key) in workspace.keys.iter().enumerate() {
            if !is_digest(key) {
                let at = format!("workspaces[{i}].keys[{j}]");
                let remedy = "write the 64 digits that `gooseberryctl digest` prints for the key";
                faults.push(Fault::new(at, format!("{key:?}"), remedy));
            }
        }
    }
}
