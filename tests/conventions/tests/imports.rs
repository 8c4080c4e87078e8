//! Imports between the modules of a crate run one way.

use conventions::{imports, Workspace};
use std::collections::BTreeSet;

#[test]
fn imports_of_done_crates_run_one_way() {
    let workspace = Workspace::find();
    let mut circles = Vec::new();
    for folder in workspace.done_crates() {
        let graph = imports::graph(&workspace.sources(&folder));
        if let Some(circle) = imports::circle(&graph) {
            circles.push(format!("{folder}: {}", circle.join(" -> ")));
        }
    }
    assert!(circles.is_empty(), "{}", circles.join("\n"));
}

#[test]
fn the_modules_of_this_crate_are_seen() {
    let workspace = Workspace::find();
    let graph = imports::graph(&workspace.sources("tests/conventions"));
    let expected = BTreeSet::from(["workspace".to_string()]);
    assert_eq!(
        graph["imports"], expected,
        "`SourceFile` is followed to its module"
    );
}

#[test]
fn a_circle_is_found_and_a_fan_is_none() {
    let edges = [("a", "b"), ("b", "c"), ("a", "c")];
    let mut graph = imports::ImportGraph::new();
    for (from, to) in edges {
        graph.entry(from.into()).or_default().insert(to.into());
    }
    assert_eq!(imports::circle(&graph), None);
    graph.entry("c".into()).or_default().insert("b".into());
    let circle = imports::circle(&graph).unwrap();
    assert_eq!(circle, ["b", "c"]);
}
