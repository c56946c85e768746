//! JSON bodies of the HTTP interface that an agent offers to operators.

use base::prelude::*;
use profiles::change::Change;
use profiles::document::Document;
use serde::{Deserialize, Serialize};

use crate::agent::About;

/// The answer to `GET /v1/config`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CurrentConfig {
    /// The configuration that the agent holds.
    pub document: Document,
    /// Whether the platform confirmed it as the accepted one; false while the platform is unavailable.
    pub is_fresh: bool,
}

/// The answer to `POST /v1/config/diff`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Difference {
    /// The version that the submitted document was compared with.
    pub version: Version,
    /// The changes that turn that version into the submitted document.
    pub changes: Vec<Change>,
}

/// An entry host in the answer to `GET /v1/hosts`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostState {
    /// The host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether the host list marks it as leaving; it then gets no new work.
    pub leaving: bool,
    /// Identity of its agent; `None` if the agent did not answer.
    pub about: Option<About>,
}
