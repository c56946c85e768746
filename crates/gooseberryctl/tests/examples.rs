//! The example declarations and settings of both deployments are valid and consistent.

use std::path::{Path, PathBuf};

use generation::policy::Mode;
use gooseberryctl::declarations;
use profiles::document::Document;
use settings::agent::Agent;
use settings::router::Router;
use store::wire::{Host, HostKind};

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

fn declared(name: &str) -> Document {
    declarations::read(&example(name)).unwrap_or_else(|faults| panic!("{}", faults.join("\n")))
}

/// Reads the settings of all hosts and returns their data centres, in order of name.
fn hosts(name: &str) -> Vec<String> {
    let mut data_centres = Vec::new();
    for i in 1..=8 {
        let folder = example(name).join(format!("settings/entry-{i}"));
        let agent: Agent = settings::load(&folder.join("agent.json")).expect("agent settings");
        let router: Router = settings::load(&folder.join("router.json")).expect("router settings");
        assert_eq!(router.agent, agent.listen.peers);
        assert_eq!(router.host, agent.host);
        assert_eq!(router.data_centre, agent.data_centre);
        assert_eq!(agent.peers.len(), 7);
        assert!(agent.operator_digest.is_some());
        data_centres.push(agent.data_centre.0);
    }
    data_centres.sort();
    data_centres.dedup();
    data_centres
}

/// Counts the backend servers of a service in the host list; checks that the entry hosts are listed
/// with the addresses and data centres of their settings.
fn backend_count(name: &str, service: &str) -> usize {
    let list: Vec<Host> = settings::load::read(&example(name).join("hosts.json")).expect("a list");
    for host in &list {
        let HostKind::Entry { router, agent } = host.kind else {
            continue;
        };
        let folder = example(name).join("settings").join(&host.name);
        let own: Router = settings::load(&folder.join("router.json")).expect("router settings");
        assert_eq!((own.listen.peers, own.agent), (router, agent));
        assert_eq!(own.data_centre, host.data_centre);
    }
    let is_backend = |h: &&Host| match &h.kind {
        HostKind::Backend { service: of, .. } => of.as_str() == service,
        HostKind::Entry { .. } => false,
    };
    list.iter().filter(is_backend).count()
}

#[test]
fn sao_mai() {
    let document = declared("sao-mai");
    assert_eq!(document.workspaces.len(), 10);
    let model = document.service("draft-model").expect("the model");
    let profile = document.profile(&model.profile).expect("its profile");
    assert_eq!(profile.resume.mode, Mode::Latency);
    let bookings = document.service("booking-app").expect("the plain service");
    assert!(bookings.may_repeat.iter().all(|r| r.method == "GET"));
    assert_eq!(backend_count("sao-mai", "draft-model"), 25);
    assert_eq!(backend_count("sao-mai", "booking-app"), 3);
    assert_eq!(hosts("sao-mai"), ["vn-south-a", "vn-south-b", "vn-south-c"]);
}

#[test]
fn nyah() {
    let document = declared("nyah");
    assert_eq!(document.workspaces.len(), 10);
    let model = document.service("modellszerver").expect("the model");
    let profile = document.profile(&model.profile).expect("its profile");
    assert_eq!(profile.resume.mode, Mode::Cost);
    let cases = document.service("ugyintezo").expect("the plain service");
    assert!(cases.may_repeat.iter().all(|r| r.method == "GET"));
    assert_eq!(backend_count("nyah", "modellszerver"), 20);
    assert_eq!(backend_count("nyah", "ugyintezo"), 4);
    assert_eq!(
        hosts("nyah"),
        ["bp-kelet", "bp-nyugat", "fehervar-dc", "godollo-dc"]
    );
}
