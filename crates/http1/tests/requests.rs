//! Fuzz tests of requests: a whole request is read back unchanged however it is split, and nothing
//! is accepted as a request that another reader would interpret differently.

mod common;

use common::{chunked, fields, piecewise, read_request, Draws, LIMITS};
use fuzzing::seeded;
use http1::{end_to_end, write_request, Request, RequestReader};

struct Sent {
    method: &'static str,
    target: String,
    fields: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
    keeps_alive: bool,
    is_http_1_0: bool,
    bytes: Vec<u8>,
}

fn send(body: &[u8], draws: &mut Draws<'_>) -> Sent {
    let method = draws.one_of(&["GET", "POST", "PUT", "DELETE", "OPTIONS", "X-Y"]);
    let is_http_1_0 = draws.below(4) == 0;
    let mut target = String::from("/");
    for _ in 0..draws.below(12) {
        target.push_str(draws.one_of(&["a", "/", "?", "%20", "&=", "..", "~", "{}", "|"]));
    }
    if method == "OPTIONS" {
        target = "*".into();
    }
    let body = if draws.below(4) == 0 { &[] } else { body };
    let mut fields = fields(draws);
    let place = draws.below(fields.len() + 1);
    fields.insert(place, ("hOst".into(), b"dese56.example:80".to_vec()));
    let connection = draws.one_of(&["", "close", "keep-alive", "X, Close", "te,Keep-Alive"]);
    if !connection.is_empty() {
        fields.push(("Connection".into(), connection.into()));
    }
    let lower = connection.to_lowercase();
    let keeps_alive = !lower.contains("close") && (!is_http_1_0 || lower.contains("keep-alive"));
    let mut framed = body.to_vec();
    if !is_http_1_0 && draws.below(2) == 0 {
        let coding = draws.one_of(&["chunked", "Chunked"]);
        fields.push(("Transfer-Encoding".into(), coding.into()));
        framed = chunked(body, draws);
    } else if !body.is_empty() || draws.below(2) == 0 {
        fields.push(("content-length".into(), body.len().to_string().into()));
    }
    let version = if is_http_1_0 { "1.0" } else { "1.1" };
    let first_line = format!("{method} {target} HTTP/{version}\r\n");
    let mut bytes = written_head(&first_line, &fields, draws);
    bytes.extend_from_slice(&framed);
    Sent {
        method,
        target,
        fields,
        body: body.to_vec(),
        keeps_alive,
        is_http_1_0,
        bytes,
    }
}

