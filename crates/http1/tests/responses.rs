//! Fuzz tests of responses: a whole response is read back unchanged however it is split, and a
//! truncated one never looks complete.

mod common;

use common::{chunked, fields, piecewise, read_response, Draws, LIMITS};
use fuzzing::seeded;
use http1::{end_to_end, write_response, Headers, HttpError, Response, ResponseReader};

struct Sent {
    response: Response,
    is_head: bool,
    ends_at_close: bool,
    bytes: Vec<u8>,
}

/// A random response and how a peer might serialize it.
fn send(body: &[u8], draws: &mut Draws<'_>) -> Sent {
    let status = [200, 204, 304, 404, 500, 503, 599][draws.below(7)];
    let is_head = draws.below(4) == 0;
    let has_body = !is_head && status != 204 && status != 304;
    let mut fields = fields(draws);
    let mut keeps_alive = true;
    if draws.below(4) == 0 {
        fields.push(("Connection".into(), b"close".to_vec()));
        keeps_alive = false;
    }
    let mut ends_at_close = false;
    let mut framed = body.to_vec();
    match draws.below(3) {
        0 => {
            fields.push(("Transfer-Encoding".into(), b"chunked".to_vec()));
            framed = chunked(body, draws);
            keeps_alive &= status != 204;
        }
        1 => {
            fields.push(("Content-Length".into(), body.len().to_string().into()));
            keeps_alive &= status != 204 || body.is_empty();
        }
        _ => {
            ends_at_close = has_body;
            keeps_alive &= !has_body;
        }
    }
    let (headers, mut bytes) = written_head(status, &fields, draws);
    let body = if has_body { body } else { &[] };
    bytes.extend_from_slice(if has_body { &framed } else { &[] });
    Sent {
        response: response(status, headers, body, keeps_alive),
        is_head,
        ends_at_close,
        bytes,
    }
}

fn response(status: u16, headers: Headers, body: &[u8], keeps_alive: bool) -> Response {
    Response {
        status,
        headers,
        body: body.to_vec(),
        keeps_alive,
    }
}

/// A head, preceded by some interim responses.
fn written_head(
    status: u16,
    fields: &[(String, Vec<u8>)],
    draws: &mut Draws<'_>,
) -> (Headers, Vec<u8>) {
    let mut bytes = Vec::new();
    for _ in 0..draws.below(3) {
        bytes.extend_from_slice(b"HTTP/1.1 103 Early\r\nLink: a\r\n\r\n");
    }
    let reason = draws.one_of(&[" OK", " Not Good", " ", ""]);
    bytes.extend_from_slice(format!("HTTP/1.1 {status}{reason}\r\n").as_bytes());
    let mut headers = Headers::new();
    for (name, value) in fields {
        headers.push(name, value);
        bytes.extend_from_slice(&[name.as_bytes(), b": ", value, b"\r\n"].concat());
    }
    bytes.extend_from_slice(b"\r\n");
    (headers, bytes)
}

fn texts(headers: &Headers) -> Vec<(&str, &[u8])> {
    headers.iter().collect()
}

fn is_same(sent: &Response, read: &Response) -> bool {
    texts(&sent.headers) == texts(&read.headers)
        && (sent.status, &sent.body, sent.keeps_alive)
            == (read.status, &read.body, read.keeps_alive)
}

