//! Requests whose end two parties could interpret differently are rejected, as are those over a limit.

mod common;

use common::{piecewise, read_request, Draws, LIMITS};
use http1::{HttpError, MessageLimits, RequestReader};

const CHUNKED: &str = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Heads whose end, framing or target two readers could interpret differently.
const AMBIGUOUS_HEADS: [&[u8]; 52] = [
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\ncontent-length: 1\r\n\r\na",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1, 1\r\n\r\na",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n\r\na",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\na",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\na",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0x1\r\n\r\na",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1 1\r\n\r\na",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1.0\r\n\r\na",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 18446744073709551617\r\n\r\na",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: \x0b1\r\n\r\na",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 1\r\n\r\na",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length\t: 1\r\n\r\na",
        b"POST / HTTP/1.1\r\nHost: a\r\n Content-Length: 1\r\n\r\na",
        b"POST / HTTP/1.1\r\n Host: a\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding:\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: identity\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked,\r\n\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: \"chunked\"\r\n\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked;q=1\r\n\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n",
        b"POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"GET / HTTP/1.1\nHost: a\n\n",
        b"GET / HTTP/1.1\r\nHost: a\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\n\n",
        b"GET / HTTP/1.1\rHost: a\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a\rX: b\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\nX: b\0c\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n folded\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\n: b\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\nno colon\r\n\r\n",
        b"GET / HTTP/1.1\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a, b\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a/b\r\n\r\n",
        b"GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n",
        b"CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n",
        b"GET * HTTP/1.1\r\nHost: a\r\n\r\n",
        b"GET /\x01 HTTP/1.1\r\nHost: a\r\n\r\n",
        b"GET /a b HTTP/1.1\r\nHost: a\r\n\r\n",
        b"GET  / HTTP/1.1\r\nHost: a\r\n\r\n",
        b"GET /\r\n\r\n",
    ];

fn status_of(bytes: &[u8]) -> Option<u16> {
    let at_once = read_request(bytes).map_err(|error| error.status().code());
    let mut reader = RequestReader::new();
    let in_pieces = piecewise(bytes, &mut Draws::new(&[0]), |buffer| {
        reader.read(buffer, &LIMITS)
    });
    let in_pieces = in_pieces.map_err(|error| error.status().code());
    let text = String::from_utf8_lossy(bytes);
    assert_eq!(at_once.as_ref().err(), in_pieces.as_ref().err(), "{text:?}");
    at_once.err()
}

#[test]
fn ambiguous_heads_are_rejected() {
    for head in AMBIGUOUS_HEADS {
        assert_eq!(
            status_of(head),
            Some(400),
            "{:?}",
            String::from_utf8_lossy(head)
        );
    }
}

#[test]
fn ambiguous_first_bytes_are_rejected() {
    let starts: [&[u8]; 8] = [
        b"\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
        b"\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
        b"\rGET / HTTP/1.1\r\nHost: a\r\n\r\n",
        b" GET / HTTP/1.1\r\nHost: a\r\n\r\n",
        b"\x16\x03\x01",
        b"GET / HTTP/1.1 \r\nHost: a\r\n\r\n",
        b"GET /\xc3\xa9 HTTP/1.1\r\nHost: a\r\n\r\n",
        b"GET / HTTX/1.1\r\nHost: a\r\n\r\n",
    ];
    for start in starts {
        assert_eq!(
            status_of(start),
            Some(400),
            "{:?}",
            String::from_utf8_lossy(start)
        );
    }
}

#[test]
fn ambiguous_chunks_are_rejected() {
    let chunks: [&str; 22] = [
        "\r\n",
        "x\r\n",
        "-1\r\na\r\n",
        "+1\r\na\r\n",
        "0x1\r\na\r\n",
        " 1\r\na\r\n",
        "1 \r\na\r\n",
        "1\na\r\n",
        "1\r\na\n0\r\n\r\n",
        "1\r\nab\r\n0\r\n\r\n",
        "1\r\na0\r\n\r\n",
        "1\r\r\na\r\n",
        "1;a\rb\r\na\r\n",
        "1;a\nb\r\na\r\n",
        "1;a\0\r\na\r\n",
        "1a;\x7f\r\n",
        "10000000000000000\r\n",
        "00000000000000001\r\na\r\n",
        "0\r\nX: a\n\r\n",
        "0\r\nX : a\r\n\r\n",
        "0\r\n X: a\r\n\r\n",
        "0\r\nGET / HTTP/1.1\r\n\r\n",
    ];
    for chunk in chunks {
        let bytes = format!("{CHUNKED}{chunk}");
        assert_eq!(status_of(bytes.as_bytes()), Some(400), "{chunk:?}");
    }
    let extension = format!("{CHUNKED}1;{}", "a".repeat(300));
    assert_eq!(status_of(extension.as_bytes()), Some(400));
}

