use crate::cores::{ask, Cores, ToolFault};
use oxhttp::model::Method;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;

/// Times that a small change is tried again when another operator was faster.
const RACES_MAX: usize = 5;

fn read_file(file: &Path) -> Result<Vec<u8>, ToolFault> {
    std::fs::read(file).map_err(|error| ToolFault::Input(format!("{}: {error}", file.display())))
}

fn print_pretty(value: &Value) {
    println!(
        "{}",
        serde_json::to_string_pretty(value).unwrap_or_default()
    );
}

fn in_force(cores: &Cores) -> Result<(u64, Value), ToolFault> {
    let told = cores.ask_good(Method::GET, "/blueprint", &[])?;
    let version = told["version"].as_u64().unwrap_or(0);
    Ok((version, told["blueprint"].clone()))
}

/// Prints the blueprint in force.
pub fn get(cores: &Cores) -> Result<(), ToolFault> {
    let (version, blueprint) = in_force(cores)?;
    eprintln!("version {version}");
    print_pretty(&blueprint);
    Ok(())
}

/// Prints how the blueprint came to be.
pub fn history(cores: &Cores) -> Result<(), ToolFault> {
    let told = cores.ask_good(Method::GET, "/blueprint/history", &[])?;
    for line in told.as_array().into_iter().flatten() {
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
pub fn check(cores: &Cores, file: &Path) -> Result<(), ToolFault> {
    let told = cores.ask_good(Method::POST, "/blueprint/check", &read_file(file)?)?;
    println!("good: {} listings", told["listings"]);
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

fn told_in_force(told: &Value) {
    println!(
        "version {} is in force: held by {} of {} fronts after {} ms",
        told["version"], told["fronts"], told["roster"], told["took_ms"]
    );
}

/// Puts a file.
pub fn put(cores: &Cores, file: &Path, expected: Option<u64>, note: &str) -> Result<(), ToolFault> {
    let text = read_file(file)?;
    let expected = match expected {
        Some(expected) => expected,
        None => in_force(cores)?.0,
    };
    let told = cores.ask_good(Method::PUT, &put_path(expected, note), &text)?;
    told_in_force(&told);
    Ok(())
}

/// Reads, changes and puts the whole blueprint; where another operator was faster, again.
fn rewrite(
    cores: &Cores,
    note: &str,
    edit: impl Fn(&mut Value) -> Result<(), ToolFault>,
) -> Result<(), ToolFault> {
    for _ in 0..RACES_MAX {
        let (expected, mut blueprint) = in_force(cores)?;
        edit(&mut blueprint)?;
        let body = serde_json::to_vec(&blueprint).unwrap_or_default();
        let path = put_path(expected, note);
        let (status, told) = cores.ask(Method::PUT, &path, &body)?;
        match status {
            200 => {
                told_in_force(&told);
                return Ok(());
            }
            409 => continue,
            _ => {
                return cores
                    .ask_good(Method::PUT, &path, &body)
                    .map(|told| told_in_force(&told))
            }
        }
    }
    Err(ToolFault::Refused(
        "other operators were faster each time; nothing was changed".into(),
    ))
}

/// The place that a path names; lists of named things are gone into by name.
fn place<'a>(blueprint: &'a mut Value, path: &str) -> Option<&'a mut Value> {
    path.split('.')
        .try_fold(blueprint, |here, step| match here {
            Value::Object(fields) => fields.get_mut(step),
            Value::Array(items) => items.iter_mut().find(|item| item["name"] == step),
            _ => None,
        })
}

/// Changes single fields.
pub fn change(cores: &Cores, fields: &[String]) -> Result<(), ToolFault> {
    let mut edits = Vec::new();
    for field in fields {
        let Some((path, value)) = field.split_once('=') else {
            let text = format!("{field:?} is not of the form path=value");
            return Err(ToolFault::Input(text));
        };
        let value = serde_json::from_str(value).unwrap_or_else(|_| Value::String(value.into()));
        edits.push((path, value));
    }
    rewrite(cores, &fields.join("."), |blueprint| {
        for (path, value) in &edits {
            let Some(found) = place(blueprint, path) else {
                return Err(ToolFault::Input(format!("the blueprint has no {path}")));
            };
            *found = value.clone();
        }
        Ok(())
    })
}

/// Sets the state of a district.
pub fn district(cores: &Cores, name: &str, state: &str) -> Result<(), ToolFault> {
    rewrite(cores, &format!("{name}.{state}"), |blueprint| {
        let Some(found) = place(blueprint, &format!("districts.{name}")) else {
            return Err(ToolFault::Input(format!("there is no district {name:?}")));
        };
        found["state"] = state.into();
        Ok(())
    })
}

/// Tells a front to drain and stop.
pub fn drain(cores: &Cores, name: &str) -> Result<(), ToolFault> {
    let status = cores.ask_good(Method::GET, "/status", &[])?;
    let fronts = status["fronts"].as_array().cloned().unwrap_or_default();
    let found = fronts.iter().find(|front| front["name"] == name);
    let address: Option<SocketAddr> = found.and_then(|front| front["http"].as_str()?.parse().ok());
    let Some(address) = address else {
        return Err(ToolFault::Input(format!("no front {name:?} is known")));
    };
    match ask(Method::POST, address, "/drain", &[]) {
        Some((202, _)) => {
            println!("{name} drains; it stops when its work is done");
            Ok(())
        }
        Some((_, told)) => Err(ToolFault::Refused(told.to_string())),
        None => Err(ToolFault::Unreached(format!("{name} does not answer"))),
    }
}

/// Puts an empty core in the place of a voter.
pub fn replace_voter(cores: &Cores, old: SocketAddr, new: SocketAddr) -> Result<(), ToolFault> {
    let path = format!("/voters/replace?old={old}&new={new}");
    let told = cores.ask_good(Method::POST, &path, &[])?;
    println!(
        "{new} takes the place of {old}: era {}, set {}",
        told["era"], told["no"]
    );
    Ok(())
}
