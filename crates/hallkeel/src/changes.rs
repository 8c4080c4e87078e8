//! Commands that change the configuration, the voters or a daemon.

use crate::cores::{ask, CliError, Cores};
use crate::fronts::KnownFronts;
use oxhttp::model::Method;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;

/// Times that a small change is tried again when another operator was faster.
const MAX_CONFLICTS: usize = 5;

fn read_file(file: &Path) -> Result<Vec<u8>, CliError> {
    std::fs::read(file).map_err(|error| CliError::Input(format!("{}: {error}", file.display())))
}

fn print_pretty(value: &Value) {
    println!(
        "{}",
        serde_json::to_string_pretty(value).unwrap_or_default()
    );
}

fn in_force(cores: &Cores) -> Result<(u64, Value), CliError> {
    let reported = cores.ask_good(Method::GET, "/blueprint", &[])?;
    let version = reported["version"].as_u64().unwrap_or(0);
    Ok((version, reported["blueprint"].clone()))
}

/// Prints the blueprint in force.
pub fn get(cores: &Cores) -> Result<(), CliError> {
    let (version, configuration) = in_force(cores)?;
    eprintln!("version {version}");
    print_pretty(&configuration);
    Ok(())
}

/// Prints how the blueprint came to be.
pub fn history(cores: &Cores) -> Result<(), CliError> {
    let reported = cores.ask_good(Method::GET, "/blueprint/history", &[])?;
    for line in reported.as_array().into_iter().flatten() {
        println!(
            "version {} at {} ms by {} {}",
            line["version"],
            line["at_unix_ms"],
            line["core"].as_str().unwrap_or("?"),
            line["note"].as_str().unwrap_or_default()
        );
    }
    Ok(())
}

/// Checks a file without putting it.
pub fn check(cores: &Cores, file: &Path) -> Result<(), CliError> {
    let reported = cores.ask_good(Method::POST, "/blueprint/check", &read_file(file)?)?;
    println!("good: {} listings", reported["listings"]);
    Ok(())
}

// A note goes into a query; what would need escaping becomes a '-'.
fn put_path(expected: u64, note: &str) -> String {
    let plain: String = note
        .chars()
        .map(|letter| {
            if letter.is_ascii_alphanumeric() || letter == '.' {
                letter
            } else {
                '-'
            }
        })
        .collect();
    format!("/blueprint?expected={expected}&note={plain}")
}

fn reported_in_force(reported: &Value) {
    println!(
        "version {} is in force: held by {} of {} fronts after {} ms",
        reported["version"], reported["fronts"], reported["roster"], reported["took_ms"]
    );
}

/// Puts a file.
pub fn put(cores: &Cores, file: &Path, expected: Option<u64>, note: &str) -> Result<(), CliError> {
    let text = read_file(file)?;
    let expected = match expected {
        Some(expected) => expected,
        None => in_force(cores)?.0,
    };
    let reported = cores.ask_good(Method::PUT, &put_path(expected, note), &text)?;
    reported_in_force(&reported);
    Ok(())
}

/// Reads, changes and puts the whole blueprint; where another operator was faster, again.
fn rewrite(
    cores: &Cores,
    note: &str,
    edit: impl Fn(&mut Value) -> Result<(), CliError>,
) -> Result<(), CliError> {
    for _ in 0..MAX_CONFLICTS {
        let (expected, mut configuration) = in_force(cores)?;
        edit(&mut configuration)?;
        let body = serde_json::to_vec(&configuration).unwrap_or_default();
        let path = put_path(expected, note);
        let (status, reported) = cores.ask(Method::PUT, &path, &body)?;
        match status {
            200 => {
                reported_in_force(&reported);
                return Ok(());
            }
            409 => continue,
            _ => {
                return cores
                    .ask_good(Method::PUT, &path, &body)
                    .map(|reported| reported_in_force(&reported))
            }
        }
    }
    Err(CliError::Refused(
        "other operators were faster each time; nothing was changed".into(),
    ))
}

/// The place that a path names; lists of named things are gone into by name.
fn place<'a>(configuration: &'a mut Value, path: &str) -> Option<&'a mut Value> {
    path.split('.')
        .try_fold(configuration, |here, step| match here {
            Value::Object(fields) => fields.get_mut(step),
            Value::Array(items) => items.iter_mut().find(|item| item["name"] == step),
            _ => None,
        })
}

/// Changes single fields.
pub fn change(cores: &Cores, fields: &[String]) -> Result<(), CliError> {
    let mut edits = Vec::new();
    for field in fields {
        let Some((path, value)) = field.split_once('=') else {
            let text = format!("{field:?} is not of the form path=value");
            return Err(CliError::Input(text));
        };
        let value = serde_json::from_str(value).unwrap_or_else(|_| Value::String(value.into()));
        edits.push((path, value));
    }
    rewrite(cores, &fields.join("."), |configuration| {
        for (path, value) in &edits {
            let Some(found) = place(configuration, path) else {
                return Err(CliError::Input(format!("the blueprint has no {path}")));
            };
            *found = value.clone();
        }
        Ok(())
    })
}

/// Sets the state of a district.
pub fn zone(cores: &Cores, name: &str, state: &str) -> Result<(), CliError> {
    rewrite(cores, &format!("{name}.{state}"), |configuration| {
        let Some(found) = place(configuration, &format!("districts.{name}")) else {
            return Err(CliError::Input(format!("there is no district {name:?}")));
        };
        found["state"] = state.into();
        Ok(())
    })
}

/// Tells a front to drain and stop.
pub fn drain(cores: &Cores, name: &str) -> Result<(), CliError> {
    let Some(address) = KnownFronts::ask(cores)?.address_of(name) else {
        return Err(CliError::Input(format!("no front {name:?} is known")));
    };
    match ask(Method::POST, address, "/drain", &[]) {
        Some((202, _)) => {
            println!("{name} drains; it stops when its work is done");
            Ok(())
        }
        Some((_, reported)) => Err(CliError::Refused(reported.to_string())),
        None => Err(CliError::Unreached(format!("{name} does not answer"))),
    }
}

/// Puts an empty core in the place of a voter.
pub fn replace_voter(cores: &Cores, old: SocketAddr, new: SocketAddr) -> Result<(), CliError> {
    let path = format!("/voters/replace?old={old}&new={new}");
    let reported = cores.ask_good(Method::POST, &path, &[])?;
    println!(
        "{new} takes the place of {old}: era {}, set {}",
        reported["era"], reported["no"]
    );
    Ok(())
}
