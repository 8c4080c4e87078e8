//! The command that shows gateways and controllers by what they tell at their wire addresses.

use crate::cores::CliError;
use crate::wire::ask;
use protocol::Message;
use serde_json::Value;
use std::net::SocketAddr;

/// Shows what gateways and controllers tell of themselves at their wire addresses; with a function's name, what the
/// scaler thinks of it.
pub fn show(daemons: &[SocketAddr], function: Option<&str>, is_json: bool) -> Result<(), CliError> {
    if daemons.is_empty() {
        let text = "name at least one daemon's wire address".to_string();
        return Err(CliError::Input(text));
    }
    let mut answers = 0;
    for address in daemons {
        match state(address) {
            Ok(reported) => {
                answers += 1;
                match function {
                    None => print(address, &reported, is_json),
                    Some(name) => explain(&reported, name),
                }
            }
            Err(reason) => eprintln!("{address}: {reason}"),
        }
    }
    if answers == 0 {
        return Err(CliError::Unreached("no daemon answered".to_string()));
    }
    Ok(())
}

fn state(address: &SocketAddr) -> Result<Value, String> {
    match ask(address, &Message::RequestStatus)? {
        Message::Status(text) => serde_json::from_str(&text).map_err(|error| error.to_string()),
        _ => Err("it answers something else".to_string()),
    }
}

fn print(address: &SocketAddr, reported: &Value, is_json: bool) {
    if is_json {
        println!("{reported}");
        return;
    }
    let fields = reported.as_object().into_iter().flatten();
    let fields = fields.filter(|(name, _)| *name != "functions");
    let text: Vec<String> = fields
        .map(|(name, value)| format!("{name} {value}"))
        .collect();
    println!("{address}  {}", text.join("  "));
}

fn explain(reported: &Value, name: &str) {
    let functions = reported["functions"].as_array().into_iter().flatten();
    for function in functions.filter(|function| function["function"] == name) {
        let fields = function.as_object().into_iter().flatten();
        for (field, value) in fields {
            println!("{field:>10}  {value}");
        }
    }
}
