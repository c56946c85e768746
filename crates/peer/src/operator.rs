//! JSON shapes of the operators' entry of an agent.

use base::prelude::*;
use profiles::change::Change;
use profiles::document::Document;
use serde::{Deserialize, Serialize};

use crate::agent::About;

/// The answer to `GET /v1/config`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CurrentConfig {
    /// The document.
    pub document: Document,
    /// Whether it is certainly the accepted one; else the platform is away.
    pub is_fresh: bool,
}

/// The answer to `POST /v1/config/diff`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Difference {
    /// The version that was compared.
    pub version: Version,
    /// The changes that make the document that was sent.
    pub changes: Vec<Change>,
}

/// An entry host in the answer to `GET /v1/hosts`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostState {
    /// The host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// What its agent says, if it answered.
    pub about: Option<About>,
}
