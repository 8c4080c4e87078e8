//! Commands that show the fleet of cores and fronts: status, explain, voters, metrics.

use crate::cores::{ask_for_state, CliError, CoreAnswer, Cores};
use crate::fronts::KnownFronts;
use oxhttp::model::Method;
use serde_json::{json, Value};
use std::thread;
use std::time::Duration;

/// A clock that is off by less is not worth a word, in milliseconds.
const MAX_CLOCK_SKEW_MS: i64 = 1_000;

/// Everything that the daemons tell of themselves.
struct Fleet {
    cores: Vec<CoreAnswer>,
    fronts: Vec<(String, Option<Value>)>,
}

fn look(cores: &Cores, path: &str) -> Result<Fleet, CliError> {
    let statuses = cores.statuses()?;
    let known = KnownFronts::from_statuses(&statuses);
    let fronts = known.addresses().map(|(name, address)| {
        let reported = address.and_then(|address| ask_for_state(address, path));
        (name.clone(), reported)
    });
    Ok(Fleet {
        fronts: fronts.collect(),
        cores: if path == "/status" {
            statuses
        } else {
            cores.ask_all(path)
        },
    })
}

fn text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_string)
}

/// Shows the fleet once.
pub fn status(cores: &Cores, as_json: bool, with_runners: bool) -> Result<(), CliError> {
    let fleet = look(cores, "/status")?;
    if as_json {
        let all: Vec<Value> = fleet
            .cores
            .iter()
            .map(
                |(address, reported)| json!({ "address": address.to_string(), "status": reported }),
            )
            .collect();
        let fronts: Vec<Value> = fleet
            .fronts
            .iter()
            .map(|(name, reported)| json!({ "name": name, "status": reported }))
            .collect();
        let whole = json!({ "cores": all, "fronts": fronts });
        println!(
            "{}",
            serde_json::to_string_pretty(&whole).unwrap_or_default()
        );
        return Ok(());
    }
    show_daemons(&fleet);
    let scaling = fleet
        .cores
        .iter()
        .filter_map(|(_, reported)| reported.as_ref())
        .find(|reported| reported["duty"]["here"] == true);
    let Some(core) = scaling else {
        println!("no core scales now");
        return Ok(());
    };
    show_functions(core);
    if with_runners {
        show_runners(core);
    }
    show_clocks(core);
    Ok(())
}

fn show_daemons(fleet: &Fleet) {
    println!(
        "{:<12} {:<9} {:>9} {:>7}  state",
        "daemon", "district", "blueprint", "plan"
    );
    for (address, reported) in &fleet.cores {
        match reported {
            None => println!("{address:<12} does not answer"),
            Some(reported) => show_core(reported),
        }
    }
    for (name, reported) in &fleet.fronts {
        match reported {
            None => println!("{name:<12} does not answer"),
            Some(reported) => show_front(name, reported),
        }
    }
}

fn show_core(reported: &Value) {
    let role = match reported["duty"]["here"] == true {
        true => format!(", scales (term {})", reported["duty"]["term"]),
        false => String::new(),
    };
    println!(
        "{:<12} {:<9} {:>9} {:>7}  era {}, {} keys{role}",
        text(&reported["name"]),
        text(&reported["district"]),
        text(&reported["blueprint"]),
        text(&reported["plan"]),
        reported["era"],
        reported["keys"],
    );
}

fn show_front(name: &str, reported: &Value) {
    let standing = match reported["standing"] == true {
        true => "standing",
        false => "no standing",
    };
    let draining = match reported["draining"] == true {
        true => ", draining",
        false => "",
    };
    println!(
        "{name:<12} {:<9} {:>9} {:>7}  {standing}{draining}, keeps {} runners",
        text(&reported["district"]),
        text(&reported["blueprint"]["no"]),
        text(&reported["plan"]["no"]),
        reported["runners"].as_array().map_or(0, Vec::len)
    );
}

/// Daemons whose wall clocks are off, by the first core that answers.
fn show_clocks(core: &Value) {
    for clock in core["clocks"].as_array().into_iter().flatten() {
        let off_ms = clock["off_ms"].as_i64().unwrap_or(0);
        if off_ms.abs() >= MAX_CLOCK_SKEW_MS {
            let name = text(&clock["name"]);
            println!("{name}: its clock is off by {off_ms} ms; it refuses once-keys or soon will");
        }
    }
}

