//! Types that most modules of the other crates import.

pub use crate::id::{
    Attempt, BackendId, DataCentre, Epoch, GenerationId, HostId, Incarnation, Offset, OperationId,
    ProfileName, RequestKey, ServiceName, Version, WorkspaceName,
};
pub use crate::model::Model;
pub use crate::time::Millis;
pub use crate::token::Token;
