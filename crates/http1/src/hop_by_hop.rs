//! Hop-by-hop header fields, which apply to one connection only (RFC 9110, 7.6.1).

use crate::Headers;

/// Fields that are never forwarded, spelled as in their specifications.
const HOP_BY_HOP: [&str; 11] = [
    "Connection",
    "Content-Length",
    "Expect",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
];

/// Whether a field is never forwarded, regardless of what `Connection` lists.
pub(crate) fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.iter().any(|hop| hop.eq_ignore_ascii_case(name))
}

/// Whether a `Connection` field lists this option, compared case-insensitively.
pub(crate) fn has_option(headers: &Headers, wanted: &str) -> bool {
    options(headers).any(|option| option.eq_ignore_ascii_case(wanted.as_bytes()))
}

/// The options listed in the `Connection` fields: `close`, `keep-alive` and the names of hop-by-hop fields.
fn options(headers: &Headers) -> impl Iterator<Item = &[u8]> {
    headers.get_all("Connection").flat_map(list_elements)
}

/// The elements of a comma-separated field value; empty ones are skipped.
pub(crate) fn list_elements(value: &[u8]) -> impl Iterator<Item = &[u8]> {
    value
        .split(|&byte| byte == b',')
        .map(<[u8]>::trim_ascii)
        .filter(|item| !item.is_empty())
}

/// Whether the connection can be used for another message after this one.
pub(crate) fn keeps_alive(headers: &Headers, is_http_1_0: bool) -> bool {
    if has_option(headers, "close") {
        return false;
    }
    !is_http_1_0 || has_option(headers, "keep-alive")
}

/// The fields to forward: all except the hop-by-hop fields, the framing, and the fields that
/// `Connection` lists. A sender must not list fields that are meant for the final recipient (RFC 9110,
/// 7.6.1). Those that a message cannot do without are therefore forwarded even if they are listed:
/// `Host`, without which a request is invalid, and the fields in `protected`.
pub fn end_to_end<'a>(
    headers: &'a Headers,
    protected: &'a [&'a str],
) -> impl Iterator<Item = (&'a str, &'a [u8])> {
    let is_protected = move |name: &str| {
        let mut names = protected.iter().chain(&["Host"]);
        names.any(|protected| protected.eq_ignore_ascii_case(name))
    };
    let names_fields = options(headers).any(|option| {
        !option.eq_ignore_ascii_case(b"close") && !option.eq_ignore_ascii_case(b"keep-alive")
    });
    headers.iter().filter(move |(name, _)| {
        if is_hop_by_hop(name) {
            return false;
        }
        !names_fields || is_protected(name) || !has_option(headers, name)
    })
}

/// Idle timeout of the peer in seconds, if its `Keep-Alive` field states one.
pub fn idle_seconds(headers: &Headers) -> Option<u64> {
    headers
        .get_all("Keep-Alive")
        .flat_map(list_elements)
        .find_map(|parameter| {
            let (name, value) = std::str::from_utf8(parameter).ok()?.split_once('=')?;
            if !name.trim().eq_ignore_ascii_case("timeout") {
                return None;
            }
            let digits = value.trim().trim_matches('"');
            if !digits.bytes().all(|byte| byte.is_ascii_digit()) {
                return None;
            }
            digits.parse().ok()
        })
}
