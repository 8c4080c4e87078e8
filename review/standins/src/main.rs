//! Stand-ins and clients of the review's scripts: `standins CASE RECORD ROOT`. Exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod deployment;
mod http;
mod keys;
mod platform;
mod readiness;
mod record;
mod relay;
mod seats;

use record::Record;
use std::path::Path;
use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record_path, root] = arguments.as_slice() else {
        eprintln!("standins CASE RECORD ROOT");
        return ExitCode::from(2);
    };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(record_path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("the record cannot be written: {error}");
            return ExitCode::from(2);
        }
    };
    let root = Path::new(root);
    let verdict = match case.as_str() {
        "keys" => keys::play(root, &record, with_trouble),
        "seats" => seats::play(root, &record, with_trouble),
        "readiness" => readiness::play(root, &record, with_trouble),
        _ => Err("no such case".to_string()),
    };
    match verdict {
        Ok(Verdict::Held) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Err(reason) => {
            record.say(&format!("the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
