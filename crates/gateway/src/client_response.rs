//! Responses to clients, by who answers. Only a runner that has run a request reports a success: the gateway's own
//! responses are errors by their type, and a forwarded success without its runner's seal is replaced by an error.

use crate::options::HttpConventions;
use http1::ErrorStatus;

/// Name and value of a response header.
pub(crate) type Header<'a> = (&'a str, &'a [u8]);

/// Body of the error that replaces a forwarded success without a seal.
const UNSEALED_REASON: &[u8] = b"the answer has no seal";

/// Whether this status reports a success.
pub(crate) fn is_success(status: u16) -> bool {
    (200..300).contains(&status)
}

/// Whether these headers bear exactly one seal. An empty value is none.
pub(crate) fn has_one_seal<'a>(headers: impl Iterator<Item = Header<'a>>, seal: &str) -> bool {
    let seals =
        headers.filter(|(name, value)| name.eq_ignore_ascii_case(seal) && !value.is_empty());
    seals.count() == 1
}

/// Who answers a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseSource {
    /// The runner to which the request was sent.
    Runner,
    /// The runner that ran another copy of the request's job.
    StoredResult,
    /// The gateway itself, with an error.
    Gateway,
}

/// A response to a client's request.
#[derive(Clone, Debug)]
pub(crate) struct ClientResponse<'a> {
    source: ResponseSource,
    status: u16,
    headers: Vec<Header<'a>>,
    body: &'a [u8],
}

impl<'a> ClientResponse<'a> {
    /// Forwards the response of the runner that ran the request.
    pub fn from_runner(status: u16, headers: Vec<Header<'a>>, body: &'a [u8]) -> Self {
        Self {
            source: ResponseSource::Runner,
            status,
            headers,
            body,
        }
    }

    /// Forwards the stored response of the runner that ran another copy of the request's job.
    pub fn from_stored_result(status: u16, headers: Vec<Header<'a>>, body: &'a [u8]) -> Self {
        Self {
            source: ResponseSource::StoredResult,
            status,
            headers,
            body,
        }
    }

    /// An error of the gateway itself, with the reason as its body.
    pub fn error(status: ErrorStatus, headers: Vec<Header<'a>>, reason: &'a str) -> Self {
        Self {
            source: ResponseSource::Gateway,
            status: status.code(),
            headers,
            body: reason.as_bytes(),
        }
    }

    /// Who answers.
    pub fn source(&self) -> ResponseSource {
        self.source
    }

    /// Status code.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Headers, in the order in which they are sent.
    pub fn headers(&self) -> &[Header<'a>] {
        &self.headers
    }

    /// The body without its framing.
    pub fn body(&self) -> &'a [u8] {
        self.body
    }

    /// Whether the client may get the response: a success has exactly one runner's seal.
    pub fn is_sealed_or_error(&self, conventions: &HttpConventions) -> bool {
        let is_sealed = has_one_seal(self.headers.iter().copied(), conventions.seal);
        !is_success(self.status) || (self.source != ResponseSource::Gateway && is_sealed)
    }

    /// The error that replaces a success without a seal. It does not state whether the request has run.
    pub fn replaced_by_error(self, conventions: &HttpConventions) -> Self {
        let is_request_id =
            |(name, _): &Header<'a>| name.eq_ignore_ascii_case(conventions.request_id);
        let headers = self.headers.into_iter().filter(is_request_id);
        Self {
            source: ResponseSource::Gateway,
            status: ErrorStatus::BAD_GATEWAY.code(),
            headers: headers.collect(),
            body: UNSEALED_REASON,
        }
    }
}
