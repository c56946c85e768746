//! Kinds of faults, and the case of faults that each wave injects.

use std::fmt;
use std::str::FromStr;

use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use strum::{Display, EnumIter, EnumString, IntoEnumIterator};

/// Number of waves with two faults.
const PAIRS: usize = 3;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Fault {
    /// Kills an engine.
    EngineKilled,
    /// Suspends an engine for a while, which then sends late tokens.
    EnginePaused,
    /// Stalls the open connections to an engine; new ones work.
    ConnectionSilenced,
    /// Kills several engines of one data centre.
    EnginesKilled,
    /// Kills an engine and restarts it at once at the same address.
    EngineRestarted,
    /// Kills an engine, then another on which one of its streams resumed.
    ResumeKilled,
    /// Kills a router.
    RouterKilled,
    /// Suspends a router for long enough that others take over its requests, then resumes it.
    RouterPaused,
    /// Some callers send their requests again while the old connections are still open.
    CallersCrossed,
    /// Kills a router, then another of the same data centre: an owner whose witness was lost first.
    WitnessThenOwner,
    /// Partitions a data centre from the others; some callers of its hosts retry at a host outside.
    CentresParted,
    /// Some callers close their connections and do not retry.
    CallersGone,
}

impl Fault {
    /// Whether a loss closes connections. The others leave them open and idle.
    pub(crate) fn closes_connections(self) -> bool {
        !matches!(
            self,
            Self::EnginePaused
                | Self::ConnectionSilenced
                | Self::RouterPaused
                | Self::CentresParted
        )
    }

    /// Whether it affects only engines and the connections to them.
    fn is_engine(self) -> bool {
        self <= Self::ResumeKilled
    }
}

/// The faults of one wave, written as their names joined by `+`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Case(pub(crate) Vec<Fault>);

impl Case {
    /// Whether the baselines run it too. They leave out faults of routers and callers, as they have
    /// no takeover of a router's requests.
    pub(crate) fn has_baseline(&self) -> bool {
        self.0.iter().all(|f| f.is_engine())
    }

    /// Whether every loss closes connections.
    pub(crate) fn closes_connections(&self) -> bool {
        self.0.iter().all(|f| f.closes_connections())
    }
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<String> = self.0.iter().map(Fault::to_string).collect();
        f.write_str(&names.join("+"))
    }
}

impl FromStr for Case {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let known: Vec<String> = Fault::iter().map(|f| f.to_string()).collect();
        let one = |name: &str| {
            let message = || format!("unknown fault {name:?}; use one of {}", known.join(", "));
            Fault::from_str(name).map_err(|_| message())
        };
        text.split('+').map(one).collect::<Result<_, _>>().map(Self)
    }
}

/// Each fault alone, and [`PAIRS`] pairs of an engine's fault and another, in random order.
pub(crate) fn draw(random: &mut StdRng) -> Vec<Case> {
    let mut cases: Vec<Case> = Fault::iter().map(|f| Case(vec![f])).collect();
    let (mut engine, mut other): (Vec<Fault>, Vec<Fault>) =
        Fault::iter().partition(|f| f.is_engine());
    engine.shuffle(random);
    other.shuffle(random);
    for i in 0..PAIRS {
        let second = if random.random_bool(0.25) {
            engine[(i + 1) % engine.len()]
        } else {
            other[i % other.len()]
        };
        let mut pair = vec![engine[i % engine.len()], second];
        pair.sort_unstable();
        cases.push(Case(pair));
    }
    cases.shuffle(random);
    cases
}
