//! The zones of a deployment with their regions, as the settings tell them.

use std::collections::{BTreeMap, BTreeSet};

/// How far two zones lie apart. What is nearer is less.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// They are one zone.
    SameZone,
    /// They are two zones of one region.
    SameRegion,
    /// They lie in two regions.
    OtherRegion,
}

/// The region of each zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    region_by_zone: BTreeMap<String, String>,
}

impl Topology {
    /// A topology of zones with their regions.
    #[must_use]
    pub fn new(region_by_zone: BTreeMap<String, String>) -> Self {
        Self { region_by_zone }
    }

    /// The region of a zone; none where no settings tell it.
    #[must_use]
    pub fn region_of(&self, zone: &str) -> Option<&str> {
        self.region_by_zone.get(zone).map(String::as_str)
    }

    /// How far two zones lie apart. Zones of which no region is known count as one region.
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

    /// Whether what must not leave some regions may be in a zone. An empty list allows every zone; any other list allows no
    /// zone of which the region is not known.
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