/// A head with random white space, and sometimes an empty line before it.
fn written_head(first_line: &str, fields: &[(String, Vec<u8>)], draws: &mut Draws<'_>) -> Vec<u8> {
    let mut bytes = draws.one_of(&["", "", "\r\n"]).as_bytes().to_vec();
    bytes.extend_from_slice(first_line.as_bytes());
    for (name, value) in fields {
        bytes.extend_from_slice(name.as_bytes());
        bytes.extend_from_slice(draws.one_of(&[":", ": ", ":\t "]).as_bytes());
        bytes.extend_from_slice(value);
        bytes.extend_from_slice(draws.one_of(&["\r\n", " \r\n"]).as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}

fn is_same(sent: &Sent, read: &Request) -> bool {
    let fields: Vec<_> = read
        .headers
        .iter()
        .map(|(name, value)| (name.to_owned(), value.to_vec()))
        .collect();
    sent.method == read.method
        && sent.target == read.target
        && sent.fields == fields
        && sent.body == read.body
        && sent.keeps_alive == read.keeps_alive
        && sent.is_http_1_0 == read.is_http_1_0
}

fn reads_back(request: &Request, written: &[u8]) -> bool {
    let mut buffer = written.to_vec();
    let Ok(Some(again)) = RequestReader::new().read(&mut buffer, &LIMITS) else {
        return false;
    };
    let fields_of = |request: &Request| {
        let fields = end_to_end(&request.headers, &[]);
        let fields = fields.map(|(name, value)| (name.to_owned(), value.to_vec()));
        fields
            .filter(|(name, value)| name != "Host" || !value.is_empty())
            .collect::<Vec<_>>()
    };
    buffer.is_empty()
        && again.method == request.method
        && again.target == request.target
        && again.body == request.body
        && fields_of(&again) == fields_of(request)
}

fn write(request: &Request) -> Vec<u8> {
    let mut out = Vec::new();
    let fields = end_to_end(&request.headers, &[]);
    write_request(
        &mut out,
        &request.method,
        &request.target,
        fields,
        &request.body,
    );
    out
}

fn reads_back_all(bytes: &[u8]) -> bool {
    let mut buffer = bytes.to_vec();
    let mut reader = RequestReader::new();
    while let Ok(Some(request)) = reader.read(&mut buffer, &LIMITS) {
        if !reads_back(&request, &write(&request)) {
            return false;
        }
    }
    true
}

seeded! {
    fn a_request_parses_the_same_in_any_pieces(body: Vec<u8>, draws: Vec<u8>, trailing: Vec<u8>) -> bool {
        let mut draws = Draws::new(&draws);
        let sent = send(&body, &mut draws);
        let mut whole = sent.bytes.clone();
        whole.extend_from_slice(&trailing);
        let mut reader = RequestReader::new();
        let read = piecewise(&whole, &mut draws, |buffer| reader.read(buffer, &LIMITS));
        let Ok((Some(request), rest)) = read else {
            return false;
        };
        is_same(&sent, &request) && rest == trailing
    }

    fn pipelined_requests_are_read_one_by_one(first: Vec<u8>, second: Vec<u8>, draws: Vec<u8>) -> bool {
        let mut draws = Draws::new(&draws);
        let sent = [send(&first, &mut draws), send(&second, &mut draws)];
        let mut buffer = [sent[0].bytes.clone(), sent[1].bytes.clone()].concat();
        let mut reader = RequestReader::new();
        sent.iter().all(|sent| {
            let request = reader.read(&mut buffer, &LIMITS);
            matches!(request, Ok(Some(request)) if is_same(sent, &request))
        }) && buffer.is_empty() && !reader.has_begun(&buffer)
    }

    fn a_partial_request_is_not_returned(body: Vec<u8>, draws: Vec<u8>) -> bool {
        let mut draws = Draws::new(&draws);
        let sent = send(&body, &mut draws);
        let cut = draws.below(sent.bytes.len());
        let mut reader = RequestReader::new();
        let mut buffer = sent.bytes[..cut].to_vec();
        let is_none = matches!(reader.read(&mut buffer, &LIMITS), Ok(None));
        is_none && reader.has_begun(&buffer) == (sent.bytes[..cut].trim_ascii() != b"")
    }

    fn a_written_request_parses_back(body: Vec<u8>, draws: Vec<u8>) -> bool {
        let sent = send(&body, &mut Draws::new(&draws));
        let request = read_request(&sent.bytes);
        matches!(request, Ok(Some(request)) if reads_back(&request, &write(&request)))
    }

    fn whatever_parses_is_written_so_that_it_parses_back(bytes: Vec<u8>) -> bool {
        let headed = [b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", &bytes[..]].concat();
        let field = [b"GET / HTTP/1.1\r\nHost: a\r\n", &bytes[..], b"\r\n\r\n"].concat();
        let target = [b"GET /", &bytes[..], b" HTTP/1.1\r\nHost: a\r\n\r\n"].concat();
        [bytes, headed, field, target].iter().all(|bytes| reads_back_all(bytes))
    }

    fn damaged_requests_that_parse_parse_back(body: Vec<u8>, draws: Vec<u8>, damage: Vec<(u16, u8)>) -> bool {
        let mut bytes = send(&body, &mut Draws::new(&draws)).bytes;
        for (place, byte) in damage.into_iter().take(3) {
            let place = usize::from(place) % bytes.len();
            match byte % 4 {
                0 => bytes[place] = byte,
                1 => bytes.insert(place, b"\r\n :;,0\0"[usize::from(byte / 4) % 8]),
                2 => drop(bytes.remove(place)),
                _ => bytes[place] = b"\r\n :;,0\0"[usize::from(byte / 4) % 8],
            }
        }
        reads_back_all(&bytes)
    }

    fn pieces_do_not_change_the_result(bytes: Vec<u8>, body: Vec<u8>, draws: Vec<u8>, place: u16) -> bool {
        let mut draws = Draws::new(&draws);
        let mut whole = send(&body, &mut draws).bytes;
        let place = usize::from(place) % whole.len();
        whole.splice(place..place, bytes.into_iter().take(2));
        let at_once = read_request(&whole);
        let mut reader = RequestReader::new();
        let read = piecewise(&whole, &mut draws, |buffer| reader.read(buffer, &LIMITS));
        match (at_once, read) {
            (Ok(at_once), Ok((in_pieces, _))) => at_once == in_pieces,
            (Err(_), Err(_)) => true,
            _ => false,
        }
    }
}
