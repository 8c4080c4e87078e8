//! Forwarding of end-to-end fields, and handling of hop-by-hop fields.

mod common;

use common::LIMITS;
use http1::{
    end_to_end, idle_seconds, write_request, write_response, Headers, RequestReader, ResponseReader,
};

fn headers(fields: &[(&str, &str)]) -> Headers {
    let mut headers = Headers::new();
    for (name, value) in fields {
        headers.push(name, value);
    }
    headers
}

#[test]
fn field_names_match_in_any_case() {
    let headers = headers(&[("A", "1"), ("b", "2"), ("a", "3")]);
    assert_eq!(headers.get("a"), Some(&b"1"[..]));
    assert_eq!(headers.get_text("B"), Some("2"));
    assert_eq!(headers.get_all("A").collect::<Vec<_>>(), [b"1", b"3"]);
    assert_eq!((headers.get("c"), headers.len()), (None, 3));
}

#[test]
fn only_end_to_end_fields_are_forwarded() {
    let headers = headers(&[
        ("Host", "a"),
        ("connection", "Secret, keep-alive"),
        ("Connection", "x-other,host"),
        ("Keep-Alive", "timeout=5"),
        ("Proxy-Connection", "close"),
        ("Proxy-Authenticate", "a"),
        ("Proxy-Authorization", "a"),
        ("TE", "trailers"),
        ("Trailer", "a"),
        ("Transfer-Encoding", "chunked"),
        ("Upgrade", "h2c"),
        ("Content-Length", "1"),
        ("Expect", "100-continue"),
        ("secret", "1"),
        ("X-Other", "1"),
        ("Request-Id", "7"),
    ]);
    let passed: Vec<_> = end_to_end(&headers, &[]).map(|(name, _)| name).collect();
    assert_eq!(passed, ["Host", "Request-Id"]);
}

// Guards against a message that loses its id or seal because its sender lists it in `Connection`.
#[test]
fn protected_fields_are_forwarded_though_connection_lists_them() {
    let headers = headers(&[
        ("Connection", "Request-Id, seal, X-Other, Upgrade"),
        ("Request-Id", "7"),
        ("Seal", "s"),
        ("X-Other", "1"),
        ("Upgrade", "h2c"),
    ]);
    let protected = ["request-id", "Seal", "Upgrade"];
    let passed: Vec<_> = end_to_end(&headers, &protected)
        .map(|(name, _)| name)
        .collect();
    assert_eq!(passed, ["Request-Id", "Seal"]);
    let listed: Vec<_> = end_to_end(&headers, &[]).collect();
    assert!(listed.is_empty(), "{listed:?}");
}

#[test]
fn keep_alive_timeouts_are_parsed() {
    let idle = |value| idle_seconds(&headers(&[("Keep-Alive", value)]));
    assert_eq!(idle("timeout=5"), Some(5));
    assert_eq!(idle("max=9, Timeout = \"12\""), Some(12));
    assert_eq!(
        (idle("max=9"), idle("timeout=x"), idle("timeout=+1")),
        (None, None, None)
    );
    assert_eq!(
        (idle("timeout="), idle_seconds(&Headers::new())),
        (None, None)
    );
}

#[test]
fn written_messages_have_only_generated_framing() {
    let headers = headers(&[
        ("Host", "a"),
        ("Content-Length", "9"),
        ("Transfer-Encoding", "chunked"),
        ("Split", "a\r\nInjected: 1"),
        ("Bad Name", "1"),
        ("Keep-Alive", "timeout=5"),
    ]);
    let mut out = Vec::new();
    write_request(&mut out, "POST", "/p?q", headers.iter(), b"");
    let expected =
        "POST /p?q HTTP/1.1\r\nHost: a\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(String::from_utf8_lossy(&out), expected);
    out.clear();
    write_request(&mut out, "GET", "/", Headers::new().iter(), b"");
    assert_eq!(out, b"GET / HTTP/1.1\r\nHost:\r\n\r\n");
    out.clear();
    write_response(&mut out, 404, headers.iter(), b"no", false, false);
    let expected = "HTTP/1.1 404 Not Found\r\nHost: a\r\nKeep-Alive: timeout=5\r\n\
        Content-Length: 2\r\nConnection: close\r\n\r\nno";
    assert_eq!(String::from_utf8_lossy(&out), expected);
}

#[test]
fn responses_without_a_body_are_written_without_one() {
    let written = |status, body: &[u8], is_head| {
        let mut out = Vec::new();
        write_response(&mut out, status, Headers::new().iter(), body, true, is_head);
        String::from_utf8(out).unwrap_or_default()
    };
    assert_eq!(written(204, b"", false), "HTTP/1.1 204 No Content\r\n\r\n");
    assert_eq!(
        written(304, b"x", false),
        "HTTP/1.1 304 Not Modified\r\n\r\n"
    );
    assert_eq!(
        written(200, b"abc", true),
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"
    );
    assert_eq!(written(200, b"", true), "HTTP/1.1 200 OK\r\n\r\n");
    assert_eq!(
        written(200, b"", false),
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    );
    assert_eq!(written(299, b"", true), "HTTP/1.1 299 \r\n\r\n");
}

#[test]
fn expect_continue_is_reported_until_body_bytes_arrive() {
    let mut reader = RequestReader::new();
    let mut buffer =
        b"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-Continue\r\nContent-Length: 2\r\n\r\n".to_vec();
    assert!(!reader.expects_continue());
    assert_eq!(reader.read(&mut buffer, &LIMITS), Ok(None));
    assert!(reader.expects_continue() && reader.has_begun(&buffer));
    buffer.push(b'a');
    assert_eq!(reader.read(&mut buffer, &LIMITS), Ok(None));
    assert!(!reader.expects_continue());
    buffer.push(b'b');
    let read = reader.read(&mut buffer, &LIMITS);
    assert!(matches!(read, Ok(Some(request)) if request.body == b"ab"));
    assert!(!reader.has_begun(&buffer));
}

#[test]
fn only_http_1_1_keeps_alive_by_default() {
    let keeps = |head: &str| {
        let mut buffer = format!("{head}Content-Length: 0\r\n\r\n").into_bytes();
        let read = ResponseReader::new(false).read(&mut buffer, &LIMITS);
        read.ok().flatten().map(|response| response.keeps_alive)
    };
    assert_eq!(keeps("HTTP/1.1 200 OK\r\n"), Some(true));
    assert_eq!(
        keeps("HTTP/1.1 200 OK\r\nConnection: a, CLOSE\r\n"),
        Some(false)
    );
    assert_eq!(keeps("HTTP/1.0 200 OK\r\n"), Some(false));
    assert_eq!(
        keeps("HTTP/1.0 200 OK\r\nConnection: Keep-Alive\r\n"),
        Some(true)
    );
}
