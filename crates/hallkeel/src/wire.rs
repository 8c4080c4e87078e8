//! One question to a daemon at the address where daemons talk.

use protocol::{frame, FrameReader, Message};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(2);
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Sends a message and waits for the one that answers it.
pub fn ask(address: &SocketAddr, question: &Message) -> Result<Message, String> {
    let told = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect_timeout(address, TIMEOUT).map_err(told)?;
    stream.set_read_timeout(Some(TIMEOUT)).map_err(told)?;
    stream.write_all(&frame(question)).map_err(told)?;
    let mut bytes = Vec::new();
    let mut part = [0; 16 << 10];
    loop {
        let count = stream.read(&mut part).map_err(told)?;
        if count == 0 || bytes.len() > MAX_RESPONSE_BYTES {
            return Err("it does not answer".to_string());
        }
        bytes.extend_from_slice(&part[..count]);
        match FrameReader::new(&bytes).read::<Message>() {
            Ok(None) => {}
            Ok(Some(answer)) => return Ok(answer),
            Err(error) => return Err(error.to_string()),
        }
    }
}
