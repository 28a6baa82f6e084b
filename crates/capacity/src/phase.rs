//! The names of phases and faults, in keys of figures and on the page.

use crate::result::{Fault, Phase};

impl Fault {
    /// All faults, in the order of the page.
    pub const ALL: [Self; 8] = [
        Self::WorkerDies,
        Self::RackDies,
        Self::ZoneDies,
        Self::ZoneReturns,
        Self::RegionCut,
        Self::RegionHeals,
        Self::WorkerRestarts,
        Self::PlacerRestarts,
    ];

    /// The name in keys of figures, which equals the name in results.
    pub fn key(self) -> &'static str {
        match self {
            Self::WorkerDies => "worker_dies",
            Self::RackDies => "rack_dies",
            Self::ZoneDies => "zone_dies",
            Self::ZoneReturns => "zone_returns",
            Self::RegionCut => "region_cut",
            Self::RegionHeals => "region_heals",
            Self::WorkerRestarts => "worker_restarts",
            Self::PlacerRestarts => "placer_restarts",
        }
    }

    /// The description on the page.
    pub fn title(self) -> &'static str {
        match self {
            Self::WorkerDies => "a worker dies",
            Self::RackDies => "a rack of 40 dies",
            Self::ZoneDies => "a quarter of the workers dies",
            Self::ZoneReturns => "that quarter returns, cold",
            Self::RegionCut => "half of the workers is cut off",
            Self::RegionHeals => "that half can be reached again",
            Self::WorkerRestarts => "workers restart one by one",
            Self::PlacerRestarts => "all placers restart in steps",
        }
    }
}

impl Phase {
    /// All phases, in the order of the page.
    pub fn all() -> impl Iterator<Item = Self> {
        [Self::Rest, Self::Peak]
            .into_iter()
            .chain(Fault::ALL.map(Self::WorstSecond))
    }

    /// The name in keys of figures: `rest`, `peak` or the fault's name.
    pub fn key(self) -> &'static str {
        match self {
            Self::Rest => "rest",
            Self::Peak => "peak",
            Self::WorstSecond(fault) => fault.key(),
        }
    }

    /// The phase with a key.
    pub fn from_key(key: &str) -> Option<Self> {
        Self::all().find(|phase| phase.key() == key)
    }

    /// The name on the page.
    pub fn title(self) -> String {
        match self {
            Self::Rest => "at rest".to_owned(),
            Self::Peak => "at the peak".to_owned(),
            Self::WorstSecond(fault) => format!("worst second: {}", fault.title()),
        }
    }
}
