//! Typed names and numbers that identify hosts, servers, requests, generations and versions.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Declares a newtype around a string, serialized as the plain string.
macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// The name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

/// Declares a newtype around a `u64`, serialized as the plain number.
macro_rules! number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The number that follows this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

name!(
    /// Name of an entry host, which accepts callers' requests.
    HostId
);
name!(
    /// Name of a data centre, such as `vn-south-a`.
    DataCentre
);
name!(
    /// Id of a backend server: a model engine or an instance of a plain service.
    BackendId
);
name!(
    /// Name of a service that callers can call, such as `draft-model`.
    ServiceName
);
name!(
    /// Name of a workspace: the unit by which requests are attributed and limited.
    WorkspaceName
);
name!(
    /// Name of a profile: quality-of-service settings shared by services with the same needs.
    ProfileName
);
name!(
    /// Identifies a request across retries: `<workspace>/<idempotency key>` for completions,
    /// `<service>/<workspace>/<idempotency key>` for calls of plain services.
    RequestKey
);
name!(
    /// Random id of an operator's proposal to change the configuration; its retries carry the same id.
    OperationId
);

number!(
    /// Number drawn at random when a process starts, which distinguishes it from earlier runs.
    Incarnation
);
number!(
    /// Number of an engine stream within a generation, counted from 1.
    Attempt
);
number!(
    /// Position of a token in the output of a request, counted from 0; as a length, a number of tokens.
    Offset
);
number!(
    /// Version of the configuration, counted from 1; 0 before the first accepted change.
    Version
);

/// Random id of a generation, unique across data centres.
///
/// A generation is one sequence of tokens. A new one begins when the output is generated again from
/// the first token, and at a takeover from an owner that may still be active.
/// Displayed and serialized as 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GenerationId(pub u64);

impl fmt::Display for GenerationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for GenerationId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

impl Serialize for GenerationId {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for GenerationId {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// Ownership of a request by a router; the router with the higher epoch wins.
///
/// Epochs are compared by `round`, then by `owner`, which breaks the tie between routers that take
/// over at the same time. Displayed as `<round>/<owner>`, with `owner` in hexadecimal.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch {
    /// Incremented by each takeover, and when the owner starts a new generation; 0 if there is no owner.
    pub round: u64,
    /// Incarnation of the owning router.
    pub owner: Incarnation,
}

impl Epoch {
    /// The epoch under which `owner` takes ownership after this one.
    pub fn next_for(self, owner: Incarnation) -> Self {
        Self {
            round: self.round + 1,
            owner,
        }
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.round, self.owner.0)
    }
}
