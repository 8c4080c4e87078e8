use crate::Bounds;
use serde::{Deserialize, Serialize};

/// One whole description of what hallkeel serves. It is taken entire or refused entire.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Blueprint {
    /// Every function that may be called.
    pub listings: Vec<Listing>,
    /// Kinds of tickets, the most urgent first.
    pub ranking: Vec<Kind>,
    /// Districts and whether they take work.
    pub districts: Vec<District>,
    /// Bounds that every other constant is a ratio of.
    #[serde(default)]
    pub bounds: Bounds,
}

/// One function: what a runner of it needs and may carry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listing {
    /// Name that callers use.
    pub name: String,
    /// Memory that one runner takes on its worker, in megabytes.
    pub memory_mb: u64,
    /// How long a runner needs from its start until it can serve, in milliseconds.
    pub start_ms: u64,
    /// Most requests that one runner may carry at once.
    pub concurrency: u32,
    /// Longest budget of a ticket, in milliseconds; a runner gives up by then.
    pub budget_ms: u64,
    /// Kinds of tickets that the function takes; the first is used when a caller names none.
    pub kinds: Vec<String>,
}

/// A kind of ticket. Its place in the ranking is its rank.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name that listings and callers use.
    pub name: String,
    /// Whether the work must never run twice.
    #[serde(default)]
    pub once: bool,
}

/// A district (zone) of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct District {
    /// Name as in the daemons' settings and the platform's list of workers.
    pub name: String,
    /// Whether it takes work.
    #[serde(default)]
    pub state: DistrictState,
}

/// Whether a district takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DistrictState {
    /// Work goes there.
    #[default]
    Open,
    /// No new work goes there and its runners are moved away.
    Evacuated,
}

impl Blueprint {
    /// The listing of a function.
    pub fn listing(&self, function: &str) -> Option<&Listing> {
        self.listings
            .iter()
            .find(|listing| listing.name == function)
    }

    /// The rank of a kind (0 is the most urgent) and the kind itself.
    pub fn kind(&self, name: &str) -> Option<(u8, &Kind)> {
        let place = self.ranking.iter().position(|kind| kind.name == name)?;
        Some((place as u8, &self.ranking[place]))
    }

    /// Whether a district takes work; one that is not named takes none.
    pub fn is_open(&self, district: &str) -> bool {
        self.districts
            .iter()
            .any(|known| known.name == district && known.state == DistrictState::Open)
    }

    /// The longest budget of any function, in milliseconds; 0 where none is listed.
    pub fn longest_budget_ms(&self) -> u64 {
        let budgets = self.listings.iter().map(|listing| listing.budget_ms);
        budgets.max().unwrap_or(0)
    }

    /// An empty blueprint: what is in force before the first put.
    pub fn empty() -> Self {
        Self {
            listings: Vec::new(),
            ranking: Vec::new(),
            districts: Vec::new(),
            bounds: Bounds::default(),
        }
    }
}
