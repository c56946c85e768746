//! Changes to the document, proposed by operators and accepted as numbered revisions.

use base::prelude::*;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::check::{Fault, check};
use crate::document::{Document, Profile, Service, Workspace};

/// A change to one entry of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Adds a profile or replaces it.
    PutProfile(Profile),
    /// Removes a profile.
    RetireProfile(ProfileName),
    /// Adds a service or replaces it.
    PutService(Service),
    /// Removes a service.
    RetireService(ServiceName),
    /// Adds a workspace or replaces it.
    PutWorkspace(Workspace),
    /// Removes a workspace.
    RetireWorkspace(WorkspaceName),
}

/// Changes proposed by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// The version on which the changes are based.
    pub base: Version,
    /// Unique id by which a retried proposal is recognized.
    pub operation: OperationId,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// An accepted proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    /// The version after the changes.
    pub version: Version,
    /// The accepted proposal's id.
    pub operation: OperationId,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// The reason why a proposal is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Refusal {
    /// Another proposal was accepted in the meantime.
    #[error(
        "the changes are based on version {base}, but version {head} is accepted; \
         look at the difference and apply again with base {head}"
    )]
    Conflict {
        /// The version on which the changes are based.
        base: Version,
        /// The accepted version.
        head: Version,
    },
    /// A service still refers to a profile that is to be removed.
    #[error(
        "profile {profile} is still named by {}; put these services under another profile first",
        join_names(services)
    )]
    InUse {
        /// The profile to be removed.
        profile: ProfileName,
        /// The services that refer to it.
        services: Vec<ServiceName>,
    },
    /// The entry to be removed does not exist.
    #[error("{entry} is not declared; look at the names that `gooseberryctl show` prints")]
    Absent {
        /// The kind and name of the entry.
        entry: String,
    },
    /// The proposal would change nothing.
    #[error("nothing would change; version {head} already says this")]
    Empty {
        /// The accepted version.
        head: Version,
    },
    /// The resulting document would be invalid.
    #[error("{}", summarize(faults))]
    Invalid {
        /// All faults of the resulting document.
        faults: Vec<Fault>,
    },
}

/// Applies a proposal to `document`; returns the next document and its revision.
///
/// # Errors
///
/// Any [`Refusal`].
pub fn propose(document: &Document, proposal: &Proposal) -> Result<(Document, Revision), Refusal> {
    let (base, head) = (proposal.base, document.version);
    if base != head {
        return Err(Refusal::Conflict { base, head });
    }
    let mut next = document.clone();
    for change in &proposal.changes {
        if !apply(&mut next, change) {
            let entry = describe(change);
            return Err(Refusal::Absent { entry });
        }
    }
    if next == *document {
        return Err(Refusal::Empty { head });
    }
    check_removed_profiles(&next, &proposal.changes)?;
    let faults = check(&next);
    if !faults.is_empty() {
        return Err(Refusal::Invalid { faults });
    }
    next.version = head.next();
    let revision = Revision {
        version: next.version,
        operation: proposal.operation.clone(),
        changes: proposal.changes.clone(),
    };
    Ok((next, revision))
}

/// The changes that turn `from` into `to`; entries missing in `to` are removed.
pub fn diff(from: &Document, to: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    for new in &to.profiles {
        if from.profile(&new.name) != Some(new) {
            changes.push(Change::PutProfile(new.clone()));
        }
    }
    for new in &to.services {
        if from.service(new.name.as_str()) != Some(new) {
            changes.push(Change::PutService(new.clone()));
        }
    }
    for new in &to.workspaces {
        if from.workspace_named(&new.name) != Some(new) {
            changes.push(Change::PutWorkspace(new.clone()));
        }
    }
    let is_removed = |old: &&Service| to.service(old.name.as_str()).is_none();
    let services = from.services.iter().filter(is_removed);
    changes.extend(services.map(|s| Change::RetireService(s.name.clone())));
    let is_removed = |old: &&Profile| to.profile(&old.name).is_none();
    let profiles = from.profiles.iter().filter(is_removed);
    changes.extend(profiles.map(|p| Change::RetireProfile(p.name.clone())));
    let is_removed = |old: &&Workspace| to.workspace_named(&old.name).is_none();
    let workspaces = from.workspaces.iter().filter(is_removed);
    changes.extend(workspaces.map(|w| Change::RetireWorkspace(w.name.clone())));
    changes
}

/// Applies a change; returns `false` if the entry to be removed does not exist.
pub(crate) fn apply(document: &mut Document, change: &Change) -> bool {
    match change {
        Change::PutProfile(new) => put(&mut document.profiles, new, |p| &p.name),
        Change::PutService(new) => put(&mut document.services, new, |s| &s.name),
        Change::PutWorkspace(new) => put(&mut document.workspaces, new, |w| &w.name),
        Change::RetireProfile(name) => remove(&mut document.profiles, name, |p| &p.name),
        Change::RetireService(name) => remove(&mut document.services, name, |s| &s.name),
        Change::RetireWorkspace(name) => remove(&mut document.workspaces, name, |w| &w.name),
    }
}

/// The kind and name of the changed entry, such as `profile drafts`.
pub fn describe(change: &Change) -> String {
    match change {
        Change::PutProfile(p) => format!("profile {}", p.name),
        Change::RetireProfile(name) => format!("profile {name}"),
        Change::PutService(s) => format!("service {}", s.name),
        Change::RetireService(name) => format!("service {name}"),
        Change::PutWorkspace(w) => format!("workspace {}", w.name),
        Change::RetireWorkspace(name) => format!("workspace {name}"),
    }
}

/// Whether a change removes its entry.
pub fn is_retirement(change: &Change) -> bool {
    matches!(
        change,
        Change::RetireProfile(_) | Change::RetireService(_) | Change::RetireWorkspace(_)
    )
}

/// Rejects changes that remove a profile to which a service still refers.
fn check_removed_profiles(next: &Document, changes: &[Change]) -> Result<(), Refusal> {
    for change in changes {
        let Change::RetireProfile(profile) = change else {
            continue;
        };
        // A later change may have added the profile again.
        if next.profile(profile).is_some() {
            continue;
        }
        let users = next.services.iter().filter(|s| s.profile == *profile);
        let services: Vec<ServiceName> = users.map(|s| s.name.clone()).collect();
        if !services.is_empty() {
            let profile = profile.clone();
            return Err(Refusal::InUse { profile, services });
        }
    }
    Ok(())
}

fn put<T: Clone, K: Ord>(entries: &mut Vec<T>, new: &T, name: impl Fn(&T) -> &K) -> bool {
    match entries.binary_search_by(|e| name(e).cmp(name(new))) {
        Ok(i) => entries[i] = new.clone(),
        Err(i) => entries.insert(i, new.clone()),
    }
    true
}

fn remove<T, K: Ord>(entries: &mut Vec<T>, old: &K, name: impl Fn(&T) -> &K) -> bool {
    let found = entries.binary_search_by(|e| name(e).cmp(old));
    if let Ok(i) = found {
        entries.remove(i);
    }
    found.is_ok()
}

/// The names, separated by commas.
fn join_names(services: &[ServiceName]) -> String {
    let names: Vec<&str> = services.iter().map(ServiceName::as_str).collect();
    names.join(", ")
}

/// The first fault and the number of the others.
fn summarize(faults: &[Fault]) -> String {
    match faults {
        [] => String::new(),
        [one] => one.to_string(),
        [one, more @ ..] => format!("{one} (and {} more)", more.len()),
    }
}
