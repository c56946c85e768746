//! The two deployments that the experiment models, near their present sizes.

use std::time::Duration;

use base::hash::key_digest;
use base::prelude::*;
use generation::Policy;
use generation::policy::{Mode, ModelGone};
use gooseberry_standin::{engine, platform};
use journal::replicator::Policy as Witness;
use profiles::document::{Document, Kind, Profile, Service, Workspace};
use serde::Serialize;
use serde_json::json;
use strum::{Display, EnumString};

use crate::harness::caller::Caller;
use crate::harness::fleet::{Fleet, PlainPlan, Plan};

/// Number of entry hosts of each deployment.
const HOSTS: usize = 8;

/// `max_tokens` of a request.
const MAX_TOKENS: u64 = 160;

/// Factor on [`MAX_TOKENS`] for callers that abandon their request.
const LONG_FACTOR: u64 = 10;

/// Number of different documents that prompts begin with.
const DOCUMENTS: usize = 24;

/// Size of a document, in bytes.
const DOCUMENT_BYTES: usize = 4_096;

/// Prompt blocks that an engine's cache holds: room for three documents and a few more blocks.
const CACHE_BLOCKS: usize = 220;

/// Time limit of a caller for its complete answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(15);

/// API key of the workspace.
const BEARER: &str = "bench-key";

/// The fixed timeout of the `timeout` baseline, its only sign of a loss, in milliseconds.
const FIXED_TIMEOUT_MS: u64 = 5_000;

/// A deployment, with its topology and profile.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Deployment {
    /// Sao Mai Call Sheet Router Fleet, whose profile favours a short time to resume.
    SaoMai,
    /// Freedom of Information Router at NYAH, whose profile favours little extra work.
    Nyah,
}

/// How streams recover from a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, Serialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub(crate) enum Variant {
    /// As the deployment's profile sets it.
    Resume,
    /// Suspicion as in the profile, then a restart from the first token.
    Scratch,
    /// A fixed timeout, then a restart from the first token.
    Timeout,
}

/// The processes, configuration and callers of one run.
#[derive(Clone, Debug)]
pub(crate) struct Site {
    pub(crate) deployment: Deployment,
    pub(crate) variant: Variant,
    /// Number of callers in each wave.
    pub(crate) streams: usize,
}

impl Site {
    pub(crate) fn new(deployment: Deployment, variant: Variant, streams: usize) -> Self {
        Self {
            deployment,
            variant,
            streams,
        }
    }

    /// The processes to start and their configuration.
    pub(crate) fn plan(&self) -> Plan {
        let centres = self.centres();
        let spread = |count: usize| {
            let one = |i: usize| DataCentre::from(centres[i % centres.len()]);
            (0..count).map(one).collect()
        };
        Plan {
            hosts: spread(HOSTS),
            engines: spread(self.engines()),
            service: ServiceName::from(self.service()),
            plain: PlainPlan::default(),
            engine: engine::Settings {
                jitter_ms: 5,
                cache_blocks: CACHE_BLOCKS,
                ..engine::Settings::default()
            },
            platform: platform::Settings::default(),
            document: self.document(),
        }
    }

