//! A single request to a daemon over the wire protocol.

use protocol::{frame, FrameReader, Message};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(2);
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Sends a message and waits for the response.
pub fn request(address: &SocketAddr, message: &Message) -> Result<Message, String> {
    let to_text = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect_timeout(address, TIMEOUT).map_err(to_text)?;
    stream.set_read_timeout(Some(TIMEOUT)).map_err(to_text)?;
    stream.write_all(&frame(message)).map_err(to_text)?;
    let mut bytes = Vec::new();
    let mut chunk = [0; 16 << 10];
    loop {
        let count = stream.read(&mut chunk).map_err(to_text)?;
        if count == 0 || bytes.len() > MAX_RESPONSE_BYTES {
            return Err("no valid response".to_string());
        }
        bytes.extend_from_slice(&chunk[..count]);
        match FrameReader::new(&bytes).read::<Message>() {
            Ok(None) => {}
            Ok(Some(response)) => return Ok(response),
            Err(error) => return Err(error.to_string()),
        }
    }
}
