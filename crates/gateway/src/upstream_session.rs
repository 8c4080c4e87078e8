//! State of the HTTP exchange on one connection to a runner. It takes the received bytes or the end of the connection
//! and returns what they mean for the request on the connection. It does no I/O and does not read the clock.
//!
//! HTTP/1.1 sends responses in the order of the requests, but a faulty runner may send more than one response or
//! invalid bytes. Therefore a connection carries one request at a time, and no two with the same id; a response is
//! accepted only if it has that request's id, and a connection that received anything else is not reused.

use crate::options::HttpConventions;
use crate::response_classification::{is_misdirected, states_not_run};
use crate::sent_ids::SentIds;
use http1::{MessageLimits, Response, ResponseReader};

/// Largest body of a runner's response, in bytes.
pub const BODY_MAX: usize = 4 << 20;
/// Largest head of a runner's response, in bytes.
pub const HEAD_MAX: usize = 64 << 10;
/// Number of responses to other requests that are dropped on one connection before it is closed.
const STRAYS_MAX: u32 = 4;

/// Failure reason of a request whose response was consumed as part of another response.
const ANOTHER_RESPONSE: &str = "the runner sent another request's answer";

const RESPONSE_LIMITS: MessageLimits = MessageLimits {
    header_bytes: HEAD_MAX,
    body_bytes: BODY_MAX,
};

/// Properties of the request that was sent on a connection.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OutstandingRequest {
    /// The request id set by the client, which the response must repeat.
    pub id: Vec<u8>,
    /// Whether the response has no body regardless of its headers, as for `HEAD`.
    pub is_head: bool,
    /// Whether the request may run at most once.
    pub at_most_once: bool,
}

/// What received bytes, or the end of a connection, mean for its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionEvent {
    /// The response is not complete yet.
    Incomplete,
    /// The request's own response, complete.
    Response(UpstreamResponse),
    /// No response to the request can be received on this connection any more. The runner may have run it.
    Failed(&'static str),
    /// Bytes were received, or the connection ended, while no request was outstanding.
    Unsolicited,
}

/// How the ids in a response's head relate to the request on the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponseMatch {
    /// It has the id of the request and no other.
    OwnRequest,
    /// It has no id.
    WithoutId,
    /// It has only ids of other requests; the request's own response may follow.
    OtherRequest,
    /// It has the request's id and others: a truncated response was continued by the head of the request's own
    /// response, which is lost.
    Mixed,
}

/// A complete response of a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamResponse {
    /// The response as sent by the runner.
    pub response: Response,
    /// Whether the connection may carry another request.
    pub is_reusable: bool,
    /// Whether it certainly belongs to this send of the request: it has the request's id, which no other send on the
    /// connection has, or this is the first request and the first response on the connection. Only then does a rejection
    /// show that the request was not run.
    pub is_certain: bool,
}

/// The state of one connection to a runner.
#[derive(Debug, Default)]
pub struct UpstreamSession {
    reader: ResponseReader,
    outstanding: Option<OutstandingRequest>,
    sent_ids: SentIds,
    strays: u32,
}

