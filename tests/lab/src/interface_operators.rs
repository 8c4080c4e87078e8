//! Every answer that operators are promised, checked against real processes.

use crate::fleet::wire_port;
use crate::interface::InterfaceClient;
use crate::member::Member;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::{Command, Output};
use std::time::Duration;

fn own_program(name: &str) -> Result<Command, String> {
    let own = std::env::current_exe().map_err(|error| error.to_string())?;
    Ok(Command::new(own.with_file_name(name)))
}

fn output(command: &mut Command) -> Result<Output, String> {
    command.output().map_err(|error| error.to_string())
}

fn code_of(program: &str, arguments: &[&str]) -> Result<(i32, String), String> {
    let reported = output(own_program(program)?.args(arguments))?;
    let text = String::from_utf8_lossy(&reported.stderr).into_owned();
    Ok((reported.status.code().unwrap_or(-1), text))
}

fn in_force(client: &InterfaceClient) -> Result<(u64, Value), String> {
    client
        .context
        .configuration()
        .map_err(|fault| fault.to_string())
}

pub fn bad_configurations(client: &mut InterfaceClient) -> Result<(), String> {
    let (version, configuration) = in_force(client)?;
    let mut cases: Vec<(String, &str)> = vec![("{".into(), ""), ("[]".into(), "")];
    for (field, value, path) in [
        ("memory_mb", json!(0), "listings[0].memory_mb"),
        ("memory_mb", json!(100_000), "listings[0].memory_mb"),
        ("concurrency", json!(0), "listings[0].concurrency"),
        ("kinds", json!(["odd"]), "listings[0].kinds[0]"),
        ("odd", json!(1), ""),
    ] {
        let mut bad = configuration.clone();
        bad["listings"][0][field] = value;
        cases.push((bad.to_string(), path));
    }
    for (text, path) in cases {
        let reported = client.context.fleet.put(&text, version);
        let Some((422, reported)) = reported else {
            return Err(format!("a bad blueprint was told {reported:?}"));
        };
        let faults = reported["faults"].as_array().cloned().unwrap_or_default();
        let is_reported = faults.iter().any(|fault| fault["path"] == path);
        if faults.is_empty() || (!path.is_empty() && !is_reported) {
            return Err(format!("{path:?} is not among {faults:?}"));
        }
    }
    if in_force(client)? != (version, configuration) {
        return Err("the blueprint in force changed".into());
    }
    Ok(())
}

pub fn stale_put(client: &mut InterfaceClient) -> Result<(), String> {
    let (version, configuration) = in_force(client)?;
    let reported = client
        .context
        .fleet
        .put(&configuration.to_string(), version + 7);
    match reported {
        Some((409, reported)) if reported["version"] == version => Ok(()),
        other => Err(format!("{other:?}")),
    }
}

fn refused(member: &Member) -> Result<u64, String> {
    let metrics = member.get_json("/metrics").ok_or("no metrics")?;
    metrics["wire_refused"].as_u64().ok_or("no count".into())
}

pub fn garbage(client: &mut InterfaceClient) -> Result<(), String> {
    let base = client.context.deployment.base_port;
    for member in [
        &client.context.fleet.cores[0],
        &client.context.fleet.fronts[0],
    ] {
        let before = refused(member)?;
        let oversized = [0xff, 0xff, 0xff, 0x7f, 1];
        let foreign = *b"GET / HTTP/1.1\r\n\r\n";
        for bytes in [&oversized[..], &foreign[..]] {
            let stream = TcpStream::connect(wire_port(base, &member.name));
            let mut stream = stream.map_err(|error| error.to_string())?;
            let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
            stream.write_all(bytes).map_err(|error| error.to_string())?;
            // The connection is closed by the daemon; a reset is a close too.
            if matches!(stream.read(&mut [0; 8]), Ok(count) if count > 0) {
                return Err(format!("{} answered garbage", member.name));
            }
        }
        let after = refused(member)?;
        if after < before + 2 {
            return Err(format!("{} counted {} of 2", member.name, after - before));
        }
    }
    Ok(())
}

pub fn bad_settings(client: &mut InterfaceClient) -> Result<(), String> {
    let file = client.dir.join("bad.toml");
    std::fs::write(&file, "name = 3\nodd = true\n").map_err(|error| error.to_string())?;
    let file = file.display().to_string();
    let place = ["--http", "127.0.0.1:1", "--wire", "127.0.0.1:2"];
    let cases: [&[&str]; 4] = [
        &["--settings", "/nowhere.toml"],
        &["--settings", &file],
        &["--name", "x", "--district", "a"],
        &["--name", "x", "--district", "a", "--seeds", "127.0.0.1:3"],
    ];
    for arguments in cases {
        for program in ["hallkeel-front", "hallkeel-core"] {
            let arguments: Vec<&str> = arguments.iter().chain(&place).copied().collect();
            let (code, text) = code_of(program, &arguments)?;
            if code != 2 || text.lines().count() != 1 {
                return Err(format!("{program} {arguments:?}: code {code}, {text:?}"));
            }
        }
    }
    Ok(())
}

