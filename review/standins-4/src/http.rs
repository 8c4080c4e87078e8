//! The little of HTTP/1.1 that the stand-ins speak: bodies with a length, one request at a time.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line, without its line end.
    pub first: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl Message {
    /// The first value of a header; the name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message; `None` if the peer has closed, fell silent or sent something else.
pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message {
        first: read_line(reader)?,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        let header = (name.trim().to_ascii_lowercase(), value.trim().to_string());
        message.headers.push(header);
    }
    let length = message.header("content-length").unwrap_or("0");
    message.body = vec![0; length.parse().ok()?];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    let length = reader.read_line(&mut line).ok()?;
    (length > 0).then(|| line.trim_end_matches(['\r', '\n']).to_string())
}

/// Writes a message: `first` is the request line or the status line.
pub fn write(
    stream: &mut TcpStream,
    first: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut out = format!("{first}\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = out.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Sends one request on a new connection and reads its answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let host = address.to_string();
    let has_host = headers.iter().any(|(name, _)| *name == "Host");
    let mut all = headers.to_vec();
    if !has_host {
        all.insert(0, ("Host", host.as_str()));
    }
    write(
        &mut stream,
        &format!("{method} {path} HTTP/1.1"),
        &all,
        body,
    )
    .ok()?;
    read(&mut BufReader::new(stream))
}
