//! Commands that show the state of cores and fronts: status, watch, explain, metrics and voters.

use crate::cores::{get_json, CliError, CoreResponse, Cores};
use crate::fronts::KnownFronts;
use oxhttp::model::Method;
use serde_json::{json, Value};
use std::thread;
use std::time::Duration;

/// Smallest clock skew that is reported, in milliseconds.
const MAX_CLOCK_SKEW_MS: i64 = 1_000;

/// The responses of all daemons for one path; `None` for a daemon that doesn't respond.
struct Fleet {
    cores: Vec<CoreResponse>,
    fronts: Vec<(String, Option<Value>)>,
}

fn fetch_fleet(cores: &Cores, path: &str) -> Result<Fleet, CliError> {
    let statuses = cores.statuses()?;
    let known = KnownFronts::from_statuses(&statuses);
    let fronts = known.addresses().map(|(name, address)| {
        let response = address.and_then(|address| get_json(address, path));
        (name.clone(), response)
    });
    Ok(Fleet {
        fronts: fronts.collect(),
        cores: if path == "/status" {
            statuses
        } else {
            cores.get_from_all(path)
        },
    })
}

fn text(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_string)
}

/// Prints the status of the fleet once, as tables or as JSON.
pub fn status(cores: &Cores, as_json: bool, with_runners: bool) -> Result<(), CliError> {
    let fleet = fetch_fleet(cores, "/status")?;
    if as_json {
        let all: Vec<Value> = fleet
            .cores
            .iter()
            .map(
                |(address, response)| json!({ "address": address.to_string(), "status": response }),
            )
            .collect();
        let fronts: Vec<Value> = fleet
            .fronts
            .iter()
            .map(|(name, response)| json!({ "name": name, "status": response }))
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
        .filter_map(|(_, response)| response.as_ref())
        .find(|response| response["duty"]["here"] == true);
    let Some(core) = scaling else {
        println!("no core holds the scaling role");
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
    for (address, response) in &fleet.cores {
        match response {
            None => println!("{address:<12} does not answer"),
            Some(response) => show_core(response),
        }
    }
    for (name, response) in &fleet.fronts {
        match response {
            None => println!("{name:<12} does not answer"),
            Some(response) => show_front(name, response),
        }
    }
}

fn show_core(response: &Value) {
    let role = match response["duty"]["here"] == true {
        true => format!(", scales (term {})", response["duty"]["term"]),
        false => String::new(),
    };
    println!(
        "{:<12} {:<9} {:>9} {:>7}  era {}, {} keys{role}",
        text(&response["name"]),
        text(&response["district"]),
        text(&response["blueprint"]),
        text(&response["plan"]),
        response["era"],
        response["keys"],
    );
}

fn show_front(name: &str, response: &Value) {
    let standing = match response["standing"] == true {
        true => "standing",
        false => "no standing",
    };
    let draining = match response["draining"] == true {
        true => ", draining",
        false => "",
    };
    println!(
        "{name:<12} {:<9} {:>9} {:>7}  {standing}{draining}, keeps {} runners",
        text(&response["district"]),
        text(&response["blueprint"]["no"]),
        text(&response["plan"]["no"]),
        response["runners"].as_array().map_or(0, Vec::len)
    );
}

/// Prints the daemons whose wall clocks are skewed, as measured by the scaling core.
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
    for (name, function_status) in &functions {
        let number = |field: &str| function_status[field].as_f64().unwrap_or(0.0);
        println!(
            "{name:<24} {:>8.1} {:>8.1} {:>8.1} {:>7} {:>5} {:>7}  {}",
            number("demand"),
            number("forecast"),
            number("capacity"),
            text(&function_status["runners"]),
            text(&function_status["seats"]),
            text(&function_status["waiting"]),
            text(&function_status["reason"])
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

/// Clears the terminal and prints the status every `every` seconds until Ctrl-C.
pub fn watch(cores: &Cores, every: u64) -> Result<(), CliError> {
    loop {
        print!("\x1b[2J\x1b[H");
        status(cores, false, false)?;
        thread::sleep(Duration::from_secs(every.max(1)));
    }
}

/// Prints the measurements and the decision behind a function's runners and quotas.
pub fn explain(cores: &Cores, function: &str) -> Result<(), CliError> {
    let response = cores.request_ok(Method::GET, &format!("/explain/{function}"), &[])?;
    let function_status = &response["note"];
    let number = |field: &str| function_status[field].as_f64().unwrap_or(0.0);
    println!("function   {function}");
    println!("measured   {:.2} requests a second", number("measured"));
    println!("forecast   {:.2} requests a second", number("forecast"));
    println!("waiting    {} requests", function_status["waiting"]);
    println!(
        "demand     {:.2} requests a second, with what waits",
        number("demand")
    );
    println!(
        "capacity   {:.2} requests a second from {} runners with {} seats",
        number("capacity"),
        function_status["runners"],
        function_status["seats"]
    );
    match function_status["pace_ms"].as_f64() {
        Some(pace) => println!("pace       {pace:.1} ms per response (learned)"),
        None => println!("pace       not learned yet"),
    }
    println!("decision   {}", text(&function_status["reason"]));
    for runner in response["runners"].as_array().into_iter().flatten() {
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

/// Prints the metrics of every daemon as JSON.
pub fn metrics(cores: &Cores) -> Result<(), CliError> {
    let fleet = fetch_fleet(cores, "/metrics")?;
    let core_metrics = fleet
        .cores
        .into_iter()
        .map(|(address, response)| (address.to_string(), response));
    let all: serde_json::Map<String, Value> = core_metrics
        .chain(fleet.fronts)
        .map(|(name, response)| (name, response.unwrap_or(Value::Null)))
        .collect();
    println!("{}", serde_json::to_string_pretty(&all).unwrap_or_default());
    Ok(())
}

/// Prints the voter set and whether each voter responds and votes.
pub fn voters(cores: &Cores) -> Result<(), CliError> {
    let response = cores.request_ok(Method::GET, "/voters", &[])?;
    println!("era {}, set {}", response["era"], response["no"]);
    for voter in response["voters"].as_array().into_iter().flatten() {
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
