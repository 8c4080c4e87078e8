//! Names and log lines do not use withdrawn words.

use conventions::{names, Workspace};

#[test]
fn done_crates_use_no_withdrawn_words() {
    let workspace = Workspace::find();
    let withdrawn = names::withdrawn(&workspace.list("tests/conventions/withdrawn-words.txt"));
    assert!(
        !withdrawn.is_empty(),
        "the list of withdrawn words is empty"
    );
    let mut found = Vec::new();
    for folder in workspace.done_crates() {
        for file in workspace.sources(&folder) {
            for name in names::of_file(&file) {
                let words = names::words(&name);
                let words = words
                    .iter()
                    .filter_map(|word| withdrawn.get_key_value(word));
                let path = file.path.display();
                found.extend(words.map(|(word, replacement)| {
                    format!("{path}: `{name}` uses `{word}`; write {replacement}")
                }));
            }
        }
    }
    assert!(found.is_empty(), "{}", found.join("\n"));
}

#[test]
fn names_are_split_into_words() {
    let words = |name| names::words(name).join(" ");
    assert_eq!(words("HeardHeartbeat"), "heard heartbeat");
    assert_eq!(words("KEY_MAX"), "key max");
    assert_eq!(words("on_disk2"), "on disk2");
    assert_eq!(words("role lost, term={}"), "role lost term");
}

#[test]
fn names_of_this_crate_are_collected() {
    let workspace = Workspace::find();
    let files = workspace.sources("tests/conventions");
    let all: Vec<String> = files.iter().flat_map(names::of_file).collect();
    for name in [
        "SourceFile",
        "module",
        "done_crates",
        "LOG_MACROS",
        "workspace",
    ] {
        assert!(all.iter().any(|found| found == name), "{name} is not seen");
    }
}
