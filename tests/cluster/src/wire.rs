//! Protocol messages to a gateway's internal port.

use crate::daemon::Daemon;
use protocol::{frame, FrameReader, Message};
use std::io::{Read, Write};
use std::net::TcpStream;

/// Port on which gateways listen for other gateways.
const INTERNAL_PORT: u16 = 7_301;

/// Sends a message on a new connection and returns the response.
pub fn exchange(gateway: &Daemon, request: &Message) -> Message {
    let mut stream = TcpStream::connect(gateway.at(INTERNAL_PORT)).unwrap();
    stream.write_all(&frame(request)).unwrap();
    let (mut bytes, mut chunk) = (Vec::new(), [0; 4_096]);
    loop {
        let count = stream.read(&mut chunk).unwrap();
        bytes.extend_from_slice(&chunk[..count]);
        match FrameReader::new(&bytes).read::<Message>() {
            Ok(Some(response)) => return response,
            Ok(None) if count > 0 => {}
            other => panic!("no response: {other:?}"),
        }
    }
}
