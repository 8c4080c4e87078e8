//! Every test and file that the table of `docs/conformance.md` names exists.

use conventions::Workspace;
use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Columns of a row: the requirement, where it is implemented, its test, its status.
const COLUMNS: usize = 4;

/// Returns the names between backticks, each cut at the first `::`.
fn names(cell: &str) -> impl Iterator<Item = &str> {
    let quoted = cell.split('`').skip(1).step_by(2);
    quoted.map(|name| name.split("::").next().unwrap_or(name))
}

fn add_sources(folder: &Path, text: &mut String, files: &mut BTreeSet<String>) {
    for entry in fs::read_dir(folder).unwrap().flatten() {
        let path = entry.path();
        let name = entry.file_name().to_string_lossy().into_owned();
        if path.is_dir() && name != "target" && !name.starts_with('.') {
            files.insert(name);
            add_sources(&path, text, files);
        } else if name.ends_with(".rs") {
            text.push_str(&fs::read_to_string(&path).unwrap());
            files.insert(name.trim_end_matches(".rs").to_string());
        } else {
            files.insert(name);
        }
    }
}

#[test]
fn files_and_tests_that_the_table_names_exist() {
    let root = Workspace::find().path("");
    let (mut text, mut files) = (String::new(), BTreeSet::new());
    add_sources(&root, &mut text, &mut files);
    let page = fs::read_to_string(root.join("docs/conformance.md")).unwrap();
    let mut checked = 0;
    let mut missing = Vec::new();
    for row in page.lines().filter(|line| line.starts_with("| ")) {
        let cells: Vec<&str> = row.trim_matches('|').split('|').collect();
        assert_eq!(cells.len(), COLUMNS, "{row}");
        for name in names(cells[1]).chain(names(cells[2])) {
            checked += 1;
            let file = name.rsplit('/').next().unwrap_or(name);
            let stem = file.trim_end_matches(".rs");
            let is_shortened = name.ends_with('…');
            let is_code = !name.contains('/') && text.contains(name.trim_end_matches('…'));
            if !files.contains(stem) && !files.contains(file) && !is_code && !is_shortened {
                missing.push(name.to_string());
            }
        }
    }
    assert!(checked > 80, "only {checked} names were found");
    assert!(missing.is_empty(), "{missing:?}");
}
