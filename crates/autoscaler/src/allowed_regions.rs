//! The regions in which the routes of a function let its requests run.

use locality::Topology;

/// The lists of regions of all routes that lead to one function.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct AllowedRegions {
    /// The distinct lists of the routes that have one.
    lists: Vec<Vec<String>>,
    /// Whether a route leads to it that allows all regions.
    has_unrestricted_route: bool,
}

impl AllowedRegions {
    /// Adds the list of one route; an empty one allows all regions.
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

    /// Whether any route may use a runner in a zone.
    pub fn may_use(&self, topology: &Topology, zone: &str) -> bool {
        if self.lists.is_empty() || self.has_unrestricted_route {
            return true;
        }
        self.lists.iter().any(|list| topology.allows(list, zone))
    }

    /// Whether any route may use a runner in a region.
    pub fn may_use_region(&self, region: &str) -> bool {
        let is_named = |list: &Vec<String>| list.iter().any(|named| named == region);
        self.lists.is_empty() || self.has_unrestricted_route || self.lists.iter().any(is_named)
    }

    /// Whether a route allows all regions.
    pub fn has_unrestricted_route(&self) -> bool {
        self.has_unrestricted_route
    }

    /// Whether every route has a runner that it may use, given the zones of the runners.
    pub fn are_covered(&self, topology: &Topology, zones: &[&str]) -> bool {
        self.first_uncovered(topology, zones).is_none()
    }

    /// The regions in which the next runner may stand, given the zones of the present ones; empty where all may.
    ///
    /// Where one region serves all routes, it is one of these. Otherwise a route goes first that no runner serves yet.
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

    fn first_uncovered(&self, topology: &Topology, zones: &[&str]) -> Option<&Vec<String>> {
        let mut lists = self.lists.iter();
        lists.find(|list| !zones.iter().any(|zone| topology.allows(list, zone)))
    }

    /// Regions that are in every list.
    fn common(&self) -> Vec<String> {
        let Some((first, others)) = self.lists.split_first() else {
            return Vec::new();
        };
        let regions = first.iter();
        let common = regions.filter(|region| others.iter().all(|list| list.contains(region)));
        common.cloned().collect()
    }
}
