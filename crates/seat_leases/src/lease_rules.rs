//! What decides which runner a request may use, and which it uses first.

use crate::pause_recovery::PauseRecovery;
use locality::{Distance, Topology};
use policy::LeasingPolicy;
use std::collections::BTreeSet;

/// The rules of one owner, for all its functions.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseRules {
    /// What a runner costs that is far or busy.
    pub policy: LeasingPolicy,
    /// The zones with their regions.
    pub topology: Topology,
    /// Zones whose runners get no new requests.
    pub evacuated_zones: BTreeSet<String>,
    /// A controller scales and can be asked for the runners of a function.
    pub is_scaler_reachable: bool,
    /// Whether what was known before the last pause of the process was confirmed since.
    pub pause_recovery: PauseRecovery,
}

impl LeaseRules {
    /// Whether a request with this list of regions may run in a zone.
    pub fn allows(&self, allowed_regions: &[String], zone: &str) -> bool {
        self.topology.allows(allowed_regions, zone)
    }

    /// What the way from one zone to another costs, in mean response times of the function.
    pub fn distance_cost(&self, from: &str, to: &str) -> f64 {
        match self.topology.distance(from, to) {
            Distance::SameZone => 0.0,
            Distance::SameRegion => self.policy.other_zone_cost,
            Distance::OtherRegion => self.policy.other_region_cost,
        }
    }
}
