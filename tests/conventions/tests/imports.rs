//! Imports between the modules of a crate are acyclic.

use conventions::{imports, Workspace};
use std::collections::BTreeSet;

#[test]
fn imports_of_done_crates_are_acyclic() {
    let workspace = Workspace::find();
    let mut cycles = Vec::new();
    for folder in workspace.done_crates() {
        let graph = imports::graph(&workspace.sources(&folder));
        if let Some(cycle) = imports::find_cycle(&graph) {
            cycles.push(format!("{folder}: {}", cycle.join(" -> ")));
        }
    }
    assert!(cycles.is_empty(), "{}", cycles.join("\n"));
}

#[test]
fn the_import_graph_includes_the_modules_of_this_crate() {
    let workspace = Workspace::find();
    let graph = imports::graph(&workspace.sources("tests/conventions"));
    let expected = BTreeSet::from(["workspace".to_string()]);
    assert_eq!(
        graph["imports"], expected,
        "`SourceFile` is resolved to the module that defines it"
    );
}

#[test]
fn a_cycle_is_found_and_two_paths_to_one_module_are_none() {
    let edges = [("a", "b"), ("b", "c"), ("a", "c")];
    let mut graph = imports::ImportGraph::new();
    for (from, to) in edges {
        graph.entry(from.into()).or_default().insert(to.into());
    }
    assert_eq!(imports::find_cycle(&graph), None);
    graph.entry("c".into()).or_default().insert("b".into());
    let cycle = imports::find_cycle(&graph).unwrap();
    assert_eq!(cycle, ["b", "c"]);
}