#[test]
fn unknown_codings_and_versions_have_their_own_status() {
    let coded = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n";
    assert_eq!(status_of(coded), Some(501));
    assert_eq!(status_of(b"GET / HTTP/2.0\r\nHost: a\r\n\r\n"), Some(505));
    assert_eq!(status_of(b"GET / HTTP/1.2\r\nHost: a\r\n\r\n"), Some(505));
    assert_eq!(status_of(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"), Some(505));
}

#[test]
fn the_head_limit_is_exact() {
    let head = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    let read = |header_bytes, length: usize| {
        let limits = MessageLimits {
            header_bytes,
            body_bytes: 0,
        };
        RequestReader::new().read(&mut head[..length].to_vec(), &limits)
    };
    assert!(matches!(read(head.len(), head.len()), Ok(Some(_))));
    assert_eq!(read(head.len(), head.len() - 1), Ok(None));
    assert_eq!(
        read(head.len() - 1, head.len()),
        Err(HttpError::HeadTooLarge)
    );
    assert_eq!(
        read(head.len() - 1, head.len() - 1),
        Err(HttpError::HeadTooLarge)
    );
    assert_eq!(read(10, 10), Err(HttpError::HeadTooLarge));
}

#[test]
fn the_number_of_fields_is_limited() {
    let head = |count: usize| {
        let fields: String = (1..count)
            .map(|number| format!("F{number}: v\r\n"))
            .collect();
        format!("GET / HTTP/1.1\r\nHost: a\r\n{fields}\r\n")
    };
    assert!(matches!(read_request(head(100).as_bytes()), Ok(Some(_))));
    assert_eq!(
        read_request(head(101).as_bytes()),
        Err(HttpError::HeadTooLarge)
    );
}

#[test]
fn a_body_over_the_limit_is_rejected_as_soon_as_its_size_is_known() {
    let most = LIMITS.body_bytes;
    let head = |length| format!("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n");
    assert_eq!(read_request(head(most).as_bytes()), Ok(None));
    assert_eq!(
        read_request(head(most + 1).as_bytes()),
        Err(HttpError::BodyTooLarge)
    );
    let chunk = |length| format!("{CHUNKED}1\r\na\r\n{length:x}\r\n");
    assert_eq!(read_request(chunk(most - 1).as_bytes()), Ok(None));
    assert_eq!(
        read_request(chunk(most).as_bytes()),
        Err(HttpError::BodyTooLarge)
    );
    let greatest = format!("{CHUNKED}ffffffffffffffff\r\n");
    assert_eq!(
        read_request(greatest.as_bytes()),
        Err(HttpError::BodyTooLarge)
    );
}

#[test]
fn trailers_and_chunk_extensions_are_limited() {
    let trailers = format!(
        "{CHUNKED}0\r\n{}",
        "X: 1\r\n".repeat(LIMITS.header_bytes / 6 + 1)
    );
    assert_eq!(
        read_request(trailers.as_bytes()),
        Err(HttpError::HeadTooLarge)
    );
    let line = format!("{CHUNKED}0\r\nX: {}", "a".repeat(LIMITS.header_bytes));
    assert_eq!(read_request(line.as_bytes()), Err(HttpError::HeadTooLarge));
    let chunk = format!("1;{}\r\na\r\n", "e".repeat(200));
    let extensions = format!("{CHUNKED}{}", chunk.repeat(LIMITS.header_bytes / 200 + 1));
    assert_eq!(
        read_request(extensions.as_bytes()),
        Err(HttpError::HeadTooLarge)
    );
}