    fn centres(&self) -> &'static [&'static str] {
        match self.deployment {
            Deployment::SaoMai => &["vn-south-a", "vn-south-b", "vn-south-c"],
            Deployment::Nyah => &["bp-kelet", "bp-nyugat", "fehervar-dc", "godollo-dc"],
        }
    }

    fn engines(&self) -> usize {
        match self.deployment {
            Deployment::SaoMai => 25,
            Deployment::Nyah => 20,
        }
    }

    pub(crate) fn service(&self) -> &'static str {
        match self.deployment {
            Deployment::SaoMai => "draft-model",
            Deployment::Nyah => "modellszerver",
        }
    }

    pub(crate) fn model(&self) -> Model {
        engine::Settings::default().models.remove(0)
    }

    /// The deployment's policy, changed for a baseline.
    fn policy(&self) -> Policy {
        let base = match self.deployment {
            Deployment::SaoMai => sao_mai(),
            Deployment::Nyah => nyah(),
        };
        match self.variant {
            Variant::Resume => base,
            Variant::Scratch => Policy {
                mode: Mode::Scratch,
                ..base
            },
            Variant::Timeout => Policy {
                mode: Mode::Scratch,
                floor_ms: FIXED_TIMEOUT_MS,
                ceiling_ms: FIXED_TIMEOUT_MS,
                first_ms: FIXED_TIMEOUT_MS,
                ..base
            },
        }
    }

    /// How long a generation goes on after its caller has disconnected.
    pub(crate) fn orphan_limit(&self) -> Duration {
        Duration::from_millis(self.policy().orphan_ms)
    }

    fn document(&self) -> Document {
        let profile = Profile {
            resume: self.policy(),
            witness: Witness {
                ack_ms: 200,
                ..Witness::default()
            },
            ..serde_json::from_value(json!({ "name": "drafts" }))
                .unwrap_or_else(|_| unreachable!("the profile's other fields have defaults"))
        };
        Document {
            version: Version(1),
            profiles: vec![profile],
            services: vec![Service {
                name: ServiceName::from(self.service()),
                kind: Kind::Model,
                profile: ProfileName::from("drafts"),
                models: engine::Settings::default().models,
                checks_fence: true,
                may_repeat: Vec::new(),
                retain_ms: 60_000,
            }],
            workspaces: vec![Workspace {
                name: WorkspaceName::from("bench"),
                keys: vec![key_digest(BEARER)],
                share: 1,
                running: 0,
            }],
        }
    }

    /// Caller `i` of a wave; `run` is a prefix that keeps its key apart from those of other runs.
    pub(crate) fn caller(
        &self,
        fleet: &Fleet,
        run: &str,
        wave: usize,
        i: usize,
        is_long: bool,
    ) -> Caller {
        Caller {
            key: format!("{run}-{wave}-{i}"),
            bearer: BEARER.to_owned(),
            model: self.service().to_owned(),
            prompt: prompt(wave, i),
            max_tokens: if is_long {
                MAX_TOKENS * LONG_FACTOR
            } else {
                MAX_TOKENS
            },
            hosts: fleet.hosts.iter().map(|h| h.callers).collect(),
            first: i,
            limit: ANSWER_LIMIT,
        }
    }
}

/// A prompt of a long document, which several callers share, and a question that is unique to one.
pub(crate) fn prompt(wave: usize, i: usize) -> String {
    let document = (wave * 5 + i / 5) % DOCUMENTS;
    let line = format!("Document {document}: the scene is set at dawn, the crew is on the road. ");
    let mut text: String = line.chars().cycle().take(DOCUMENT_BYTES).collect();
    text.push_str(&format!("Question {wave}-{i}: draft the answer."));
    text
}

/// Sao Mai: short timeouts and hedging, so that output resumes as soon as possible.
fn sao_mai() -> Policy {
    Policy {
        mode: Mode::Latency,
        open_ms: 400,
        first_ms: 1_500,
        floor_ms: 150,
        ceiling_ms: 800,
        hedge_ms: 50,
        confirm_ms: 1_500,
        keepalive_ms: 500,
        orphan_ms: 3_000,
        model_gone: ModelGone::Restart,
        ..Policy::default()
    }
}

/// NYAH: work is repeated only once an engine has certainly failed.
fn nyah() -> Policy {
    Policy {
        mode: Mode::Cost,
        open_ms: 1_000,
        first_ms: 4_000,
        floor_ms: 400,
        ceiling_ms: 2_000,
        confirm_ms: 3_500,
        keepalive_ms: 500,
        orphan_ms: 3_000,
        model_gone: ModelGone::Fail,
        ..Policy::default()
    }
}
