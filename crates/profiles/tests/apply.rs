//! Scripted proposals: each `propose` prints the new version or the reason for its rejection.

use base::prelude::*;
use profiles::change::{Change, Proposal, describe, diff, propose};
use profiles::document::Document;

#[test]
fn apply() {
    datadriven::walk("tests/scenarios/apply", |file| {
        let mut document = Document::default();
        file.run(|case| match case.directive.as_str() {
            "propose" => {
                let base = case.args.get("base").expect("a base")[0].parse();
                let changes: Vec<Change> = case.input.lines().map(change).collect();
                let proposal = Proposal {
                    base: Version(base.expect("a number")),
                    operation: OperationId::from("op"),
                    changes,
                };
                match propose(&document, &proposal) {
                    Ok((next, _)) => {
                        document = next;
                        format!("version {}\n", document.version)
                    }
                    Err(refusal) => format!("{refusal}\n"),
                }
            }
            "diff" => {
                let mut target = Document::default();
                for line in case.input.lines() {
                    match change(line) {
                        Change::PutProfile(p) => target.profiles.push(p),
                        Change::PutService(s) => target.services.push(s),
                        Change::PutWorkspace(w) => target.workspaces.push(w),
                        other => panic!("{other:?}"),
                    }
                }
                target.sort();
                diff(&document, &target).iter().map(line).collect()
            }
            other => panic!("unknown directive {other}"),
        });
    });
}

/// Parses `put profile NAME [DEADLINE_MS]`, `put service NAME PROFILE`, `put workspace NAME` or
/// `retire KIND NAME`.
fn change(text: &str) -> Change {
    let words: Vec<&str> = text.split_whitespace().collect();
    let json = match words[..] {
        ["put", "profile", name] => format!(r#"{{"put_profile":{{"name":"{name}"}}}}"#),
        ["put", "profile", name, deadline] => {
            format!(r#"{{"put_profile":{{"name":"{name}","deadline_ms":{deadline}}}}}"#)
        }
        ["put", "service", name, profile] => {
            format!(r#"{{"put_service":{{"name":"{name}","kind":"plain","profile":"{profile}"}}}}"#)
        }
        ["put", "workspace", name] => {
            format!(r#"{{"put_workspace":{{"name":"{name}","keys":[]}}}}"#)
        }
        ["retire", kind, name] => format!(r#"{{"retire_{kind}":"{name}"}}"#),
        _ => panic!("{text}"),
    };
    serde_json::from_str(&json).expect("a change")
}

fn line(change: &Change) -> String {
    let verb = if profiles::change::is_retirement(change) {
        "retire"
    } else {
        "put"
    };
    format!("{verb} {}\n", describe(change))
}
