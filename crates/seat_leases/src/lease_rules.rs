//! Rules that decide which runners a request may use and which it prefers.

use crate::pause_recovery::PauseRecovery;
use locality::{Distance, Topology};
use policy::LeasingPolicy;
use std::collections::BTreeSet;

/// Rules of one owner, shared by all its functions.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseRules {
    /// Costs of remote and busy runners.
    pub policy: LeasingPolicy,
    /// Zones and their regions.
    pub topology: Topology,
    /// Zones whose runners accept no new requests.
    pub evacuated_zones: BTreeSet<String>,
    /// Whether a controller with the scaler role can be asked for the runners of a function.
    pub is_scaler_reachable: bool,
    /// Whether state from before the last process pause has been confirmed since.
    pub pause_recovery: PauseRecovery,
}

impl LeaseRules {
    /// Whether a request restricted to these regions may run in a zone.
    pub fn allows(&self, allowed_regions: &[String], zone: &str) -> bool {
        self.topology.allows(allowed_regions, zone)
    }

    /// Cost of sending a request from one zone to another, in mean response times of the function.
    pub fn distance_cost(&self, from: &str, to: &str) -> f64 {
        match self.topology.distance(from, to) {
            Distance::SameZone => 0.0,
            Distance::SameRegion => self.policy.other_zone_cost,
            Distance::OtherRegion => self.policy.other_region_cost,
        }
    }
}
