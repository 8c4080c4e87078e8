//! The regions in which a function's runners may be placed, as set by its routes.

use locality::Topology;

/// The allowed regions of all routes that lead to one function.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct AllowedRegions {
    /// Distinct region lists of the restricted routes, each sorted and without duplicates.
    lists: Vec<Vec<String>>,
    /// Whether at least one route allows all regions.
    has_unrestricted_route: bool,
}

impl AllowedRegions {
    /// Adds the region list of one route. An empty list allows all regions.
    pub fn add_route(&mut self, regions: &[String]) {
        if regions.is_empty() {
            self.has_unrestricted_route = true;
            return;
        }
        let mut list = regions.to_vec();
        list.sort();
        list.dedup();
        if !self.lists.contains(&list) {
            self.lists.push(list);
        }
    }

    /// Whether at least one route may use a runner in this zone.
    pub fn may_use(&self, topology: &Topology, zone: &str) -> bool {
        if self.lists.is_empty() || self.has_unrestricted_route {
            return true;
        }
        self.lists.iter().any(|list| topology.allows(list, zone))
    }

    /// Whether at least one route may use a runner in this region.
    pub fn may_use_region(&self, region: &str) -> bool {
        let is_named = |list: &Vec<String>| list.iter().any(|named| named == region);
        self.lists.is_empty() || self.has_unrestricted_route || self.lists.iter().any(is_named)
    }

    /// Whether at least one route allows all regions.
    pub fn has_unrestricted_route(&self) -> bool {
        self.has_unrestricted_route
    }

    /// Whether every restricted route may use at least one of the runners in these zones.
    pub fn are_covered(&self, topology: &Topology, zones: &[&str]) -> bool {
        self.first_uncovered(topology, zones).is_none()
    }

    /// The regions in which the next runner may be placed, given the zones of the existing ones. Empty if every region is
    /// allowed.
    ///
    /// Regions that all restricted routes allow are preferred. If there are none, a route that has no usable runner yet
    /// decides.
    pub fn for_next_runner(&self, topology: &Topology, zones: &[&str]) -> Vec<String> {
        let common = self.common();
        if !common.is_empty() {
            return common;
        }
        if let Some(list) = self.first_uncovered(topology, zones) {
            return list.clone();
        }
        if self.has_unrestricted_route {
            return Vec::new();
        }
        self.lists.concat()
    }

    /// The region list of the first restricted route that may use none of the runners in these zones.
    fn first_uncovered(&self, topology: &Topology, zones: &[&str]) -> Option<&Vec<String>> {
        let mut lists = self.lists.iter();
        lists.find(|list| !zones.iter().any(|zone| topology.allows(list, zone)))
    }

    /// Regions that every restricted route allows.
    fn common(&self) -> Vec<String> {
        let Some((first, others)) = self.lists.split_first() else {
            return Vec::new();
        };
        let regions = first.iter();
        let common = regions.filter(|region| others.iter().all(|list| list.contains(region)));
        common.cloned().collect()
    }
}