seeded! {
    fn a_response_parses_the_same_in_any_pieces(body: Vec<u8>, draws: Vec<u8>, trailing: Vec<u8>) -> bool {
        let mut draws = Draws::new(&draws);
        let sent = send(&body, &mut draws);
        let mut reader = ResponseReader::new(sent.is_head);
        if sent.ends_at_close {
            let read = piecewise(&sent.bytes, &mut draws, |buffer| reader.read(buffer, &LIMITS));
            let Ok((None, mut buffer)) = read else {
                return false;
            };
            let ended = reader.end_of_stream(&mut buffer);
            return matches!(ended, Ok(Some(read)) if is_same(&sent.response, &read)) && buffer.is_empty();
        }
        let whole = [&sent.bytes[..], &trailing].concat();
        let read = piecewise(&whole, &mut draws, |buffer| reader.read(buffer, &LIMITS));
        let Ok((Some(read), rest)) = read else {
            return false;
        };
        is_same(&sent.response, &read) && rest == trailing
    }

    fn a_truncated_response_is_an_error(body: Vec<u8>, draws: Vec<u8>) -> bool {
        let mut draws = Draws::new(&draws);
        let sent = send(&body, &mut draws);
        if sent.ends_at_close {
            return true;
        }
        let cut = draws.below(sent.bytes.len());
        let mut reader = ResponseReader::new(sent.is_head);
        let read = piecewise(&sent.bytes[..cut], &mut draws, |buffer| reader.read(buffer, &LIMITS));
        let Ok((None, mut buffer)) = read else {
            return false;
        };
        let has_begun = reader.has_begun(&buffer);
        let ended = reader.end_of_stream(&mut buffer);
        has_begun == (cut > 0) && if cut == 0 { ended == Ok(None) } else { ended.is_err() }
    }

    fn a_written_response_parses_back(body: Vec<u8>, draws: Vec<u8>, keeps_alive: bool) -> bool {
        let sent = send(&body, &mut Draws::new(&draws));
        let (response, is_head) = (&sent.response, sent.is_head);
        let mut buffer = Vec::new();
        let fields = end_to_end(&response.headers, &[]);
        write_response(&mut buffer, response.status, fields, &response.body, keeps_alive, is_head);
        let Ok(Some(read)) = ResponseReader::new(is_head).read(&mut buffer, &LIMITS) else {
            return false;
        };
        buffer.is_empty()
            && (read.status, &read.body, read.keeps_alive) == (response.status, &response.body, keeps_alive)
            && end_to_end(&read.headers, &[]).eq(end_to_end(&response.headers, &[]))
    }

    fn whatever_parses_is_written_so_that_it_parses_back(bytes: Vec<u8>, is_head: bool) -> bool {
        let field = [b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", &bytes[..], b"\r\n\r\n"].concat();
        let chunks = [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", &bytes[..]].concat();
        let line = [b"HTTP/1.", &bytes[..], b"\r\n\r\n"].concat();
        [bytes, field, chunks, line].iter().all(|bytes| {
            let mut buffer = bytes.clone();
            let Ok(Some(first)) = ResponseReader::new(is_head).read(&mut buffer, &LIMITS) else {
                return true;
            };
            let mut out = Vec::new();
            write_response(&mut out, first.status, end_to_end(&first.headers, &[]), &first.body, true, is_head);
            let again = ResponseReader::new(is_head).read(&mut out, &LIMITS);
            matches!(again, Ok(Some(again)) if out.is_empty()
                && (first.status, &first.body) == (again.status, &again.body)
                && end_to_end(&first.headers, &[]).eq(end_to_end(&again.headers, &[])))
        })
    }
}

#[test]
fn malformed_responses_are_rejected() {
    let heads: [&[u8]; 29] = [
        b"\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        b"garbage",
        b"\x00",
        b"HTTP/2.0 200 OK\r\n\r\n",
        b"HTTP/1.2 200 OK\r\n\r\n",
        b"HTTP/1.1  200 OK\r\n\r\n",
        b"HTTP/1.1 20 OK\r\n\r\n",
        b"HTTP/1.1 099 OK\r\n\r\n",
        b"HTTP/1.1 600 OK\r\n\r\n",
        b"HTTP/1.1 2000 OK\r\n\r\n",
        b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\nContent-Length: 0\n\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\n\r\n",
        b"HTTP/1.1 200 OK\r\nA: b\rc\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nA : b\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1, 1\r\n\r\na",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: +1\r\n\r\na",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\na\r\n",
    ];
    for head in heads {
        let read = read_response(head);
        assert!(
            read.is_err(),
            "{:?}: {read:?}",
            String::from_utf8_lossy(head)
        );
    }
}

#[test]
fn an_error_is_permanent() {
    let mut reader = ResponseReader::new(false);
    let error = reader.read(&mut b"SSH-2.0".to_vec(), &LIMITS);
    assert!(error.is_err());
    let mut proper = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_vec();
    assert_eq!(reader.read(&mut proper, &LIMITS), error);
    assert_eq!(reader.end_of_stream(&mut proper), error);
}

#[test]
fn bodies_over_the_limit_are_rejected() {
    let heads: [&[u8]; 2] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n",
    ];
    for head in heads {
        assert_eq!(read_response(head), Err(HttpError::BodyTooLarge));
    }
    let mut endless = b"HTTP/1.1 200 OK\r\n\r\n".to_vec();
    endless.resize(endless.len() + LIMITS.body_bytes, b'a');
    assert_eq!(read_response(&endless), Ok(None));
    endless.push(b'a');
    assert_eq!(read_response(&endless), Err(HttpError::BodyTooLarge));
    let interims = b"HTTP/1.1 103 Early\r\n\r\n".repeat(1000);
    assert_eq!(read_response(&interims), Err(HttpError::HeadTooLarge));
}
