//! Commands that read or change the configuration, replace a voter or drain a front.

use crate::cores::{request, CliError, Cores};
use crate::fronts::KnownFronts;
use oxhttp::model::Method;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;

/// How often an edit is attempted if other operators change the configuration at the same time.
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

fn current_configuration(cores: &Cores) -> Result<(u64, Value), CliError> {
    let response = cores.request_ok(Method::GET, "/blueprint", &[])?;
    let version = response["version"].as_u64().unwrap_or(0);
    Ok((version, response["blueprint"].clone()))
}

/// Prints the current configuration, and its version on stderr.
pub fn get(cores: &Cores) -> Result<(), CliError> {
    let (version, configuration) = current_configuration(cores)?;
    eprintln!("version {version}");
    print_pretty(&configuration);
    Ok(())
}

/// Prints the history of configuration versions.
pub fn history(cores: &Cores) -> Result<(), CliError> {
    let response = cores.request_ok(Method::GET, "/blueprint/history", &[])?;
    for line in response.as_array().into_iter().flatten() {
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

/// Validates a configuration file without applying it.
pub fn check(cores: &Cores, file: &Path) -> Result<(), CliError> {
    let response = cores.request_ok(Method::POST, "/blueprint/check", &read_file(file)?)?;
    println!("good: {} listings", response["listings"]);
    Ok(())
}

// The note is sent as a query parameter: characters that might need escaping are replaced by '-'.
fn put_path(expected: u64, note: &str) -> String {
    let sanitized: String = note
        .chars()
        .map(|character| {
            if character.is_ascii_alphanumeric() || character == '.' {
                character
            } else {
                '-'
            }
        })
        .collect();
    format!("/blueprint?expected={expected}&note={sanitized}")
}

fn print_applied(response: &Value) {
    println!(
        "version {} is in force: held by {} of {} fronts after {} ms",
        response["version"], response["fronts"], response["roster"], response["took_ms"]
    );
}

/// Replaces the configuration with the content of a file if `expected`, or else the current version, is in effect.
pub fn put(cores: &Cores, file: &Path, expected: Option<u64>, note: &str) -> Result<(), CliError> {
    let text = read_file(file)?;
    let expected = match expected {
        Some(expected) => expected,
        None => current_configuration(cores)?.0,
    };
    let response = cores.request_ok(Method::PUT, &put_path(expected, note), &text)?;
    print_applied(&response);
    Ok(())
}

/// Reads, edits and writes back the whole configuration; repeats this if another operator changed it in between (409).
fn edit_configuration(
    cores: &Cores,
    note: &str,
    edit: impl Fn(&mut Value) -> Result<(), CliError>,
) -> Result<(), CliError> {
    for _ in 0..MAX_CONFLICTS {
        let (expected, mut configuration) = current_configuration(cores)?;
        edit(&mut configuration)?;
        let body = serde_json::to_vec(&configuration).unwrap_or_default();
        let path = put_path(expected, note);
        let (status, response) = cores.request(Method::PUT, &path, &body)?;
        match status {
            200 => {
                print_applied(&response);
                return Ok(());
            }
            409 => continue,
            _ => {
                return cores
                    .request_ok(Method::PUT, &path, &body)
                    .map(|response| print_applied(&response))
            }
        }
    }
    Err(CliError::Rejected(
        "each attempt conflicted with another operator's change; nothing was changed".into(),
    ))
}

/// Finds the value at a dotted path; items of a list are selected by their `name` field.
fn find_value<'a>(configuration: &'a mut Value, path: &str) -> Option<&'a mut Value> {
    path.split('.')
        .try_fold(configuration, |parent, segment| match parent {
            Value::Object(fields) => fields.get_mut(segment),
            Value::Array(items) => items.iter_mut().find(|item| item["name"] == segment),
            _ => None,
        })
}

/// Sets individual fields; each argument is `path=value`.
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
    edit_configuration(cores, &fields.join("."), |configuration| {
        for (path, value) in &edits {
            let Some(found) = find_value(configuration, path) else {
                return Err(CliError::Input(format!(
                    "the configuration has no field {path}"
                )));
            };
            *found = value.clone();
        }
        Ok(())
    })
}

/// Sets the state of a zone (a `district` in the configuration).
pub fn zone(cores: &Cores, name: &str, state: &str) -> Result<(), CliError> {
    edit_configuration(cores, &format!("{name}.{state}"), |configuration| {
        let Some(found) = find_value(configuration, &format!("districts.{name}")) else {
            return Err(CliError::Input(format!("there is no district {name:?}")));
        };
        found["state"] = state.into();
        Ok(())
    })
}

/// Asks a front to drain and stop.
pub fn drain(cores: &Cores, name: &str) -> Result<(), CliError> {
    let Some(address) = KnownFronts::fetch(cores)?.address_of(name) else {
        return Err(CliError::Input(format!("no front {name:?} is known")));
    };
    match request(Method::POST, address, "/drain", &[]) {
        Some((202, _)) => {
            println!("{name} drains; it stops when its work is done");
            Ok(())
        }
        Some((_, response)) => Err(CliError::Rejected(response.to_string())),
        None => Err(CliError::Unreachable(format!("{name} does not respond"))),
    }
}

/// Replaces a voter with an empty core.
pub fn replace_voter(cores: &Cores, old: SocketAddr, new: SocketAddr) -> Result<(), CliError> {
    let path = format!("/voters/replace?old={old}&new={new}");
    let response = cores.request_ok(Method::POST, &path, &[])?;
    println!(
        "{new} takes the place of {old}: era {}, set {}",
        response["era"], response["no"]
    );
    Ok(())
}
