//! Plays one case of the review: `standins-3 SCENARIO FOLDER`, started at the root of the repository by the case's
//! `run.sh`. It starts the released daemons as processes, and simulates the platform, the runners, the clients and the
//! operator. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod deployment;
mod http;
mod platform;
mod record;

use std::sync::Arc;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, folder] = arguments.as_slice() else {
        eprintln!("usage: standins-3 SCENARIO FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(record::Record::create(&format!("{folder}/record.txt")));
    record.line(&format!(
        "scenario {scenario}, trouble {}",
        u8::from(trouble)
    ));
    // Ends the case in time, whatever hangs.
    let limit = Arc::clone(&record);
    std::thread::spawn(move || {
        std::thread::sleep(std::time::Duration::from_secs(112));
        limit.line("the case ran out of time");
        deployment::end_all();
        std::process::exit(2);
    });
    let result = cases::play(scenario, trouble, &record);
    deployment::end_all();
    let code = match result {
        Ok(found) if found.is_empty() => {
            record.line("the rule held");
            0
        }
        Ok(found) => {
            for one in &found {
                record.line(&format!("BROKEN: {one}"));
                println!("BROKEN: {one}");
            }
            1
        }
        Err(reason) => {
            record.line(&format!("could not run: {reason}"));
            eprintln!("could not run: {reason}");
            2
        }
    };
    std::process::exit(code);
}
