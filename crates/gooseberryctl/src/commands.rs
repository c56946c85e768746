//! Implementation of the commands.

use std::io::Read;
use std::path::Path;
use std::time::Duration;

use base::hash::key_digest;
use base::prelude::*;
use hyper::Method;
use profiles::change::{Change, Proposal, Refusal, describe, is_retirement};
use profiles::commit::Outcome;
use profiles::document::Document;
use serde::Serialize;
use serde_json::{Value, json};

use crate::client::Client;
use crate::options::{Command, Kind, Options};
use crate::outcome::{CommandError, Exit};
use crate::{declarations, wait};

/// Runs a command and prints its output.
///
/// # Errors
///
/// Any [`CommandError`].
pub async fn run(options: Options) -> Result<Exit, CommandError> {
    let json = options.json;
    let client = || Client::new(&options);
    match &options.command {
        Command::Check { directory } => check(json, directory),
        Command::Digest => digest(json),
        Command::Diff { directory } => diff(json, &client()?, directory).await,
        Command::Apply {
            base,
            wait,
            limit,
            directory,
        } => {
            let apply_options = ApplyOptions {
                json,
                base: base.map(Version),
                wait: wait.then(|| Duration::from_secs(*limit)),
            };
            apply(&apply_options, &client()?, directory).await
        }
        Command::Show => show(json, &client()?).await,
        Command::History => history(json, &client()?).await,
        Command::Retire { kind, name } => retire(json, &client()?, *kind, name).await,
        Command::Hosts => hosts(json, &client()?).await,
        Command::State { host } => {
            let state = client()?.call_host(host, Method::GET, "/v1/state").await?;
            print(&state);
            Ok(Exit::Done)
        }
        Command::Drain { host } => {
            let answer = client()?.call_host(host, Method::POST, "/v1/drain").await?;
            print(&answer);
            Ok(Exit::Done)
        }
    }
}

/// Options of a command that sends a proposal.
struct ApplyOptions {
    json: bool,
    base: Option<Version>,
    /// Maximum wait until the version is in force on all hosts; `None` to not wait.
    wait: Option<Duration>,
}

fn check(json: bool, directory: &Path) -> Result<Exit, CommandError> {
    let document = declarations::read(directory).map_err(CommandError::Declarations)?;
    let (profiles, services) = (document.profiles.len(), document.services.len());
    let workspaces = document.workspaces.len();
    if json {
        print(&json!({ "profiles": profiles, "services": services, "workspaces": workspaces }));
    } else {
        println!("correct: {profiles} profiles, {services} services, {workspaces} workspaces");
    }
    Ok(Exit::Done)
}

fn digest(json: bool) -> Result<Exit, CommandError> {
    let mut key = String::new();
    std::io::stdin()
        .read_to_string(&mut key)
        .map_err(CommandError::Input)?;
    let digest = key_digest(key.trim());
    if json {
        print(&json!({ "digest": digest }));
    } else {
        println!("{digest}");
    }
    Ok(Exit::Done)
}

async fn diff(json: bool, client: &Client, directory: &Path) -> Result<Exit, CommandError> {
    let desired = declarations::read(directory).map_err(CommandError::Declarations)?;
    let difference = client.diff(&desired).await?;
    if json {
        print(&difference);
        return Ok(Exit::Done);
    }
    let accepted = client.show().await?.document;
    println!("against version {}:", difference.version);
    print_changes(&accepted, &difference.changes);
    Ok(Exit::Done)
}

async fn apply(
    apply_options: &ApplyOptions,
    client: &Client,
    directory: &Path,
) -> Result<Exit, CommandError> {
    let desired = declarations::read(directory).map_err(CommandError::Declarations)?;
    let difference = client.diff(&desired).await?;
    let base = apply_options.base.unwrap_or(difference.version);
    if !apply_options.json {
        let accepted = client.show().await?.document;
        print_changes(&accepted, &difference.changes);
    }
    if difference.changes.is_empty() && base == difference.version {
        let accepted = Outcome::Accepted { version: base };
        return finish(apply_options, client, &accepted).await;
    }
    let proposal = Proposal {
        base,
        operation: new_operation(),
        changes: difference.changes,
    };
    let outcome = client.apply(&proposal).await?;
    finish(apply_options, client, &outcome).await
}

async fn retire(json: bool, client: &Client, kind: Kind, name: &str) -> Result<Exit, CommandError> {
    let change = match kind {
        Kind::Profile => Change::RetireProfile(name.into()),
        Kind::Service => Change::RetireService(name.into()),
        Kind::Workspace => Change::RetireWorkspace(name.into()),
    };
    let proposal = Proposal {
        base: client.show().await?.document.version,
        operation: new_operation(),
        changes: vec![change],
    };
    let outcome = client.apply(&proposal).await?;
    let apply_options = ApplyOptions {
        json,
        base: None,
        wait: None,
    };
    finish(&apply_options, client, &outcome).await
}

