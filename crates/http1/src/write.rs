//! Writing messages.

use crate::head::{is_name, is_value};
use crate::hop_by_hop::is_hop_by_hop;
use crate::status::reason;

/// Number of bytes reserved for a head, so that most messages are written without a second allocation.
const TYPICAL_HEAD_BYTES: usize = 512;

/// The interim response to a client that sent `Expect: 100-continue`.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Appends a request. The framing fields are generated. Hop-by-hop fields other than `Keep-Alive` and
/// fields with an invalid name or value are left out, and a missing `Host` is written empty. The
/// caller must have validated method and target.
pub fn write_request<'a>(
    out: &mut Vec<u8>,
    method: &str,
    target: &str,
    headers: impl Iterator<Item = (&'a str, &'a [u8])>,
    body: &[u8],
) {
    out.reserve(TYPICAL_HEAD_BYTES + body.len());
    out.extend_from_slice(method.as_bytes());
    out.push(b' ');
    out.extend_from_slice(target.as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
    let mut has_host = false;
    for (name, value) in headers {
        has_host |= write_field(out, name, value) && name.eq_ignore_ascii_case("Host");
    }
    if !has_host {
        out.extend_from_slice(b"Host:\r\n");
    }
    if !body.is_empty() || matches!(method, "POST" | "PUT" | "PATCH") {
        write_length(out, body.len());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}

/// Appends a response. Fields are filtered as in [`write_request`]. `Content-Length` is written unless
/// the status has no body (1xx, 204, 304). For HEAD it is the length of the given body, which is not
/// sent; it is left out if that body is empty, because then the length is not known.
pub fn write_response<'a>(
    out: &mut Vec<u8>,
    status: u16,
    headers: impl Iterator<Item = (&'a str, &'a [u8])>,
    body: &[u8],
    keeps_alive: bool,
    is_head: bool,
) {
    let has_body = status >= 200 && status != 204 && status != 304;
    let is_sent = has_body && !is_head;
    out.reserve(TYPICAL_HEAD_BYTES + if is_sent { body.len() } else { 0 });
    out.extend_from_slice(b"HTTP/1.1 ");
    write_number(out, status.into());
    out.push(b' ');
    out.extend_from_slice(reason(status).as_bytes());
    out.extend_from_slice(b"\r\n");
    for (name, value) in headers {
        write_field(out, name, value);
    }
    if has_body && !(is_head && body.is_empty()) {
        write_length(out, body.len());
    }
    if !keeps_alive {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    if is_sent {
        out.extend_from_slice(body);
    }
}

fn write_field(out: &mut Vec<u8>, name: &str, value: &[u8]) -> bool {
    let is_kept = !is_hop_by_hop(name) || name.eq_ignore_ascii_case("Keep-Alive");
    if !is_kept || !is_name(name.as_bytes()) || !is_value(value) {
        return false;
    }
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
    true
}

fn write_length(out: &mut Vec<u8>, length: usize) {
    out.extend_from_slice(b"Content-Length: ");
    write_number(out, length);
    out.extend_from_slice(b"\r\n");
}

fn write_number(out: &mut Vec<u8>, mut number: usize) {
    let mut digits = [0; 20];
    let mut start = digits.len();
    loop {
        start -= 1;
        digits[start] = b'0' + (number % 10) as u8;
        number /= 10;
        if number == 0 {
            break;
        }
    }
    out.extend_from_slice(&digits[start..]);
}
