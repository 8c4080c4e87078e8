//! Scripted runner responses: raw bytes to write instead of a response, and how to end the connection.

use http1::Request;
use socket2::SockRef;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// Header with the raw bytes, in hexadecimal, that the first runner of a request writes.
pub const BYTES: &str = "X-Bytes";
/// Header with what the runner does after writing the bytes: the name of a variant of [`Then`].
pub const THEN: &str = "X-Then";
/// Header with more bytes, in hexadecimal, that the runner writes 4 ms later if the connection stays open.
pub const LATER: &str = "X-Later";

const LATER_DELAY: Duration = Duration::from_millis(4);

/// What a runner does with the connection after writing the scripted bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Then {
    Close,
    Reset,
    Stay,
}

/// Raw bytes that a runner writes instead of a response.
pub struct RunnerScript {
    bytes: Vec<u8>,
    later: Vec<u8>,
    then: Then,
}

impl RunnerScript {
    pub fn of(request: &Request) -> Option<Self> {
        let text = |name: &str| request.headers.get_text(name).unwrap_or("");
        request.headers.get(THEN)?;
        let then = match text(THEN) {
            "Close" => Then::Close,
            "Reset" => Then::Reset,
            _ => Then::Stay,
        };
        let (bytes, later) = (from_hex(text(BYTES)), from_hex(text(LATER)));
        Some(Self { bytes, later, then })
    }

    /// Writes the bytes. Returns whether the connection stays open.
    pub fn play(self, stream: &mut TcpStream) -> bool {
        let is_written = stream.write_all(&self.bytes).is_ok();
        match self.then {
            Then::Close => {
                let _ = stream.shutdown(Shutdown::Both);
            }
            Then::Reset => {
                // With a linger time of zero, closing the socket sends RST.
                let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
            }
            Then::Stay => {
                self.write_later(stream);
                return is_written;
            }
        }
        false
    }

    fn write_later(self, stream: &TcpStream) {
        let Ok(mut stream) = stream.try_clone() else {
            return;
        };
        if self.later.is_empty() {
            return;
        }
        std::thread::spawn(move || {
            std::thread::sleep(LATER_DELAY);
            let _ = stream.write_all(&self.later);
        });
    }
}

pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let pairs = text.as_bytes().chunks(2);
    let pairs = pairs.filter_map(|pair| std::str::from_utf8(pair).ok());
    pairs
        .filter_map(|pair| u8::from_str_radix(pair, 16).ok())
        .collect()
}
