//! The zones of a deployment and their regions, as configured in the settings.

use std::collections::{BTreeMap, BTreeSet};

/// The distance between two zones. Smaller values are nearer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// Both are the same zone.
    SameZone,
    /// Two zones in the same region.
    SameRegion,
    /// Two zones in different regions.
    OtherRegion,
}

/// The region of each zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    region_by_zone: BTreeMap<String, String>,
}

impl Topology {
    /// Creates a topology from the region of each zone.
    #[must_use]
    pub fn new(region_by_zone: BTreeMap<String, String>) -> Self {
        Self { region_by_zone }
    }

    /// The region of a zone; `None` if it is not configured.
    #[must_use]
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        self.region_by_zone.get(zone).map(String::as_str)
    }

    /// The distance between two zones. All zones without a known region count as one region.
    #[must_use]
    pub fn distance(&self, one: &str, other: &str) -> Distance {
        if one == other {
            return Distance::SameZone;
        }
        if self.region_of(one) == self.region_of(other) {
            return Distance::SameRegion;
        }
        Distance::OtherRegion
    }

    /// Whether a list of allowed regions permits a zone. An empty list permits every zone. Any other list permits no zone whose
    /// region is unknown.
    #[must_use]
    pub fn allows(&self, allowed_regions: &[String], zone: &str) -> bool {
        if allowed_regions.is_empty() {
            return true;
        }
        let region = self.region_of(zone);
        region.is_some_and(|region| allowed_regions.iter().any(|allowed| allowed == region))
    }

    /// Names of all regions.
    #[must_use]
    pub fn regions(&self) -> BTreeSet<&str> {
        self.region_by_zone.values().map(String::as_str).collect()
    }
}
