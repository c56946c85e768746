//! The faults and their combinations.

use std::fmt;
use std::str::FromStr;

use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use strum::{Display, EnumIter, EnumString, IntoEnumIterator};

/// The waves with two faults at a time.
const PAIRS: usize = 3;

/// One kind of failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Fault {
    /// An engine dies.
    EngineKilled,
    /// An engine pauses and comes back with late tokens.
    EnginePaused,
    /// Connections to an engine go silent while new ones work.
    ConnectionSilenced,
    /// Several engines of a data centre die at once.
    EnginesKilled,
    /// An engine dies and is started again at its address.
    EngineRestarted,
    /// An engine dies, then one on which its streams go on.
    ResumeKilled,
    /// A router dies.
    RouterKilled,
    /// A router pauses, its requests are taken over, it wakes.
    RouterPaused,
    /// Callers repeat their requests while the old connections still run.
    CallersCrossed,
    /// A router dies, then another of its data centre.
    WitnessThenOwner,
    /// A data centre is parted from the others; some of its callers come back on the far side.
    CentresParted,
    /// Callers go away for good.
    CallersGone,
}

impl Fault {
    /// Whether the loss shows by a connection that closes.
    pub(crate) fn closes_connections(self) -> bool {
        !matches!(
            self,
            Self::EnginePaused
                | Self::ConnectionSilenced
                | Self::RouterPaused
                | Self::CentresParted
        )
    }

    /// Whether only engines and their connections are hit.
    fn is_engine(self) -> bool {
        self <= Self::ResumeKilled
    }
}

/// The faults of one wave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Case(pub(crate) Vec<Fault>);

impl Case {
    /// Whether the baselines are measured under it: they know no takeover of a router's requests.
    pub(crate) fn has_baseline(&self) -> bool {
        self.0.iter().all(|f| f.is_engine())
    }

    /// Whether every loss shows by a connection that closes.
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
            let message = || format!("no fault {name:?}; write one of {}", known.join(", "));
            Fault::from_str(name).map_err(|_| message())
        };
        text.split('+').map(one).collect::<Result<_, _>>().map(Self)
    }
}

/// Each fault alone, and pairs of an engine's and another.
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
