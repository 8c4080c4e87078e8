//! Questions to a gateway at the address where daemons talk.

use crate::daemon::Daemon;
use protocol::{frame, FrameReader, Message};
use std::io::{Read, Write};
use std::net::TcpStream;

/// Port at which gateways listen for one another.
const INTERNAL_PORT: u16 = 7_301;

/// Sends a message and reads the one that answers it.
pub fn ask(gateway: &Daemon, question: &Message) -> Message {
    let mut stream = TcpStream::connect(gateway.at(INTERNAL_PORT)).unwrap();
    stream.write_all(&frame(question)).unwrap();
    let (mut bytes, mut part) = (Vec::new(), [0; 4_096]);
    loop {
        let count = stream.read(&mut part).unwrap();
        bytes.extend_from_slice(&part[..count]);
        match FrameReader::new(&bytes).read::<Message>() {
            Ok(Some(answer)) => return answer,
            Ok(None) if count > 0 => {}
            other => panic!("no answer: {other:?}"),
        }
    }
}
