//! The `fleet` command: shows the status of gateways and controllers, requested over the wire protocol.

use crate::cores::CliError;
use crate::wire::request;
use protocol::Message;
use serde_json::Value;
use std::net::SocketAddr;

/// Shows the status of the daemons at these wire addresses, or only the scaler's status of one function.
pub fn show(daemons: &[SocketAddr], function: Option<&str>, is_json: bool) -> Result<(), CliError> {
    if daemons.is_empty() {
        let text = "name at least one daemon's wire address".to_string();
        return Err(CliError::Input(text));
    }
    let mut response_count = 0;
    for address in daemons {
        match request_status(address) {
            Ok(status) => {
                response_count += 1;
                match function {
                    None => print(address, &status, is_json),
                    Some(name) => print_function(&status, name),
                }
            }
            Err(reason) => eprintln!("{address}: {reason}"),
        }
    }
    if response_count == 0 {
        return Err(CliError::Unreachable("no daemon responded".to_string()));
    }
    Ok(())
}

fn request_status(address: &SocketAddr) -> Result<Value, String> {
    match request(address, &Message::RequestStatus)? {
        Message::Status(text) => serde_json::from_str(&text).map_err(|error| error.to_string()),
        _ => Err("unexpected response".to_string()),
    }
}

fn print(address: &SocketAddr, status: &Value, is_json: bool) {
    if is_json {
        println!("{status}");
        return;
    }
    let fields = status.as_object().into_iter().flatten();
    let fields = fields.filter(|(name, _)| *name != "functions");
    let text: Vec<String> = fields
        .map(|(name, value)| format!("{name} {value}"))
        .collect();
    println!("{address}  {}", text.join("  "));
}

fn print_function(status: &Value, name: &str) {
    let functions = status["functions"].as_array().into_iter().flatten();
    for function in functions.filter(|function| function["function"] == name) {
        let fields = function.as_object().into_iter().flatten();
        for (field, value) in fields {
            println!("{field:>10}  {value}");
        }
    }
}
