//! Verdicts of a campaign on a small workspace that the tests create.

use mutations::{load_entries, Campaign, CargoOptions, Trial, Verdict};
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

const MANIFEST: &str =
    "[package]\nname = \"small\"\nversion = \"0.1.0\"\nedition = \"2021\"\n\n[workspace]\n";
const LOCK: &str = "version = 4\n\n[[package]]\nname = \"small\"\nversion = \"0.1.0\"\n";
const SOURCE: &str = "pub fn is_within(count: u32) -> bool {\n    count < 3 && count != 9\n}\n";
const TEST: &str = "#[test]\nfn three_is_too_many() {\n    assert!(!small::is_within(3));\n}\n";

/// Name of each entry, the text that it replaces, and the replacement.
const ENTRIES: [(&str, &str, &str); 3] = [
    ("1-no-limit", "count < 3", "true"),
    ("2-redundant", "count != 9", "true"),
    ("3-broken", "count < 3", "count < \\\"three\\\""),
];

fn write(path: &Path, text: &str) {
    let folder = path.parent().expect("the file is in a folder");
    fs::create_dir_all(folder).expect("the folder can be made");
    fs::write(path, text).expect("the file can be written");
}

fn small_workspace(name: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    write(&root.join("Cargo.toml"), MANIFEST);
    write(&root.join("Cargo.lock"), LOCK);
    write(&root.join("src/lib.rs"), SOURCE);
    write(&root.join("tests/limit.rs"), TEST);
    for (name, from, to) in ENTRIES {
        let entry = format!(
            "removes = \"it\"\nfile = \"src/lib.rs\"\nfrom = \"{from}\"\nto = \"{to}\"\ntests = [\"-p small --test limit\"]\n"
        );
        let path = format!("tests/mutations/entries/{name}.toml");
        write(&root.join(path), &entry);
    }
    root
}

fn verdicts(name: &str, trial: Trial) -> Vec<Verdict> {
    let root = small_workspace(name);
    let entries = load_entries(&root).expect("the entries can be read");
    let campaign = Campaign {
        scratch: root.join("target"),
        root,
        workers: 2,
        trial,
        cargo: CargoOptions {
            prefix: Vec::new(),
            timeout: Duration::from_secs(120),
            build_jobs: 1,
        },
    };
    let results = campaign.run(entries, |_| {}).expect("cargo can be run");
    results.into_iter().map(|result| result.verdict).collect()
}

#[test]
fn a_run_distinguishes_caught_missed_and_unbuildable_entries() {
    let caught = Verdict::Caught(vec!["three_is_too_many".into()]);
    let expected = [caught, Verdict::Missed, Verdict::DoesNotBuild];
    assert_eq!(verdicts("small-tested", Trial::Test), expected);
}

#[test]
fn compiling_alone_finds_an_entry_that_does_not_build() {
    let expected = [Verdict::Compiles, Verdict::Compiles, Verdict::DoesNotBuild];
    assert_eq!(verdicts("small-compiled", Trial::Compile), expected);
}
