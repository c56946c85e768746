//! The simulated deployments and their workspaces.

use base::hash::key_digest;
use base::prelude::*;
use gooseberry_standin::{engine, platform};
use profiles::document::{Document, Kind, Profile, Service, Workspace};
use serde_json::json;

use crate::harness::fleet::{PlainPlan, Plan};

/// Number of entry hosts per deployment.
const HOSTS: usize = 8;

/// Concurrent streams per engine.
const SLOTS: usize = 8;

/// Time between tokens, in milliseconds.
const GAP_MS: u64 = 40;

/// Time to the first token without prefill, in milliseconds.
const FIRST_MS: u64 = 20;

/// Prefill time per uncached prompt token, in microseconds.
const PREFILL_US: u64 = 200;

/// Capacity of an engine's prefix cache in blocks: about seven script breakdowns.
const CACHE_BLOCKS: usize = 512;

/// Maximum number of tokens of an answer.
pub(super) const MAX_TOKENS: u64 = 50;

/// Mean length of an answer as a fraction of [`MAX_TOKENS`]: one in four ends at three quarters.
const MEAN_LENGTH: f64 = 0.9375;

/// Deadline of the first token, in milliseconds.
pub(super) const DEADLINE_MS: u64 = 3_000;

/// A workspace and its fraction of the offered load.
#[derive(Clone, Debug)]
pub(super) struct WorkspaceLoad {
    /// Name of the workspace, also used as its bearer key.
    pub(super) name: String,
    /// Fair-share weight in the configuration.
    pub(super) share: u32,
    /// Fraction of the requests, in thousandths.
    pub(super) per_mille: u64,
}

/// The size and layout of one deployment.
#[derive(Clone, Debug)]
pub(super) struct Deployment {
    /// Name in the report.
    pub(super) name: &'static str,
    /// Name of the model service.
    pub(super) service: &'static str,
    /// Data centre of each entry host.
    pub(super) hosts: Vec<DataCentre>,
    /// Data centre of each engine.
    pub(super) engines: Vec<DataCentre>,
    /// All workspaces; their thousandths add up to 1,000.
    pub(super) workspaces: Vec<WorkspaceLoad>,
}

/// Both deployments, at their current sizes.
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

/// Three large and seven small workspaces; the largest requests far more than its share.
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
    /// Requests per second that the engines can serve when all prefixes are cached.
    pub(super) fn capacity(&self) -> f64 {
        let hold_ms = FIRST_MS as f64 + MAX_TOKENS as f64 * MEAN_LENGTH * GAP_MS as f64;
        (self.engines.len() * SLOTS) as f64 * 1_000.0 / hold_ms
    }

    /// The processes to start for this deployment.
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

    /// The configuration with `rule` as the load-balancing rule.
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
