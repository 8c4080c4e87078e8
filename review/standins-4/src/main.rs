//! Stand-ins and scenarios of the review's scripts: the platform, runners, an operator and clients on loopback, and the
//! daemons of the deploy file as child processes. Usage: `review-standins-4 SCENARIO FOLDER`, at the repository's root.

mod configuration;
mod deployment;
mod first_start;
mod http;
mod planned_removal;
mod platform;
mod record;

use std::process::exit;

/// Result of a scenario that ran.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standins-4 SCENARIO FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = record::Record::create(folder).unwrap_or_else(|error| {
        eprintln!("no record: {error}");
        exit(2);
    });
    let result = match scenario.as_str() {
        "planned-removal" => planned_removal::run(&record, has_trouble),
        "first-start" => first_start::run(&record, has_trouble),
        _ => Err(format!("unknown scenario {scenario}")),
    };
    let (text, code) = match result {
        Ok(Verdict::Held) => ("the rule held".to_string(), 0),
        Ok(Verdict::Broken) => ("the rule was broken".to_string(), 1),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.line(&format!("verdict: {text}"));
    println!("{text}");
    exit(code);
}
