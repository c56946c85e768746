//! Outputs and exit codes of the command line, with an agent and a platform on loopback addresses.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use base::hash::key_digest;
use gooseberry_standin::platform as standin;
use serde_json::{Value, json};
use store::wire::{Host, HostKind};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Address of a running agent, and the declarations folder of one test.
struct Site {
    admin: SocketAddr,
    folder: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    async fn start(group: u8) -> Self {
        let run = std::process::id();
        let octet = u8::try_from(run % 250 + 1).expect("below 256");
        let address = |last: u8, port: u16| SocketAddr::from(([127, octet, group, last], port));
        // No agent runs on the second listed host.
        let hosts = (1..=2).map(|i| Host {
            name: format!("entry-{i}"),
            data_centre: "a".into(),
            kind: HostKind::Entry {
                router: address(i, 7002),
                agent: address(i, 7004),
            },
            leaving: false,
        });
        let listener = TcpListener::bind(address(9, 7020))
            .await
            .expect("a free address");
        let settings = standin::Settings {
            lag_ms: 0,
            hosts: hosts.collect(),
            ..standin::Settings::default()
        };
        tokio::spawn(standin::run(listener, settings, CancellationToken::new()));
        let settings = json!({
            "host": "entry-1",
            "data_centre": "a",
            "listen": { "peers": address(1, 7004), "admin": address(1, 7005) },
            "platform": address(9, 7020),
            "poll_ms": 50,
            "operator_digest": key_digest("key"),
        });
        let settings = serde_json::from_value(settings).expect("settings");
        tokio::spawn(gooseberry_agent::run::run(
            settings,
            CancellationToken::new(),
        ));
        let folder = std::env::temp_dir().join(format!("gooseberryctl-{run}-{group}"));
        let site = Self {
            admin: address(1, 7005),
            folder,
        };
        site.write("profiles/drafts.json", &json!({ "name": "drafts" }));
        let service = json!({ "name": "cases", "kind": "plain", "profile": "drafts" });
        site.write("services/cases.json", &service);
        while tokio::net::TcpStream::connect(site.admin).await.is_err() {
            tokio::task::yield_now().await;
        }
        site
    }

    fn write(&self, file: &str, value: &Value) {
        let path = self.folder.join(file);
        std::fs::create_dir_all(path.parent().unwrap_or(Path::new("."))).expect("a folder");
        std::fs::write(path, value.to_string()).expect("a file");
    }

    /// Runs the program; returns its exit code and its output on both streams.
    async fn run(&self, key: &str, arguments: &[&str]) -> (Option<i32>, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_gooseberryctl"));
        command
            .env("GOOSEBERRY_KEY", key)
            .args(["--agent", &self.admin.to_string()])
            .args(arguments)
            .current_dir(&self.folder);
        let output = tokio::task::spawn_blocking(move || command.output());
        let output: Output = output.await.expect("no panic").expect("the program runs");
        let text = [output.stdout, output.stderr].concat();
        (
            output.status.code(),
            String::from_utf8_lossy(&text).into_owned(),
        )
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn exit_codes() {
    let site = Site::start(1).await;
    let (code, text) = site.run("wrong", &["apply", "."]).await;
    assert_eq!(code, Some(3), "{text}");
    assert!(text.contains("the operator's key is wrong"), "{text}");

    let (code, text) = site.run("key", &["apply", "."]).await;
    assert_eq!(code, Some(0), "{text}");
    assert!(
        text.contains("put profile drafts") && text.contains("accepted: version 1"),
        "{text}"
    );

    site.write(
        "profiles/drafts.json",
        &json!({ "name": "drafts", "deadline_ms": 900 }),
    );
    let (code, text) = site.run("key", &["apply", "--base", "0", "."]).await;
    assert_eq!(code, Some(2), "{text}");
    assert!(
        text.contains("version 0") && text.contains("version 1"),
        "{text}"
    );

    let (code, text) = site.run("key", &["diff", "."]).await;
    assert_eq!(code, Some(0), "{text}");
    assert!(text.contains("deadline_ms: 10000 -> 900"), "{text}");

    let (code, text) = site.run("key", &["retire", "profile", "drafts"]).await;
    assert_eq!(code, Some(3), "{text}");
    assert!(text.contains("still named by cases"), "{text}");

    let (code, text) = site
        .run("key", &["apply", "--wait", "--limit", "0", "."])
        .await;
    assert_eq!(code, Some(5), "{text}");
    assert!(text.contains("lagging: entry-2 does not answer"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn read_commands() {
    let site = Site::start(2).await;
    site.run("key", &["apply", "."]).await;
    let parsed = |text: &str| serde_json::from_str::<Value>(text).expect("JSON");

    let (_, text) = site.run("key", &["--json", "show"]).await;
    assert_eq!(parsed(&text)["document"]["version"], 1);
    let (_, text) = site.run("key", &["--json", "history"]).await;
    assert_eq!(parsed(&text)[0]["version"], 1);
    let (_, text) = site.run("key", &["--json", "hosts"]).await;
    assert_eq!(parsed(&text)[0]["about"]["version"], 1);
    assert_eq!(parsed(&text)[1]["about"], Value::Null);
    let (_, text) = site.run("key", &["state", "entry-1"]).await;
    assert_eq!(parsed(&text)["host"], "entry-1");
    let (code, text) = site.run("key", &["state", "entry-2"]).await;
    assert_eq!(code, Some(1));
    assert!(
        text.contains("entry-2 is not known or its agent does not answer"),
        "{text}"
    );
}
