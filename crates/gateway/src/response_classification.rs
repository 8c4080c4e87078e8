//! Classifies a runner's response: whether the request ran, and whether the response can be forwarded.

use crate::client_response::is_success;
use crate::options::HttpConventions;
use http1::Response;

const REQUEST_TIMEOUT: u16 = 408;
const MISDIRECTED: u16 = 421;
const TOO_MANY_REQUESTS: u16 = 429;
const UNAVAILABLE: u16 = 503;

/// What a runner's response states about its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// The request ran, and this is its response.
    Completed,
    /// The runner did not run it.
    Rejected,
    /// The address belongs to another runner now, and nothing was run.
    Misdirected,
    /// It may have run, and the response cannot be forwarded for this reason.
    Untrusted(&'static str),
}

/// Classifies a response that is known to belong to the request.
#[must_use]
pub fn classify(response: &Response, conventions: &HttpConventions) -> ResponseClass {
    if is_success(response.status) {
        return classify_success(response, conventions);
    }
    if is_misdirected(response) {
        return ResponseClass::Misdirected;
    }
    if response.headers.get(conventions.not_run).is_some() {
        return ResponseClass::Rejected;
    }
    // These statuses mean that the request was not run and will not be. Without the header that states so, the runner
    // may have run it.
    let not_run_statuses = [REQUEST_TIMEOUT, TOO_MANY_REQUESTS, UNAVAILABLE];
    if not_run_statuses.contains(&response.status) {
        return ResponseClass::Untrusted(
            "the runner refused it and did not say that it was not run",
        );
    }
    ResponseClass::Completed
}

fn classify_success(response: &Response, conventions: &HttpConventions) -> ResponseClass {
    if response.headers.get(conventions.not_run).is_some() {
        return ResponseClass::Untrusted(
            "the answer says both that it was run and that it was not",
        );
    }
    let seals = response.headers.get_all(conventions.seal);
    match seals.filter(|seal| !seal.is_empty()).count() {
        0 => return ResponseClass::Untrusted("the answer has no seal"),
        1 => {}
        _ => return ResponseClass::Untrusted("the answer has several seals"),
    }
    if response.headers.get("Content-Encoding").is_some() {
        return ResponseClass::Untrusted("the answer is encoded, which nobody asked for");
    }
    ResponseClass::Completed
}

/// Whether the request reached another runner than the addressed one.
pub(crate) fn is_misdirected(response: &Response) -> bool {
    response.status == MISDIRECTED
}

/// Whether a response states that the request was not run.
pub(crate) fn states_not_run(response: &Response, conventions: &HttpConventions) -> bool {
    matches!(
        classify(response, conventions),
        ResponseClass::Rejected | ResponseClass::Misdirected
    )
}
