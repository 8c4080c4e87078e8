//! Distances between zones, and the zones that lists of allowed regions permit.

use locality::{Distance, Topology};

fn three_zones() -> Topology {
    let regions = [("a1", "a"), ("a2", "a"), ("b1", "b")];
    Topology::new(
        regions
            .map(|(zone, region)| (zone.to_owned(), region.to_owned()))
            .into(),
    )
}

fn regions(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn zones_in_the_same_region_are_nearer_than_zones_in_different_regions() {
    let topology = three_zones();
    assert_eq!(topology.distance("a1", "a1"), Distance::SameZone);
    assert_eq!(topology.distance("a1", "a2"), Distance::SameRegion);
    assert_eq!(topology.distance("a1", "b1"), Distance::OtherRegion);
    assert!(Distance::SameZone < Distance::SameRegion);
    assert!(Distance::SameRegion < Distance::OtherRegion);
}

#[test]
fn zones_without_a_known_region_count_as_one_region() {
    let topology = Topology::default();
    assert_eq!(topology.distance("x", "x"), Distance::SameZone);
    assert_eq!(topology.distance("x", "y"), Distance::SameRegion);
    assert_eq!(three_zones().distance("a1", "x"), Distance::OtherRegion);
}

#[test]
fn a_list_of_regions_allows_only_their_zones() {
    let topology = three_zones();
    assert!(topology.allows(&regions(&["a"]), "a2"));
    assert!(!topology.allows(&regions(&["a"]), "b1"));
    assert!(topology.allows(&regions(&["a", "b"]), "b1"));
}

#[test]
fn an_empty_list_allows_every_zone_and_other_lists_allow_no_unknown_zone() {
    let topology = three_zones();
    assert!(topology.allows(&[], "unknown"));
    assert!(!topology.allows(&regions(&["a"]), "unknown"));
}

#[test]
fn each_region_is_listed_once() {
    let topology = three_zones();
    let names: Vec<&str> = topology.regions().into_iter().collect();
    assert_eq!(names, ["a", "b"]);
}
