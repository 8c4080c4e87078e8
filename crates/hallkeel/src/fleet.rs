//! The command that shows gateways and controllers by what they tell at their wire addresses.

use crate::cores::CliError;
use protocol::{frame, FrameReader, Message};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(2);
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Shows what gateways and controllers tell of themselves at their wire addresses; with a function's name, what the
/// scaler thinks of it.
pub fn show(daemons: &[SocketAddr], function: Option<&str>, is_json: bool) -> Result<(), CliError> {
    if daemons.is_empty() {
        let text = "name at least one daemon's wire address".to_string();
        return Err(CliError::Input(text));
    }
    let mut answers = 0;
    for address in daemons {
        match ask(address) {
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

fn ask(address: &SocketAddr) -> Result<Value, String> {
    let reported = |error: std::io::Error| error.to_string();
    let mut line = TcpStream::connect_timeout(address, TIMEOUT).map_err(reported)?;
    line.set_read_timeout(Some(TIMEOUT)).map_err(reported)?;
    line.write_all(&frame(&Message::RequestStatus))
        .map_err(reported)?;
    let mut bytes = Vec::new();
    let mut part = [0; 16 << 10];
    loop {
        let count = line.read(&mut part).map_err(reported)?;
        if count == 0 || bytes.len() > MAX_RESPONSE_BYTES {
            return Err("it does not tell its state".to_string());
        }
        bytes.extend_from_slice(&part[..count]);
        match FrameReader::new(&bytes).read::<Message>() {
            Ok(None) => {}
            Ok(Some(Message::Status(text))) => {
                return serde_json::from_str(&text).map_err(|error| error.to_string());
            }
            Ok(Some(_)) => return Err("it answers something else".to_string()),
            Err(fault) => return Err(fault.to_string()),
        }
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
