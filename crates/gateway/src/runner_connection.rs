//! What the bytes of one connection to a runner mean for the request that is on it. A pure state machine: bytes and the
//! end of the connection go in, the fate of the request comes out. It does no I/O and knows no clock.
//!
//! HTTP/1.1 gives answers in the order of the requests, but a runner in trouble may send more than one answer, or bytes
//! that are none. So a connection bears one request at a time, an answer is taken only if it bears that request's id, and
//! a connection on which anything else was ever seen is not used again.

use crate::options::HttpConventions;
use http1::{MessageLimits, Response, ResponseReader};

/// Largest body of a runner's answer, in bytes.
pub const ANSWER_MAX: usize = 4 << 20;
/// Largest head of a runner's answer, in bytes.
pub const HEAD_MAX: usize = 64 << 10;
/// Answers to other requests that are dropped on one connection before it is closed.
const STRAYS_MAX: u32 = 4;

const BOUNDS: MessageLimits = MessageLimits {
    header_bytes: HEAD_MAX,
    body_bytes: ANSWER_MAX,
};

/// What is known of a request that leaves on a connection.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outstanding {
    /// The request's id, which its answer must bear.
    pub id: Vec<u8>,
    /// Whether the answer has no body, whatever its head says.
    pub is_head: bool,
    /// Whether the request may run once only.
    pub is_once: bool,
}

/// What bytes, or the end of a connection, mean for its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reading {
    /// The answer is not whole yet.
    Incomplete,
    /// The request's own answer, whole.
    Answer(RunnerAnswer),
    /// No answer of the request can come on this connection any more. The runner may have run it.
    Failed(&'static str),
    /// Bytes came, or the end, while no request was on the connection.
    Unasked,
}

/// A whole answer of a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerAnswer {
    /// The answer as the runner gave it.
    pub response: Response,
    /// Whether the connection may bear another request.
    pub is_reusable: bool,
    /// Whether it surely answers this request: it bears the id, or nothing else was ever asked on the connection.
    pub is_certain: bool,
}

/// The state of one connection to a runner.
#[derive(Debug, Default)]
pub struct RunnerConnection {
    reader: ResponseReader,
    outstanding: Option<Outstanding>,
    requests: u32,
    strays: u32,
}

impl RunnerConnection {
    /// Requests that left on it.
    pub fn requests(&self) -> u32 {
        self.requests
    }

    /// A request leaves on it.
    pub fn sends(&mut self, request: Outstanding) {
        self.reader = ResponseReader::new(request.is_head);
        self.outstanding = Some(request);
        self.requests += 1;
    }

    /// Bytes have arrived. What belongs to an answer is taken off the start of the buffer.
    pub fn received(&mut self, buffer: &mut Vec<u8>, conventions: &HttpConventions) -> Reading {
        while self.outstanding.is_some() {
            match self.reader.read(buffer, &BOUNDS) {
                Ok(None) => return Reading::Incomplete,
                Ok(Some(response)) => match self.take(response, buffer.is_empty(), conventions) {
                    Reading::Incomplete => {}
                    reading => return reading,
                },
                Err(_) => return self.fail("the runner sent no answer in the protocol"),
            }
        }
        Reading::Unasked
    }

    /// The connection has ended, and all bytes before that have been given to [`received`](Self::received). An answer
    /// whose length nothing but this end tells is not known to be whole.
    pub fn ended(&mut self) -> Reading {
        if self.outstanding.is_none() {
            return Reading::Unasked;
        }
        self.fail("the runner broke off")
    }

    fn fail(&mut self, reason: &'static str) -> Reading {
        self.outstanding = None;
        Reading::Failed(reason)
    }

    /// Takes one whole answer; `Incomplete` where it belongs to another request.
    fn take(
        &mut self,
        response: Response,
        is_last: bool,
        conventions: &HttpConventions,
    ) -> Reading {
        let Some(request) = &self.outstanding else {
            return Reading::Unasked;
        };
        let has_id = response.headers.get(conventions.request_id).is_some();
        let mut ids = response.headers.get_all(conventions.request_id);
        let is_own = has_id && ids.all(|id| id == request.id.as_slice());
        drop(ids);
        // A refusal may come without an id; behind another request it may be a late one.
        let is_first = self.requests <= 1 && self.strays == 0;
        let is_refusal = !has_id && says_not_run(&response, conventions);
        let may_be_own = is_refusal && (is_first || !request.is_once);
        if !is_own && !may_be_own {
            return self.pass_over(request.is_head);
        }
        self.outstanding = None;
        let is_reusable =
            response.keeps_alive && is_last && self.strays == 0 && response.status != MISDIRECTED;
        Reading::Answer(RunnerAnswer {
            response,
            is_reusable,
            is_certain: is_own || is_first,
        })
    }

    fn pass_over(&mut self, is_head: bool) -> Reading {
        self.strays += 1;
        self.reader = ResponseReader::new(is_head);
        if self.strays > STRAYS_MAX {
            return self.fail("the runner's answers belong to other requests");
        }
        Reading::Incomplete
    }
}

/// What a runner's own answer says of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It ran, and this is its answer.
    Answered,
    /// The runner did not run it.
    TurnedAway,
    /// Another runner has the address: nothing was run.
    Misdirected,
    /// It may have run, and this cannot be told as its answer.
    Doubtful(&'static str),
}

const REQUEST_TIMEOUT: u16 = 408;
const MISDIRECTED: u16 = 421;
const TOO_MANY_REQUESTS: u16 = 429;
const UNAVAILABLE: u16 = 503;

/// Judges a runner's own answer.
pub fn judge(response: &Response, conventions: &HttpConventions) -> Verdict {
    let is_good = (200..300).contains(&response.status);
    if is_good {
        return judge_success(response, conventions);
    }
    if response.status == MISDIRECTED {
        return Verdict::Misdirected;
    }
    if response.headers.get(conventions.not_run).is_some() {
        return Verdict::TurnedAway;
    }
    // These say that nothing ran and nothing will; a runner that does not say so may have run it.
    let promises = [REQUEST_TIMEOUT, TOO_MANY_REQUESTS, UNAVAILABLE];
    if promises.contains(&response.status) {
        return Verdict::Doubtful("the runner refused it and did not say that it was not run");
    }
    Verdict::Answered
}

fn judge_success(response: &Response, conventions: &HttpConventions) -> Verdict {
    if response.headers.get(conventions.not_run).is_some() {
        return Verdict::Doubtful("the answer says both that it was run and that it was not");
    }
    match response.headers.get_all(conventions.seal).count() {
        0 => return Verdict::Doubtful("the answer has no seal"),
        1 => {}
        _ => return Verdict::Doubtful("the answer has several seals"),
    }
    if response.headers.get("Content-Encoding").is_some() {
        return Verdict::Doubtful("the answer is encoded, which nobody asked for");
    }
    Verdict::Answered
}

fn says_not_run(response: &Response, conventions: &HttpConventions) -> bool {
    matches!(
        judge(response, conventions),
        Verdict::TurnedAway | Verdict::Misdirected
    )
}
