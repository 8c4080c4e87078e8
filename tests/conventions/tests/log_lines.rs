//! Each log line at level info and above is listed in the table of `docs/operators.md`.

use conventions::{names, Workspace};

/// Returns a log line in the form used in the table: `zones={zones:?}` becomes `zones=…`.
fn table_form(line: &str) -> String {
    let mut text = String::new();
    let mut rest = line;
    while let Some((before, after)) = rest.split_once('{') {
        let Some((_, remaining)) = after.split_once('}') else {
            break;
        };
        text.push_str(before);
        text.push('…');
        rest = remaining;
    }
    text + rest
}

#[test]
fn log_lines_of_done_crates_are_listed_in_the_operators_table() {
    let workspace = Workspace::find();
    let page = workspace.read("docs/operators.md");
    let mut missing = Vec::new();
    let mut checked = 0;
    for folder in workspace.done_crates() {
        for file in workspace.sources(&folder) {
            for line in names::log_lines(&file) {
                checked += 1;
                let row = format!("| `{}` |", table_form(&line));
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
fn placeholders_are_replaced_by_ellipses() {
    assert_eq!(
        table_form("gateway: drained in_flight={}"),
        "gateway: drained in_flight=…"
    );
    assert_eq!(table_form("a={a:?} b={b}"), "a=… b=…");
    assert_eq!(table_form("nothing"), "nothing");
}
