use crate::cores::ToolFault;
use protocol::{frame, Frames, Message};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(2);
const ANSWER_MAX: usize = 32 << 20;

/// Shows what gateways and controllers tell of themselves at their wire addresses; with a function's name, what the
/// scaler thinks of it.
pub fn show(
    daemons: &[SocketAddr],
    function: Option<&str>,
    is_json: bool,
) -> Result<(), ToolFault> {
    if daemons.is_empty() {
        let text = "name at least one daemon's wire address".to_string();
        return Err(ToolFault::Input(text));
    }
    let mut answers = 0;
    for address in daemons {
        match ask(address) {
            Ok(told) => {
                answers += 1;
                match function {
                    None => print(address, &told, is_json),
                    Some(name) => explain(&told, name),
                }
            }
            Err(reason) => eprintln!("{address}: {reason}"),
        }
    }
    if answers == 0 {
        return Err(ToolFault::Unreached("no daemon answered".to_string()));
    }
    Ok(())
}

fn ask(address: &SocketAddr) -> Result<Value, String> {
    let told = |error: std::io::Error| error.to_string();
    let mut line = TcpStream::connect_timeout(address, PATIENCE).map_err(told)?;
    line.set_read_timeout(Some(PATIENCE)).map_err(told)?;
    line.write_all(&frame(&Message::RequestStatus))
        .map_err(told)?;
    let mut bytes = Vec::new();
    let mut part = [0; 16 << 10];
    loop {
        let count = line.read(&mut part).map_err(told)?;
        if count == 0 || bytes.len() > ANSWER_MAX {
            return Err("it does not tell its state".to_string());
        }
        bytes.extend_from_slice(&part[..count]);
        match Frames::new(&bytes).read::<Message>() {
            Ok(None) => {}
            Ok(Some(Message::Status(text))) => {
                return serde_json::from_str(&text).map_err(|error| error.to_string());
            }
            Ok(Some(_)) => return Err("it answers something else".to_string()),
            Err(fault) => return Err(fault.to_string()),
        }
    }
}

fn print(address: &SocketAddr, told: &Value, is_json: bool) {
    if is_json {
        println!("{told}");
        return;
    }
    let fields = told.as_object().into_iter().flatten();
    let fields = fields.filter(|(name, _)| *name != "functions");
    let text: Vec<String> = fields
        .map(|(name, value)| format!("{name} {value}"))
        .collect();
    println!("{address}  {}", text.join("  "));
}

fn explain(told: &Value, name: &str) {
    let functions = told["functions"].as_array().into_iter().flatten();
    for function in functions.filter(|function| function["function"] == name) {
        let fields = function.as_object().into_iter().flatten();
        for (field, value) in fields {
            println!("{field:>10}  {value}");
        }
    }
}
