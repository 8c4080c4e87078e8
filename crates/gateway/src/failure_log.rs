//! Writes a structured log line for each request that fails, is rejected or is abandoned by its client. The lines are
//! rate-limited; each reports how many were suppressed before it.

use http1::ErrorStatus;
use std::borrow::Cow;
use std::collections::BTreeMap;

/// Maximum burst of lines.
const BURST: u64 = 50;
/// Sustained rate of lines, per second.
const PER_SECOND: u64 = 10;
const MS_PER_LINE: u64 = 1_000 / PER_SECOND;
/// Maximum number of characters of a client's request id in a line.
const REQUEST_ID_MAX: usize = 64;
/// Status logged for a request whose client disconnected before its response.
const CLIENT_LEFT: u16 = 0;

/// Details of a request that did not get a runner's response.
pub(crate) struct RequestFailure<'a> {
    /// The id set by the client.
    pub request_id: &'a [u8],
    /// Name of the binding; empty if none was found.
    pub route: &'a str,
    pub function: &'a str,
    /// Name of the sending tenant; empty if there is none or it is not known.
    pub tenant: &'a str,
    /// The status sent to the client; `None` if it had disconnected.
    pub status: Option<ErrorStatus>,
    pub reason: &'static str,
    /// The runner of the last attempt; empty if there was none.
    pub runner: &'a str,
    /// Number of times it was sent to a runner.
    pub attempts: u32,
    /// Number of failed connections to runners.
    pub connect_failures: u32,
    pub may_have_run: bool,
    /// Milliseconds since it was received.
    pub held_ms: u64,
    /// Milliseconds left until its deadline.
    pub left_ms: u64,
}

impl<'a> RequestFailure<'a> {
    /// A request that was rejected before it was bound to a function.
    pub fn before_admission(
        request_id: &'a [u8],
        status: ErrorStatus,
        reason: &'static str,
    ) -> Self {
        Self {
            request_id,
            route: "",
            function: "",
            tenant: "",
            status: Some(status),
            reason,
            runner: "",
            attempts: 0,
            connect_failures: 0,
            may_have_run: false,
            held_ms: 0,
            left_ms: 0,
        }
    }
}

/// Counts and logs the requests that got an error from the gateway itself or whose client disconnected.
#[derive(Default)]
pub(crate) struct FailureLog {
    /// Failures in this incarnation, by status and reason. No status stands for a client that disconnected.
    counts: BTreeMap<(Option<ErrorStatus>, &'static str), u64>,
    /// Time up to which the line budget is spent, in milliseconds: each line takes [`MS_PER_LINE`].
    spent_until: u64,
    /// Lines suppressed since the last one written.
    suppressed: u64,
    /// Lines suppressed in this incarnation.
    suppressed_total: u64,
}

impl FailureLog {
    /// Number of requests that got an error from the gateway itself.
    pub fn rejected(&self) -> u64 {
        let counts = self.counts.iter();
        let rejected = counts.filter(|((status, _), _)| status.is_some());
        rejected.map(|(_, count)| count).sum()
    }

    /// Number of failures by reason.
    pub fn by_reason(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let mut by_reason: BTreeMap<&'static str, u64> = BTreeMap::new();
        for ((_, reason), count) in &self.counts {
            *by_reason.entry(reason).or_default() += count;
        }
        by_reason.into_iter()
    }

    /// Number of suppressed lines.
    pub fn suppressed_lines(&self) -> u64 {
        self.suppressed_total
    }

    /// Counts a failure, and logs it unless the rate limit is exceeded.
    pub fn record(&mut self, now: u64, failure: &RequestFailure<'_>) {
        let key = (failure.status, failure.reason);
        *self.counts.entry(key).or_default() += 1;
        if !self.take_line(now) {
            self.suppressed += 1;
            self.suppressed_total += 1;
            return;
        }
        let suppressed = std::mem::take(&mut self.suppressed);
        let status = failure.status.map_or(CLIENT_LEFT, ErrorStatus::code);
        log::info!(
            "gateway: request failed request_id={} route={} function={} tenant={:?} status={status} reason={:?} runner={} attempts={} connect_failures={} may_have_run={} held_ms={} left_ms={} suppressed={suppressed}",
            escape_for_log(failure.request_id),
            failure.route,
            failure.function,
            failure.tenant,
            failure.reason,
            failure.runner,
            failure.attempts,
            failure.connect_failures,
            failure.may_have_run,
            failure.held_ms,
            failure.left_ms,
        );
    }

    fn take_line(&mut self, now: u64) -> bool {
        let burst_ms = BURST * MS_PER_LINE;
        self.spent_until = self.spent_until.max(now);
        let has_room = self.spent_until + MS_PER_LINE <= now + burst_ms;
        if has_room {
            self.spent_until += MS_PER_LINE;
        }
        has_room
    }
}

/// Escapes bytes from a client into one word of a log line.
fn escape_for_log(bytes: &[u8]) -> String {
    let text: Cow<'_, str> = String::from_utf8_lossy(bytes);
    let escaped = text.escape_default().to_string();
    escaped
        .replace(' ', "\\x20")
        .chars()
        .take(REQUEST_ID_MAX)
        .collect()
}