pub fn data_folder(client: &mut InterfaceClient) -> Result<(), String> {
    let data = client.dir.join("data").join("core-0").display().to_string();
    let seeds = "127.0.0.1:3,127.0.0.1:4,127.0.0.1:5";
    let start = |name: &str| {
        let place = ["--http", "127.0.0.1:1", "--wire", "127.0.0.1:2"];
        let rest = [
            "--name",
            name,
            "--district",
            "a",
            "--seeds",
            seeds,
            "--data",
            &data,
            "--platform",
            "127.0.0.1:6",
        ];
        let arguments: Vec<&str> = place.iter().chain(&rest).copied().collect();
        code_of("hallkeel-core", &arguments)
    };
    let (code, text) = start("core-0")?;
    if code != 2 || !text.contains("in use") {
        return Err(format!("a folder in use: code {code}, {text:?}"));
    }
    let dir = client.context.fleet.dir.clone();
    client.context.fleet.cores[0].kill();
    let (code, text) = start("stranger")?;
    let identity = std::path::Path::new(&data).join("identity.json");
    let own = std::fs::read(&identity).map_err(|error| error.to_string())?;
    let newer = String::from_utf8_lossy(&own).replace("\"format\":1", "\"format\":2");
    std::fs::write(&identity, newer).map_err(|error| error.to_string())?;
    let (newer_code, newer_text) = start("core-0")?;
    std::fs::write(&identity, own).map_err(|error| error.to_string())?;
    let started = client.context.fleet.cores[0].start(&dir);
    started.map_err(|fault| fault.to_string())?;
    if code != 2 || !text.contains("belongs to") {
        return Err(format!("another's folder: code {code}, {text:?}"));
    }
    if newer_code != 2 || !newer_text.contains("newer") {
        return Err(format!("a newer format: code {newer_code}, {newer_text:?}"));
    }
    let back = client
        .context
        .fleet
        .wait_until("the core is back", |fleet| {
            let status = fleet.cores[0].get_json("/status");
            status.is_some_and(|status| status["blueprint"].as_u64() > Some(0))
        });
    back.map(|_| ()).map_err(|fault| fault.to_string())
}

pub fn tool(client: &mut InterfaceClient) -> Result<(), String> {
    let cores: Vec<String> = client
        .context
        .fleet
        .cores
        .iter()
        .map(|core| core.http.to_string())
        .collect();
    let cores = cores.join(",");
    let file = client.dir.join("put.json");
    let (version, configuration) = in_force(client)?;
    std::fs::write(&file, configuration.to_string()).map_err(|error| error.to_string())?;
    let bad = client.dir.join("bad.json");
    std::fs::write(&bad, "{}").map_err(|error| error.to_string())?;
    let (file, bad) = (file.display().to_string(), bad.display().to_string());
    let stale = (version + 9).to_string();
    let cases: [(&[&str], i32, &str); 15] = [
        (&["status", "--runners"], 0, "standing"),
        (&["status", "--json"], 0, "\"fronts\""),
        (&["get"], 0, "\"listings\""),
        (&["check", &file], 0, "good: 3 listings"),
        (&["check", &bad], 1, ""),
        (&["put", "/nowhere.json"], 2, ""),
        (&["put", &file, "--expected", &stale], 1, ""),
        (&["put", &file, "--note", "again"], 0, "is in force"),
        (
            &["change", "listings.slow-000.budget_ms=3500"],
            0,
            "is in force",
        ),
        (&["change", "listings.nothing.budget_ms=3500"], 2, ""),
        (&["evacuate", "nowhere"], 2, ""),
        (&["history"], 0, "again"),
        (&["explain", "slow-000"], 0, "capacity"),
        (&["voters", "list"], 0, "votes"),
        (&["voters", "replace", "127.0.0.1:9", "127.0.0.1:8"], 1, ""),
    ];
    for (arguments, code, text) in cases {
        let mut command = own_program("hallkeel")?;
        let reported = output(command.args(["--cores", &cores]).args(arguments))?;
        let said = String::from_utf8_lossy(&reported.stdout);
        if reported.status.code() != Some(code) || !said.contains(text) {
            let errors = String::from_utf8_lossy(&reported.stderr);
            return Err(format!(
                "{arguments:?}: {:?} {said} {errors}",
                reported.status
            ));
        }
    }
    let (_, changed) = in_force(client)?;
    match changed["listings"][2]["budget_ms"].as_u64() {
        Some(3_500) => Ok(()),
        other => Err(format!("the change left {other:?}")),
    }
}

pub fn drain(client: &mut InterfaceClient) -> Result<(), String> {
    let fleet = &mut client.context.fleet;
    let cores = fleet.cores[0].http.to_string();
    let mut command = own_program("hallkeel")?;
    let reported = output(command.args(["--cores", &cores, "drain", "front-2"]))?;
    if !reported.status.success() {
        return Err(String::from_utf8_lossy(&reported.stderr).into_owned());
    }
    match fleet.fronts[2].wait() {
        Some(0) => Ok(()),
        other => Err(format!("the front ended with {other:?}")),
    }
}
