//! Names and numbers that identify the parts of the system.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Declares a name held as a string.
macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// Borrows the name.
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

/// Declares a number held as 64 bits.
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
    /// An entry host of the system.
    HostId
);
name!(
    /// A data centre, as `vn-south-a`.
    DataCentre
);
name!(
    /// A backend server: a model engine or an instance of a plain service.
    BackendId
);
name!(
    /// A service that callers reach, as `draft-model`.
    ServiceName
);
name!(
    /// A workspace: the unit to which requests are attributed and limited.
    WorkspaceName
);
name!(
    /// A profile: the declared needs of a class of work.
    ProfileName
);
name!(
    /// The key under which a caller may repeat a request.
    RequestKey
);
name!(
    /// An operator's attempt to change the configuration, drawn at random.
    OperationId
);

number!(
    /// One life of a process, drawn at random when it starts.
    Incarnation
);
number!(
    /// The number of an engine stream within a generation, counted from 1.
    Attempt
);
number!(
    /// The position of a token within a generation, counted from 0.
    Offset
);
number!(
    /// The version of the configuration, counted from 1.
    Version
);

/// The identity of one sequence of tokens, unique over data centres.
///
/// Written as 16 hexadecimal digits.
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

/// The ownership of a request: the higher epoch wins.
///
/// A takeover raises `round`; `owner` breaks ties between routers that take over at once.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch {
    /// How many times ownership has changed.
    pub round: u64,
    /// The incarnation of the owning router.
    pub owner: Incarnation,
}

impl Epoch {
    /// The epoch with which `owner` takes over from this one.
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
