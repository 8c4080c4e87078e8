//! Operators find each log line in the table of `docs/operators.md`.

use conventions::{names, Workspace};

/// A log line as the table shows it: `zones={zones:?}` stands as `zones=…`.
fn shown(line: &str) -> String {
    let mut shown = String::new();
    let mut rest = line;
    while let Some((before, after)) = rest.split_once('{') {
        let Some((_, remaining)) = after.split_once('}') else {
            break;
        };
        shown.push_str(before);
        shown.push('…');
        rest = remaining;
    }
    shown + rest
}

#[test]
fn log_lines_of_done_crates_stand_in_the_operators_table() {
    let workspace = Workspace::find();
    let page = workspace.read("docs/operators.md");
    let mut missing = Vec::new();
    let mut checked = 0;
    for folder in workspace.done_crates() {
        for file in workspace.sources(&folder) {
            for line in names::log_lines(&file) {
                checked += 1;
                let row = format!("| `{}` |", shown(&line));
                if !page.contains(&row) {
                    missing.push(format!("{}: {line}", file.path.display()));
                }
            }
        }
    }
    assert!(checked > 20, "only {checked} log lines were found");
    assert!(missing.is_empty(), "{}", missing.join("\n"));
}

#[test]
fn placeholders_are_shown_as_dots() {
    assert_eq!(
        shown("gateway: drained in_flight={}"),
        "gateway: drained in_flight=…"
    );
    assert_eq!(shown("a={a:?} b={b}"), "a=… b=…");
    assert_eq!(shown("nothing"), "nothing");
}