impl UpstreamSession {
    /// Number of requests that were sent on the connection.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.sent_ids.count()
    }

    /// Whether a request with this id may be sent on the connection. One that was sent on it before may not: a surplus
    /// response to the former send would pass for the response to the new one.
    #[must_use]
    pub fn may_send(&self, id: &[u8]) -> bool {
        self.sent_ids.may_send(id)
    }

    /// Number of bytes of the incomplete response that were removed from the connection's buffer.
    #[must_use]
    pub fn consumed_bytes(&self) -> usize {
        self.reader.consumed_bytes()
    }

    /// Records that a request is sent on the connection.
    pub fn request_sent(&mut self, request: OutstandingRequest) {
        self.reader = ResponseReader::new(request.is_head);
        self.sent_ids.record(&request.id);
        self.outstanding = Some(request);
    }

    /// Processes received bytes. Bytes that belong to a response are removed from the start of the buffer.
    pub fn bytes_received(
        &mut self,
        buffer: &mut Vec<u8>,
        conventions: &HttpConventions,
    ) -> SessionEvent {
        while self.outstanding.is_some() {
            match self.reader.read(buffer, &RESPONSE_LIMITS) {
                Ok(None) => return self.await_more(conventions),
                Ok(Some(response)) => {
                    match self.match_response(response, buffer.is_empty(), conventions) {
                        SessionEvent::Incomplete => {}
                        event => return event,
                    }
                }
                Err(_) => return self.fail("the runner sent no answer in the protocol"),
            }
        }
        SessionEvent::Unsolicited
    }

    /// Processes the end of the connection, after all received bytes were passed to
    /// [`bytes_received`](Self::bytes_received). A response that is delimited by the end of the connection is not
    /// known to be complete.
    pub fn connection_closed(&mut self) -> SessionEvent {
        if self.outstanding.is_none() {
            return SessionEvent::Unsolicited;
        }
        self.fail("the runner broke off")
    }

    /// Waits for more bytes, or fails the request if they can no longer contain its own response.
    fn await_more(&mut self, conventions: &HttpConventions) -> SessionEvent {
        let partial = self.reader.partial();
        let id_match = partial.map(|response| self.match_ids(response, conventions));
        let is_lost = match id_match {
            Some(ResponseMatch::Mixed) => true,
            Some(ResponseMatch::OtherRequest) => self.reader.is_close_delimited(),
            Some(ResponseMatch::OwnRequest | ResponseMatch::WithoutId) | None => false,
        };
        if is_lost {
            return self.fail(ANOTHER_RESPONSE);
        }
        SessionEvent::Incomplete
    }

    /// Compares the ids in a response's head to the request on the connection.
    fn match_ids(&self, response: &Response, conventions: &HttpConventions) -> ResponseMatch {
        let Some(request) = &self.outstanding else {
            return ResponseMatch::OtherRequest;
        };
        let mut ids = response.headers.get_all(conventions.request_id).peekable();
        if ids.peek().is_none() {
            return ResponseMatch::WithoutId;
        }
        let (own, other): (Vec<&[u8]>, Vec<&[u8]>) = ids.partition(|id| *id == request.id);
        match (own.is_empty(), other.is_empty()) {
            (false, true) => ResponseMatch::OwnRequest,
            (false, false) => ResponseMatch::Mixed,
            (true, _) => ResponseMatch::OtherRequest,
        }
    }

    fn fail(&mut self, reason: &'static str) -> SessionEvent {
        self.outstanding = None;
        SessionEvent::Failed(reason)
    }

    /// Matches a complete response to the request. Returns `Incomplete` if it belongs to another request.
    fn match_response(
        &mut self,
        response: Response,
        is_last: bool,
        conventions: &HttpConventions,
    ) -> SessionEvent {
        let id_match = self.match_ids(&response, conventions);
        let Some(request) = &self.outstanding else {
            return SessionEvent::Unsolicited;
        };
        if id_match == ResponseMatch::Mixed {
            return self.fail(ANOTHER_RESPONSE);
        }
        let is_own = id_match == ResponseMatch::OwnRequest;
        // A rejection may lack an id. If the connection carried an earlier request, it may be a late response to that
        // one.
        let is_first = self.requests() <= 1 && self.strays == 0;
        let is_rejection =
            id_match == ResponseMatch::WithoutId && states_not_run(&response, conventions);
        let may_be_own = is_rejection && (is_first || !request.at_most_once);
        if !is_own && !may_be_own {
            return self.drop_stray(request.is_head);
        }
        self.outstanding = None;
        let is_reusable = response.keeps_alive
            && is_last
            && self.strays == 0
            && !self.sent_ids.is_full()
            && !is_misdirected(&response);
        SessionEvent::Response(UpstreamResponse {
            response,
            is_reusable,
            is_certain: is_own || is_first,
        })
    }

    fn drop_stray(&mut self, is_head: bool) -> SessionEvent {
        self.strays += 1;
        self.reader = ResponseReader::new(is_head);
        if self.strays > STRAYS_MAX {
            return self.fail("the runner's answers belong to other requests");
        }
        SessionEvent::Incomplete
    }
}
