//! The import graph between the modules of a crate, and detection of import cycles.
//!
//! An edge is a `use` or a path expression that starts with `crate::` or `super::`. Names that the crate root re-exports are
//! resolved to the module that defines them.

use crate::SourceFile;
use std::collections::{BTreeMap, BTreeSet};
use syn::visit::{self, Visit};

/// Module names, each with the names of the modules that it imports.
pub type ImportGraph = BTreeMap<String, BTreeSet<String>>;

#[derive(Default)]
struct Paths {
    found: Vec<Vec<String>>,
}

impl<'ast> Visit<'ast> for Paths {
    fn visit_item_use(&mut self, item: &'ast syn::ItemUse) {
        collect_paths(&item.tree, &mut Vec::new(), &mut self.found);
    }

    fn visit_path(&mut self, path: &'ast syn::Path) {
        let segments = path.segments.iter();
        let names = segments.map(|segment| segment.ident.to_string());
        self.found.push(names.collect());
        visit::visit_path(self, path);
    }
}

fn collect_paths(tree: &syn::UseTree, prefix: &mut Vec<String>, found: &mut Vec<Vec<String>>) {
    match tree {
        syn::UseTree::Path(path) => {
            prefix.push(path.ident.to_string());
            collect_paths(&path.tree, prefix, found);
            prefix.pop();
        }
        syn::UseTree::Group(group) => {
            for tree in &group.items {
                collect_paths(tree, prefix, found);
            }
        }
        syn::UseTree::Name(name) => found.push(with_last_segment(prefix, &name.ident)),
        syn::UseTree::Rename(rename) => found.push(with_last_segment(prefix, &rename.ident)),
        syn::UseTree::Glob(_) => found.push(prefix.clone()),
    }
}

fn with_last_segment(prefix: &[String], last: &syn::Ident) -> Vec<String> {
    let mut path = prefix.to_vec();
    path.push(last.to_string());
    path
}

/// Returns the crate-internal paths that a file uses, each relative to the crate root.
fn crate_paths(file: &SourceFile) -> Vec<Vec<String>> {
    let mut paths = Paths::default();
    paths.visit_file(&file.syntax);
    let found = paths.found.into_iter();
    found
        .filter_map(|path| from_root(&file.module, path))
        .collect()
}

fn from_root(module: &[String], path: Vec<String>) -> Option<Vec<String>> {
    match path.first()?.as_str() {
        "crate" => Some(path[1..].to_vec()),
        "super" => {
            let levels = path.iter().take_while(|part| *part == "super").count();
            let parent = module.len().checked_sub(levels)?;
            Some([&module[..parent], &path[levels..]].concat())
        }
        _ => None,
    }
}

/// Returns the names that the crate root re-exports, each with the module that defines it.
fn exports(files: &[SourceFile]) -> BTreeMap<String, Vec<String>> {
    let roots = files.iter().filter(|file| file.module.is_empty());
    let mut paths = Paths::default();
    for root in roots {
        paths.visit_file(&root.syntax);
    }
    let mut exports = BTreeMap::new();
    for mut path in paths.found {
        let is_relative = !matches!(path.first().map(String::as_str), Some("crate" | "self"));
        let start = usize::from(!is_relative);
        path.drain(..start);
        if let Some((name, module)) = path.split_last() {
            exports.insert(name.clone(), module.to_vec());
        }
    }
    exports
}

/// Returns the import graph between a crate's modules.
pub fn graph(files: &[SourceFile]) -> ImportGraph {
    let modules: BTreeSet<&[String]> = files.iter().map(|file| file.module.as_slice()).collect();
    let exports = exports(files);
    let mut graph = ImportGraph::new();
    for file in files.iter().filter(|file| !file.module.is_empty()) {
        let edges = graph.entry(file.module.join("::")).or_default();
        for path in crate_paths(file) {
            let target = defining_module(&modules, &exports, &path);
            let target = target.filter(|target| *target != file.module.as_slice());
            edges.extend(target.map(|target| target.join("::")));
        }
    }
    graph
}

/// Returns the longest prefix of a path that is a module of the crate, or the module that defines a re-exported name.
fn defining_module<'a>(
    modules: &BTreeSet<&'a [String]>,
    exports: &'a BTreeMap<String, Vec<String>>,
    path: &[String],
) -> Option<&'a [String]> {
    let lengths = (1..=path.len()).rev();
    let mut candidates = lengths.filter_map(|length| modules.get(&path[..length]).copied());
    candidates.next().or_else(|| {
        let module = exports.get(path.first()?)?;
        modules.get(module.as_slice()).copied()
    })
}

/// Returns an import cycle, if there is one: each module imports the next, and the last imports the first.
#[must_use]
pub fn find_cycle(graph: &ImportGraph) -> Option<Vec<String>> {
    let mut finished = BTreeSet::new();
    for start in graph.keys() {
        let mut ancestors = Vec::new();
        if let Some(cycle) = find_cycle_from(graph, start, &mut ancestors, &mut finished) {
            return Some(cycle);
        }
    }
    None
}

fn find_cycle_from(
    graph: &ImportGraph,
    module: &str,
    ancestors: &mut Vec<String>,
    finished: &mut BTreeSet<String>,
) -> Option<Vec<String>> {
    if let Some(start) = ancestors.iter().position(|earlier| earlier == module) {
        return Some(ancestors[start..].to_vec());
    }
    if finished.contains(module) {
        return None;
    }
    ancestors.push(module.to_string());
    for next in graph.get(module).into_iter().flatten() {
        let cycle = find_cycle_from(graph, next, ancestors, finished);
        if cycle.is_some() {
            return cycle;
        }
    }
    ancestors.pop();
    finished.insert(module.to_string());
    None
}
