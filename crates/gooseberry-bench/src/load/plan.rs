//! The two deployments and their workspaces.

use base::hash::key_digest;
use base::prelude::*;
use gooseberry_standin::{engine, platform};
use profiles::document::{Document, Kind, Profile, Service, Workspace};
use serde_json::json;

use crate::harness::fleet::{PlainPlan, Plan};

/// The entry hosts of a deployment.
const HOSTS: usize = 8;

/// The streams that one engine generates at once.
const SLOTS: usize = 8;

/// The time between tokens, in milliseconds.
const GAP_MS: u64 = 40;

/// The time to a first token without prefill, in milliseconds.
const FIRST_MS: u64 = 20;

/// The time that one uncached token of the prompt takes, in microseconds.
const PREFILL_US: u64 = 200;

/// The blocks in an engine's prefix cache: about seven script breakdowns.
const CACHE_BLOCKS: usize = 512;

/// The most tokens of one draft.
pub(super) const MAX_TOKENS: u64 = 50;

/// The mean length of a draft as a part of [`TOKENS`]: one in four ends at three quarters.
const MEAN_LENGTH: f64 = 0.9375;

/// The longest to the first token, in milliseconds.
pub(super) const DEADLINE_MS: u64 = 3_000;

/// A workspace and its part of the offered load.
#[derive(Clone, Debug)]
pub(super) struct WorkspaceLoad {
    /// The name, which is also its bearer key.
    pub(super) name: String,
    /// Its weight.
    pub(super) share: u32,
    /// Its part of the requests, in thousandths.
    pub(super) per_mille: u64,
}

/// One deployment.
#[derive(Clone, Debug)]
pub(super) struct Deployment {
    /// The name.
    pub(super) name: &'static str,
    /// The service.
    pub(super) service: &'static str,
    /// The data centre of each entry host.
    pub(super) hosts: Vec<DataCentre>,
    /// The data centre of each engine.
    pub(super) engines: Vec<DataCentre>,
    /// The workspaces.
    pub(super) workspaces: Vec<WorkspaceLoad>,
}

/// Both deployments at their sizes of today.
pub(super) fn deployments() -> [Deployment; 2] {
    [
        deployment(
            "sao-mai",
            "draft-model",
            &["vn-south-a", "vn-south-b", "vn-south-c"],
            25,
        ),
        deployment(
            "nyah",
            "modellszerver",
            &["bp-kelet", "bp-nyugat", "godollo-dc", "fehervar-dc"],
            20,
        ),
    ]
}

fn deployment(
    name: &'static str,
    service: &'static str,
    data_centres: &[&str],
    engines: usize,
) -> Deployment {
    let assign = |count: usize| -> Vec<DataCentre> {
        (0..count)
            .map(|i| DataCentre::from(data_centres[i % data_centres.len()]))
            .collect()
    };
    Deployment {
        name,
        service,
        hosts: assign(HOSTS),
        engines: assign(engines),
        workspaces: workspaces(),
    }
}

/// Three large workspaces, one of them greedy, among seven small ones.
fn workspaces() -> Vec<WorkspaceLoad> {
    let large = [380, 230, 180];
    let small = [30; 7];
    let one = |(i, per_mille): (usize, &u64)| WorkspaceLoad {
        name: format!("workspace-{i}"),
        share: if *per_mille > 100 { 2 } else { 1 },
        per_mille: *per_mille,
    };
    large.iter().chain(&small).enumerate().map(one).collect()
}

impl Deployment {
    /// The requests a second that the engines carry when all prefixes are cached.
    pub(super) fn capacity(&self) -> f64 {
        let hold_ms = FIRST_MS as f64 + MAX_TOKENS as f64 * MEAN_LENGTH * GAP_MS as f64;
        (self.engines.len() * SLOTS) as f64 * 1_000.0 / hold_ms
    }

    /// The processes to start.
    pub(super) fn plan(&self, document: Document) -> Plan {
        Plan {
            hosts: self.hosts.clone(),
            engines: self.engines.clone(),
            service: ServiceName::from(self.service),
            plain: PlainPlan::default(),
            engine: engine::Settings {
                first_ms: FIRST_MS,
                prefill_us: PREFILL_US,
                gap_ms: GAP_MS,
                slots: SLOTS,
                cache_blocks: CACHE_BLOCKS,
                ..engine::Settings::default()
            },
            platform: platform::Settings::default(),
            document,
        }
    }

    /// The configuration under one rule of choice.
    pub(super) fn document(&self, rule: balance::Rule) -> Document {
        let profile: Profile = serde_json::from_value(json!({
            "name": "drafts",
            "deadline_ms": DEADLINE_MS,
            "choice": rule,
        }))
        .unwrap_or_else(|_| unreachable!("the profile's other fields have defaults"));
        let workspace = |load: &WorkspaceLoad| Workspace {
            name: WorkspaceName::from(load.name.as_str()),
            keys: vec![key_digest(&load.name)],
            share: load.share,
            running: 0,
        };
        Document {
            version: Version(1),
            profiles: vec![profile],
            services: vec![Service {
                name: ServiceName::from(self.service),
                kind: Kind::Model,
                profile: ProfileName::from("drafts"),
                models: engine::Settings::default().models,
                checks_fence: true,
                may_repeat: Vec::new(),
                retain_ms: 60_000,
            }],
            workspaces: self.workspaces.iter().map(workspace).collect(),
        }
    }
}
