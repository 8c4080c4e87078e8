//! Sources build for aarch64 and for x86-64: nothing in them is there for one processor only.

use conventions::Workspace;
use std::collections::BTreeSet;

const SOURCE_FOLDERS: [&str; 3] = ["crates", "platform", "tests"];
/// This crate, which spells the names that it looks for.
const OWN_FOLDER: &str = "tests/conventions";
const SYSTEM_CALL_PREFIX: &str = "SYS_";
/// Ways in which code asks for a processor or uses its instructions.
const PROCESSOR_CODE: [&str; 5] = [
    "target_arch",
    "target_feature",
    "std::arch",
    "core::arch",
    "asm!",
];

/// Returns the names of the system calls that a text makes by number.
fn system_calls(text: &str) -> impl Iterator<Item = &str> {
    let calls = text.split(SYSTEM_CALL_PREFIX).skip(1);
    calls.map(|rest| {
        let end = rest.find(|letter: char| !letter.is_ascii_alphanumeric() && letter != '_');
        &rest[..end.unwrap_or(rest.len())]
    })
}

/// Returns the texts of all source files, each with its path.
fn sources(workspace: &Workspace) -> Vec<(String, String)> {
    let files = SOURCE_FOLDERS.iter();
    let files = files.flat_map(|folder| workspace.files(folder, "rs"));
    let files = files.filter(|file| !file.starts_with(OWN_FOLDER));
    files
        .map(|file| (file.display().to_string(), workspace.read(&file)))
        .collect()
}

#[test]
fn system_calls_by_number_are_those_that_each_processor_has() {
    let workspace = Workspace::find();
    let listed: BTreeSet<String> = workspace
        .list("tests/conventions/system-calls.txt")
        .into_iter()
        .collect();
    let mut used = BTreeSet::new();
    for (path, text) in sources(&workspace) {
        for call in system_calls(&text) {
            assert!(listed.contains(call), "{path}: SYS_{call} is not listed");
            used.insert(call.to_string());
        }
    }
    assert_eq!(used, listed, "a listed call is not used");
}

#[test]
fn no_source_is_for_one_processor_only() {
    let workspace = Workspace::find();
    let sources = sources(&workspace);
    assert!(sources.len() > 500, "only {} files", sources.len());
    for (path, text) in &sources {
        let found = PROCESSOR_CODE.iter().find(|code| text.contains(*code));
        assert_eq!(found, None, "{path}");
    }
}

#[test]
fn a_system_call_ends_where_its_name_ends() {
    let text = "syscall(libc::SYS_renameat2, 0); use libc::{SYS_write}; SYS_fsync";
    let calls: Vec<&str> = system_calls(text).collect();
    assert_eq!(calls, ["renameat2", "write", "fsync"]);
}