/// Prints the outcome of a proposal; waits until an accepted one is in force if requested.
async fn finish(
    apply_options: &ApplyOptions,
    client: &Client,
    outcome: &Outcome,
) -> Result<Exit, CommandError> {
    let Outcome::Accepted { version } = outcome else {
        return Ok(not_accepted(apply_options.json, outcome));
    };
    let Some(limit) = apply_options.wait else {
        print_result(
            apply_options.json,
            outcome,
            &format!("accepted: version {version}"),
        );
        return Ok(Exit::Done);
    };
    let progress = wait::wait_in_force(client, *version, limit, |p| {
        if !apply_options.json {
            let all = p.done + p.lagging.len();
            println!("version {version} in force on {} of {all} hosts", p.done);
        }
    })
    .await?;
    let lagging = wait::describe(&progress.lagging);
    let value = json!({ "outcome": "accepted", "version": version, "lagging": progress.lagging });
    if progress.lagging.is_empty() {
        print_result(
            apply_options.json,
            &value,
            &format!("accepted: version {version}, in force everywhere"),
        );
        return Ok(Exit::Done);
    }
    print_result(
        apply_options.json,
        &value,
        &format!("accepted: version {version}, lagging: {lagging}"),
    );
    Ok(Exit::Lagging)
}

/// Prints why a proposal was not accepted, or that its outcome is unknown.
fn not_accepted(json: bool, outcome: &Outcome) -> Exit {
    let (exit, text) = match outcome {
        Outcome::Accepted { .. } => (Exit::Done, String::new()),
        Outcome::Refused { refusal } => {
            let is_conflict = matches!(refusal, Refusal::Conflict { .. });
            let exit = if is_conflict {
                Exit::Conflict
            } else {
                Exit::Refused
            };
            (exit, format!("not accepted: {refusal}"))
        }
        Outcome::Unavailable => {
            let text = "not accepted: the platform is away; apply again later";
            (Exit::Failed, text.to_owned())
        }
        Outcome::Unknown { operation } => {
            let text = format!(
                "unknown: the platform did not say whether operation {operation} was accepted; \
                 look for it with `gooseberryctl history` before applying again"
            );
            (Exit::Unknown, text)
        }
    };
    print_result(json, outcome, &text);
    exit
}

async fn show(json: bool, client: &Client) -> Result<Exit, CommandError> {
    let shown = client.show().await?;
    if !json && !shown.is_fresh {
        eprintln!("the platform is away; this is what the agent holds");
    }
    if json {
        print(&shown);
    } else {
        print(&shown.document);
    }
    Ok(Exit::Done)
}

async fn history(json: bool, client: &Client) -> Result<Exit, CommandError> {
    let revisions = client.history().await?;
    if json {
        print(&revisions);
        return Ok(Exit::Done);
    }
    for revision in revisions {
        let entries: Vec<String> = revision.changes.iter().map(change_line).collect();
        let (version, operation) = (revision.version, revision.operation);
        println!("{version} {operation}: {}", entries.join(", "));
    }
    Ok(Exit::Done)
}

async fn hosts(json: bool, client: &Client) -> Result<Exit, CommandError> {
    let hosts = client.hosts().await?;
    if json {
        print(&hosts);
        return Ok(Exit::Done);
    }
    for host in hosts {
        let state = match (&host.about, host.leaving) {
            (None, _) => "does not answer".to_owned(),
            (Some(about), false) => format!("version {}", about.version),
            (Some(about), true) => format!("version {}, leaving", about.version),
        };
        println!("{} {} {state}", host.host, host.data_centre);
    }
    Ok(Exit::Done)
}

fn print_changes(accepted: &Document, changes: &[Change]) {
    if changes.is_empty() {
        println!("nothing would change");
    }
    for change in changes {
        println!("{}", change_line(change));
        for (place, old, new) in changed_fields(accepted, change) {
            println!("    {place}: {old} -> {new}");
        }
    }
}

/// Formats a change as one line.
fn change_line(change: &Change) -> String {
    let verb = if is_retirement(change) {
        "retire"
    } else {
        "put"
    };
    format!("{verb} {}", describe(change))
}

/// The fields of an entry that a change replaces, with their old and new values.
fn changed_fields(accepted: &Document, change: &Change) -> Vec<(String, Value, Value)> {
    let (old, new) = match change {
        Change::PutProfile(p) => (json!(accepted.profile(&p.name)), json!(p)),
        Change::PutService(s) => (json!(accepted.service(s.name.as_str())), json!(s)),
        Change::PutWorkspace(w) => (json!(accepted.workspace_named(&w.name)), json!(w)),
        _ => return Vec::new(),
    };
    let mut found = Vec::new();
    // For a new entry the line with its name is enough.
    if !old.is_null() {
        collect_differences("", &old, &new, &mut found);
    }
    found
}

/// Collects the paths at which two values differ, with their old and new values.
///
/// Keys that only `old` has are not reported.
fn collect_differences(
    place: &str,
    old: &Value,
    new: &Value,
    found: &mut Vec<(String, Value, Value)>,
) {
    let (Value::Object(before), Value::Object(after)) = (old, new) else {
        if old != new {
            found.push((place.to_owned(), old.clone(), new.clone()));
        }
        return;
    };
    for (name, value) in after {
        let inner = if place.is_empty() {
            name.clone()
        } else {
            format!("{place}.{name}")
        };
        let was = before.get(name).unwrap_or(&Value::Null);
        collect_differences(&inner, was, value, found);
    }
}

/// A random operation id, unique to one proposal.
fn new_operation() -> OperationId {
    OperationId(format!("{:016x}", rand::random::<u64>()))
}

fn print_result<T: Serialize>(json: bool, value: &T, text: &str) {
    if json {
        print(value);
    } else {
        println!("{text}");
    }
}

fn print<T: Serialize>(value: &T) {
    println!(
        "{}",
        serde_json::to_string_pretty(value).unwrap_or_default()
    );
}
