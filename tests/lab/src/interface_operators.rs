use crate::fleet::wire_port;
use crate::interface::Desk;
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
    let told = output(own_program(program)?.args(arguments))?;
    let text = String::from_utf8_lossy(&told.stderr).into_owned();
    Ok((told.status.code().unwrap_or(-1), text))
}

fn in_force(desk: &Desk) -> Result<(u64, Value), String> {
    desk.stage.blueprint().map_err(|fault| fault.to_string())
}

pub fn bad_blueprints(desk: &mut Desk) -> Result<(), String> {
    let (version, blueprint) = in_force(desk)?;
    let mut cases: Vec<(String, &str)> = vec![("{".into(), ""), ("[]".into(), "")];
    for (field, value, path) in [
        ("memory_mb", json!(0), "listings[0].memory_mb"),
        ("memory_mb", json!(100_000), "listings[0].memory_mb"),
        ("concurrency", json!(0), "listings[0].concurrency"),
        ("kinds", json!(["odd"]), "listings[0].kinds[0]"),
        ("odd", json!(1), ""),
    ] {
        let mut bad = blueprint.clone();
        bad["listings"][0][field] = value;
        cases.push((bad.to_string(), path));
    }
    for (text, path) in cases {
        let told = desk.stage.fleet.put(&text, version);
        let Some((422, told)) = told else {
            return Err(format!("a bad blueprint was told {told:?}"));
        };
        let faults = told["faults"].as_array().cloned().unwrap_or_default();
        let is_told = faults.iter().any(|fault| fault["path"] == path);
        if faults.is_empty() || (!path.is_empty() && !is_told) {
            return Err(format!("{path:?} is not among {faults:?}"));
        }
    }
    if in_force(desk)? != (version, blueprint) {
        return Err("the blueprint in force changed".into());
    }
    Ok(())
}

pub fn stale_put(desk: &mut Desk) -> Result<(), String> {
    let (version, blueprint) = in_force(desk)?;
    let told = desk.stage.fleet.put(&blueprint.to_string(), version + 7);
    match told {
        Some((409, told)) if told["version"] == version => Ok(()),
        other => Err(format!("{other:?}")),
    }
}

fn refused(member: &Member) -> Result<u64, String> {
    let metrics = member.get_json("/metrics").ok_or("no metrics")?;
    metrics["wire_refused"].as_u64().ok_or("no count".into())
}

pub fn garbage(desk: &mut Desk) -> Result<(), String> {
    let base = desk.stage.deployment.base_port;
    for member in [&desk.stage.fleet.cores[0], &desk.stage.fleet.fronts[0]] {
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

pub fn bad_settings(desk: &mut Desk) -> Result<(), String> {
    let file = desk.dir.join("bad.toml");
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

pub fn data_folder(desk: &mut Desk) -> Result<(), String> {
    let data = desk.dir.join("data").join("core-0").display().to_string();
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
    let dir = desk.stage.fleet.dir.clone();
    desk.stage.fleet.cores[0].kill();
    let (code, text) = start("stranger")?;
    let identity = std::path::Path::new(&data).join("identity.json");
    let own = std::fs::read(&identity).map_err(|error| error.to_string())?;
    let newer = String::from_utf8_lossy(&own).replace("\"format\":1", "\"format\":2");
    std::fs::write(&identity, newer).map_err(|error| error.to_string())?;
    let (newer_code, newer_text) = start("core-0")?;
    std::fs::write(&identity, own).map_err(|error| error.to_string())?;
    let started = desk.stage.fleet.cores[0].start(&dir);
    started.map_err(|fault| fault.to_string())?;
    if code != 2 || !text.contains("belongs to") {
        return Err(format!("another's folder: code {code}, {text:?}"));
    }
    if newer_code != 2 || !newer_text.contains("newer") {
        return Err(format!("a newer format: code {newer_code}, {newer_text:?}"));
    }
    let back = desk.stage.fleet.wait_until("the core is back", |fleet| {
        let status = fleet.cores[0].get_json("/status");
        status.is_some_and(|status| status["blueprint"].as_u64() > Some(0))
    });
    back.map(|_| ()).map_err(|fault| fault.to_string())
}

pub fn tool(desk: &mut Desk) -> Result<(), String> {
    let cores: Vec<String> = desk
        .stage
        .fleet
        .cores
        .iter()
        .map(|core| core.http.to_string())
        .collect();
    let cores = cores.join(",");
    let file = desk.dir.join("put.json");
    let (version, blueprint) = in_force(desk)?;
    std::fs::write(&file, blueprint.to_string()).map_err(|error| error.to_string())?;
    let bad = desk.dir.join("bad.json");
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
        let told = output(command.args(["--cores", &cores]).args(arguments))?;
        let said = String::from_utf8_lossy(&told.stdout);
        if told.status.code() != Some(code) || !said.contains(text) {
            let errors = String::from_utf8_lossy(&told.stderr);
            return Err(format!("{arguments:?}: {:?} {said} {errors}", told.status));
        }
    }
    let (_, changed) = in_force(desk)?;
    match changed["listings"][2]["budget_ms"].as_u64() {
        Some(3_500) => Ok(()),
        other => Err(format!("the change left {other:?}")),
    }
}

pub fn drain(desk: &mut Desk) -> Result<(), String> {
    let fleet = &mut desk.stage.fleet;
    let cores = fleet.cores[0].http.to_string();
    let mut command = own_program("hallkeel")?;
    let told = output(command.args(["--cores", &cores, "drain", "front-2"]))?;
    if !told.status.success() {
        return Err(String::from_utf8_lossy(&told.stderr).into_owned());
    }
    match fleet.fronts[2].wait() {
        Some(0) => Ok(()),
        other => Err(format!("the front ended with {other:?}")),
    }
}
