//! Which module of a crate imports which, and whether imports run one way.
//!
//! An edge is a `use` or a written path that begins with `crate::` or `super::`. Names that the crate's root exports
//! again are followed to the module that defines them.

use crate::SourceFile;
use std::collections::{BTreeMap, BTreeSet};
use syn::visit::{self, Visit};

/// Modules by name, each with the modules that it imports.
pub type ImportGraph = BTreeMap<String, BTreeSet<String>>;

#[derive(Default)]
struct Paths {
    found: Vec<Vec<String>>,
}

impl<'ast> Visit<'ast> for Paths {
    fn visit_item_use(&mut self, item: &'ast syn::ItemUse) {
        flatten(&item.tree, &mut Vec::new(), &mut self.found);
    }

    fn visit_path(&mut self, path: &'ast syn::Path) {
        let segments = path.segments.iter();
        let names = segments.map(|segment| segment.ident.to_string());
        self.found.push(names.collect());
        visit::visit_path(self, path);
    }
}

fn flatten(tree: &syn::UseTree, prefix: &mut Vec<String>, found: &mut Vec<Vec<String>>) {
    match tree {
        syn::UseTree::Path(path) => {
            prefix.push(path.ident.to_string());
            flatten(&path.tree, prefix, found);
            prefix.pop();
        }
        syn::UseTree::Group(group) => {
            for tree in &group.items {
                flatten(tree, prefix, found);
            }
        }
        syn::UseTree::Name(name) => found.push(with(prefix, &name.ident)),
        syn::UseTree::Rename(rename) => found.push(with(prefix, &rename.ident)),
        syn::UseTree::Glob(_) => found.push(prefix.clone()),
    }
}

fn with(prefix: &[String], last: &syn::Ident) -> Vec<String> {
    let mut path = prefix.to_vec();
    path.push(last.to_string());
    path
}

/// Paths that a file writes, each from the crate's root.
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
            let ups = path.iter().take_while(|part| *part == "super").count();
            let parent = module.len().checked_sub(ups)?;
            Some([&module[..parent], &path[ups..]].concat())
        }
        _ => None,
    }
}

/// Names that the root exports again, each with the module that defines it.
fn exports(files: &[SourceFile]) -> BTreeMap<String, Vec<String>> {
    let roots = files.iter().filter(|file| file.module.is_empty());
    let mut paths = Paths::default();
    for root in roots {
        paths.visit_file(&root.syntax);
    }
    let mut exports = BTreeMap::new();
    for mut path in paths.found {
        let is_relative = !matches!(path.first().map(String::as_str), Some("crate" | "self"));
        let begin = usize::from(!is_relative);
        path.drain(..begin);
        if let Some((name, module)) = path.split_last() {
            exports.insert(name.clone(), module.to_vec());
        }
    }
    exports
}

/// The graph of imports between a crate's modules.
pub fn graph(files: &[SourceFile]) -> ImportGraph {
    let modules: BTreeSet<&[String]> = files.iter().map(|file| file.module.as_slice()).collect();
    let exports = exports(files);
    let mut graph = ImportGraph::new();
    for file in files.iter().filter(|file| !file.module.is_empty()) {
        let edges = graph.entry(file.module.join("::")).or_default();
        for path in crate_paths(file) {
            let target = owner(&modules, &exports, &path);
            let target = target.filter(|target| *target != file.module.as_slice());
            edges.extend(target.map(|target| target.join("::")));
        }
    }
    graph
}

/// The longest beginning of a path that is a module of the crate.
fn owner<'a>(
    modules: &BTreeSet<&'a [String]>,
    exports: &'a BTreeMap<String, Vec<String>>,
    path: &[String],
) -> Option<&'a [String]> {
    let lengths = (1..=path.len()).rev();
    let mut owners = lengths.filter_map(|length| modules.get(&path[..length]).copied());
    owners.next().or_else(|| {
        let module = exports.get(path.first()?)?;
        modules.get(module.as_slice()).copied()
    })
}

/// A circle of imports, if there is one: each module imports the next, and the last the first.
#[must_use]
pub fn circle(graph: &ImportGraph) -> Option<Vec<String>> {
    let mut finished = BTreeSet::new();
    for start in graph.keys() {
        let mut trail = Vec::new();
        if let Some(circle) = walk(graph, start, &mut trail, &mut finished) {
            return Some(circle);
        }
    }
    None
}

fn walk(
    graph: &ImportGraph,
    module: &str,
    trail: &mut Vec<String>,
    finished: &mut BTreeSet<String>,
) -> Option<Vec<String>> {
    if let Some(begin) = trail.iter().position(|earlier| earlier == module) {
        return Some(trail[begin..].to_vec());
    }
    if finished.contains(module) {
        return None;
    }
    trail.push(module.to_string());
    for next in graph.get(module).into_iter().flatten() {
        let circle = walk(graph, next, trail, finished);
        if circle.is_some() {
            return circle;
        }
    }
    trail.pop();
    finished.insert(module.to_string());
    None
}