fn show_functions(core: &Value) {
    println!(
        "\n{:<24} {:>8} {:>8} {:>8} {:>7} {:>5} {:>7}  last decision",
        "function", "demand/s", "fcast/s", "cap/s", "runners", "seats", "waiting"
    );
    let functions = core["functions"].as_object().cloned().unwrap_or_default();
    for (name, note) in &functions {
        let number = |field: &str| note[field].as_f64().unwrap_or(0.0);
        println!(
            "{name:<24} {:>8.1} {:>8.1} {:>8.1} {:>7} {:>5} {:>7}  {}",
            number("demand"),
            number("forecast"),
            number("capacity"),
            text(&note["runners"]),
            text(&note["seats"]),
            text(&note["waiting"]),
            text(&note["reason"])
        );
    }
}

fn show_runners(core: &Value) {
    println!(
        "\n{:<28} {:<12} {:<22} {:>5} {:>7} {:<10} {:>5} {:<9} fitness",
        "runner", "worker", "address", "quota", "pace ms", "keeper", "epoch", "state"
    );
    for runner in core["runners"].as_array().into_iter().flatten() {
        println!(
            "{:<28} {:<12} {:<22} {:>5} {:>7} {:<10} {:>5} {:<9} {}",
            text(&runner["id"]),
            text(&runner["worker"]),
            text(&runner["address"]),
            text(&runner["quota"]),
            text(&runner["pace_ms"]),
            text(&runner["keeper"]),
            text(&runner["epoch"]),
            text(&runner["state"]),
            text(&runner["fitness"])
        );
    }
}

/// Shows the fleet until Ctrl-C.
pub fn watch(cores: &Cores, every: u64) -> Result<(), CliError> {
    loop {
        print!("\x1b[2J\x1b[H");
        status(cores, false, false)?;
        thread::sleep(Duration::from_secs(every.max(1)));
    }
}

/// Tells why a function has what it has.
pub fn explain(cores: &Cores, function: &str) -> Result<(), CliError> {
    let reported = cores.ask_good(Method::GET, &format!("/explain/{function}"), &[])?;
    let note = &reported["note"];
    let number = |field: &str| note[field].as_f64().unwrap_or(0.0);
    println!("function   {function}");
    println!("measured   {:.2} requests a second", number("measured"));
    println!("forecast   {:.2} requests a second", number("forecast"));
    println!("waiting    {} tickets", note["waiting"]);
    println!(
        "demand     {:.2} requests a second, with what waits",
        number("demand")
    );
    println!(
        "capacity   {:.2} requests a second from {} runners with {} seats",
        number("capacity"),
        note["runners"],
        note["seats"]
    );
    match note["pace_ms"].as_f64() {
        Some(pace) => println!("pace       {pace:.1} ms an answer, as learnt"),
        None => println!("pace       not learnt yet"),
    }
    println!("decision   {}", text(&note["reason"]));
    for runner in reported["runners"].as_array().into_iter().flatten() {
        println!(
            "runner     {} on {} ({}), quota {}, keeper {} epoch {}, {}, {}",
            text(&runner["id"]),
            text(&runner["worker"]),
            text(&runner["district"]),
            runner["quota"],
            text(&runner["keeper"]),
            runner["epoch"],
            text(&runner["state"]),
            text(&runner["fitness"])
        );
    }
    Ok(())
}

/// Prints every daemon's counts.
pub fn metrics(cores: &Cores) -> Result<(), CliError> {
    let fleet = look(cores, "/metrics")?;
    let core_counts = fleet
        .cores
        .into_iter()
        .map(|(address, reported)| (address.to_string(), reported));
    let all: serde_json::Map<String, Value> = core_counts
        .chain(fleet.fronts)
        .map(|(name, reported)| (name, reported.unwrap_or(Value::Null)))
        .collect();
    println!("{}", serde_json::to_string_pretty(&all).unwrap_or_default());
    Ok(())
}

/// Shows the voters.
pub fn voters(cores: &Cores) -> Result<(), CliError> {
    let reported = cores.ask_good(Method::GET, "/voters", &[])?;
    println!("era {}, set {}", reported["era"], reported["no"]);
    for voter in reported["voters"].as_array().into_iter().flatten() {
        let state = match (voter["answers"].as_bool(), voter["votes"].as_bool()) {
            (Some(true), Some(true)) => "votes",
            (Some(true), _) => "answers, but does not vote",
            _ => "does not answer",
        };
        println!(
            "{:<24} disk {:<18} {state}",
            text(&voter["address"]),
            text(&voter["disk"])
        );
    }
    Ok(())
}
