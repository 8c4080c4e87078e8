//! Files, tests and identifiers that documents name exist.

use conventions::Workspace;
use std::collections::BTreeSet;
use std::path::PathBuf;

/// Folders whose files are named by their full path in documents.
const FOLDERS: [&str; 6] = ["crates/", "platform/", "tests/", "docs/", "deploy/", ".ci/"];

/// Pages whose quoted identifiers must exist in the sources.
const DESIGN_PAGES: [&str; 6] = [
    "docs/architecture.md",
    "docs/CAPACITY.md",
    "docs/control-safety.md",
    "docs/federation.md",
    "docs/glossary.md",
    "docs/platform-design.md",
];

/// Returns the texts between single backticks outside fenced code blocks, with line breaks removed.
fn quoted(text: &str) -> Vec<String> {
    let outside_fences: String = text.split("```").step_by(2).collect();
    let quotes = outside_fences.split('`').skip(1).step_by(2);
    quotes.map(|quote| quote.replace('\n', "")).collect()
}

fn documents(workspace: &Workspace) -> Vec<PathBuf> {
    let mut documents = workspace.files("docs", "md");
    documents.push("README.md".into());
    documents.push("CONTRIBUTING.md".into());
    documents
}

/// Returns the paths that a quoted text names, relative to the workspace root; none if it is a pattern, a command or another kind
/// of text. `consensus/src/{contact,serving}.rs` names two files of the crate.
fn paths(quote: &str) -> Vec<String> {
    if quote.contains([' ', '*', '<', ':', '…']) {
        return Vec::new();
    }
    let is_full_path = FOLDERS.iter().any(|folder| quote.starts_with(folder));
    let is_crate_path = quote.contains("/src/") || quote.contains("/tests/");
    let path = match (is_full_path, is_crate_path) {
        (true, _) => quote.to_string(),
        (false, true) => format!("crates/{quote}"),
        (false, false) => return Vec::new(),
    };
    let parts = path.split_once('{');
    let parts = parts.and_then(|(before, rest)| Some((before, rest.split_once('}')?)));
    let Some((before, (names, after))) = parts else {
        return vec![path];
    };
    let names = names.split(',');
    names.map(|name| format!("{before}{name}{after}")).collect()
}

#[test]
fn files_that_documents_name_exist() {
    let workspace = Workspace::find();
    let mut missing = Vec::new();
    let mut checked = 0;
    for document in documents(&workspace) {
        let text = workspace.read(&document);
        for path in quoted(&text).iter().flat_map(|quote| paths(quote)) {
            checked += 1;
            if !workspace.path(&path).exists() {
                missing.push(format!("{}: {path}", document.display()));
            }
        }
    }
    assert!(checked > 20, "only {checked} paths were found");
    assert!(missing.is_empty(), "{}", missing.join("\n"));
}

#[test]
fn links_between_documents_lead_to_files() {
    let workspace = Workspace::find();
    let mut missing = Vec::new();
    for document in documents(&workspace) {
        let text = workspace.read(&document);
        let links = text
            .split("](")
            .skip(1)
            .filter_map(|rest| rest.split(')').next());
        for link in links.filter(|link| !link.contains("://") && !link.starts_with('#')) {
            let target = link.split('#').next().unwrap_or_default();
            let folder = document.parent().unwrap_or(&document);
            if !workspace.path(folder).join(target).exists() {
                missing.push(format!("{}: {link}", document.display()));
            }
        }
    }
    assert!(missing.is_empty(), "{}", missing.join("\n"));
}

#[test]
fn tests_that_the_safety_pages_name_exist() {
    let workspace = Workspace::find();
    let mut functions = BTreeSet::new();
    for folder in ["crates", "platform", "tests"] {
        for path in workspace.files(folder, "rs") {
            let text = workspace.read(&path);
            let names = text
                .split("fn ")
                .skip(1)
                .filter_map(|rest| rest.split(['(', '<']).next());
            functions.extend(names.map(str::to_string));
        }
    }
    let mut missing = Vec::new();
    for document in [
        "docs/control-safety.md",
        "docs/must-never.md",
        "docs/model-check.md",
    ] {
        let text = workspace.read(document);
        let is_test_name = |name: &String| {
            let is_snake = name
                .chars()
                .all(|character| character == '_' || character.is_ascii_lowercase());
            is_snake && name.matches('_').count() >= 4
        };
        for name in quoted(&text).into_iter().filter(is_test_name) {
            if !functions.contains(&name) {
                missing.push(format!("{document}: {name}"));
            }
        }
    }
    assert!(missing.is_empty(), "{}", missing.join("\n"));
}

/// Splits a text at characters that cannot occur in an identifier.
fn identifiers(text: &str) -> impl Iterator<Item = &str> {
    text.split(|character: char| !character.is_ascii_alphanumeric() && character != '_')
}

/// Returns the identifiers in a quoted text such as `protocol::{Release, SeatLease}` or `RoleLease`; none if it is not a code
/// path or type name.
fn code_names(quote: &str) -> Vec<&str> {
    let is_code =
        |character: char| character.is_ascii_alphanumeric() || "_:{}, ".contains(character);
    let is_path = quote.contains("::") && quote.chars().all(is_code);
    let is_type = quote.starts_with(|character: char| character.is_ascii_uppercase())
        && quote.contains(|character: char| character.is_ascii_lowercase())
        && quote
            .chars()
            .all(|character| character.is_ascii_alphanumeric());
    if !is_path && !is_type {
        return Vec::new();
    }
    let names = identifiers(quote);
    names.filter(|name| name.len() > 1).collect()
}

#[test]
fn types_and_functions_that_the_design_pages_name_exist() {
    let workspace = Workspace::find();
    let mut known = BTreeSet::new();
    for folder in ["crates", "platform", "tests"] {
        for path in workspace.files(folder, "rs") {
            let text = workspace.read(&path);
            known.extend(identifiers(&text).map(str::to_string));
        }
    }
    let mut missing = Vec::new();
    for document in DESIGN_PAGES {
        for quote in quoted(&workspace.read(document)) {
            for name in code_names(&quote) {
                if !known.contains(name) {
                    missing.push(format!("{document}: {name} in `{quote}`"));
                }
            }
        }
    }
    assert!(missing.is_empty(), "{}", missing.join("\n"));
}
