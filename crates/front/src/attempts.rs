use crate::continuations::{Call, CallOutcome};
use crate::shared::Shared;
use crossbeam::channel::Receiver;
use idempotency_keys::seal;
use oxhttp::model::Method;
use request_queue::{AttemptOutcome, QueuedRequest, SeatGrant};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::time::Duration;
use transport::{call, now_ms, CallError, CallResponse};

/// The timers of an attempt and of its caller may fire this far apart.
const TIMER_SLACK_MS: u64 = 5;

/// Result of one attempt, from the point of view of the request.
enum AttemptResult {
    Succeeded(CallResponse),
    RunnerAbsent,
    Failed(&'static str, AttemptOutcome),
}

/// Runs one attempt of a request on a seat.
pub fn run(shared: &Shared, queued_request: QueuedRequest, seat: &SeatGrant) {
    let Some(call) = shared.continuations.call(queued_request.slot) else {
        shared.with_scheduler(|scheduler, now| {
            scheduler.attempt_done(now, seat, AttemptOutcome::Unsent)
        });
        return;
    };
    let is_permitted =
        shared.with_scheduler(|scheduler, now| scheduler.permit(now, &queued_request, seat));
    if !is_permitted {
        shared.with_scheduler(|scheduler, now| {
            scheduler.attempt_done(now, seat, AttemptOutcome::Unsent);
            scheduler.requeue_unsent(now, queued_request);
        });
        return;
    }
    let Some(was_sent) = shared.continuations.mark_sent(queued_request.slot, true) else {
        shared.with_scheduler(|scheduler, now| {
            scheduler.attempt_done(now, seat, AttemptOutcome::Unsent)
        });
        return;
    };
    if !was_sent {
        shared.with_scheduler(|scheduler, now| scheduler.count_first_attempt(now));
    }
    shared.counts.attempts.fetch_add(1, Ordering::Relaxed);
    let started_at = now_ms();
    let result = send(shared, &queued_request, seat, &call);
    let took_ms = now_ms().saturating_sub(started_at);
    match result {
        AttemptResult::Succeeded(answer) => {
            let content_type = content_type_of(&answer);
            shared.continuations.end(
                queued_request.slot,
                CallOutcome::Answered {
                    status: answer.status,
                    content_type,
                    body: answer.body,
                },
            );
            shared.with_scheduler(|scheduler, now| {
                scheduler.attempt_done(now, seat, AttemptOutcome::Answered(took_ms))
            });
        }
        AttemptResult::RunnerAbsent => {
            shared
                .continuations
                .mark_sent(queued_request.slot, was_sent);
            shared.with_scheduler(|scheduler, now| {
                scheduler.attempt_done(now, seat, AttemptOutcome::Absent);
                scheduler.requeue_unreached(now, queued_request);
            });
        }
        AttemptResult::Failed(reason, end) => {
            let slot = queued_request.slot;
            // The attempt's timeout ends with the budget, shortly before that of its caller.
            let is_over = end == AttemptOutcome::Lost
                && now_ms() + TIMER_SLACK_MS >= queued_request.budget_end;
            let reason = if is_over { "budget-over" } else { reason };
            let is_requeued = shared.with_scheduler(|scheduler, now| {
                scheduler.attempt_done(now, seat, end);
                !call.is_once && scheduler.retry(now, queued_request)
            });
            if is_requeued {
                shared.counts.retries.fetch_add(1, Ordering::Relaxed);
            } else {
                shared.continuations.end(slot, CallOutcome::Failed(reason));
            }
        }
    }
}

fn content_type_of(answer: &CallResponse) -> String {
    answer
        .headers
        .get("content-type")
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_string()
}

/// Whether the runner closed the connection.
fn is_closed(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::UnexpectedEof
            | ErrorKind::ConnectionReset
            | ErrorKind::ConnectionAborted
            | ErrorKind::BrokenPipe
    )
}

fn send(
    shared: &Shared,
    queued_request: &QueuedRequest,
    seat: &SeatGrant,
    request: &Call,
) -> AttemptResult {
    let me = shared.links.me();
    let attempt_id = format!(
        "{}-{:x}-{:x}-{:x}",
        me.name, me.incarnation, queued_request.slot, seat.seat_no
    );
    let remaining_ms = queued_request.budget_end.saturating_sub(now_ms()).max(1);
    let remaining_text = remaining_ms.to_string();
    let mut headers = vec![
        ("Hallkeel-Runner", seat.runner.as_str()),
        ("Hallkeel-Ticket", attempt_id.as_str()),
        ("Hallkeel-Kind", request.kind.as_str()),
        ("Hallkeel-Budget-Ms", remaining_text.as_str()),
        ("Content-Type", request.content_type.as_str()),
    ];
    if let Some(key) = &request.idempotency_key {
        headers.push(("Idempotency-Key", key.as_str()));
    }
    let answered = call(
        Method::POST,
        &format!("http://{}/invoke", seat.address),
        &headers,
        request.body.clone(),
        Duration::from_millis(remaining_ms),
        shared.configuration.load().bounds.body_max,
    );
    let answer = match answered {
        Ok(answer) => answer,
        Err(CallError::NotConnected(_)) => return AttemptResult::RunnerAbsent,
        Err(CallError::TooLarge) => {
            return AttemptResult::Failed("answer-too-large", AttemptOutcome::Lost)
        }
        Err(CallError::Broken(error)) if is_closed(&error) => {
            return AttemptResult::Failed("answer-lost", AttemptOutcome::Broken)
        }
        Err(CallError::Broken(_)) => {
            return AttemptResult::Failed("answer-lost", AttemptOutcome::Lost)
        }
    };
    if answer.status == 421 {
        return AttemptResult::RunnerAbsent;
    }
    let expected_seal = seal(
        &seat.key,
        &attempt_id,
        &seat.runner,
        answer.status,
        &content_type_of(&answer),
        &answer.body,
    );
    let sealed = answer.headers.get("hallkeel-seal");
    if sealed.is_none_or(|sealed| sealed.as_bytes() != expected_seal.as_bytes()) {
        shared.counts.bad_seals.fetch_add(1, Ordering::Relaxed);
        return AttemptResult::Failed("answer-not-sealed", AttemptOutcome::Bad);
    }
    AttemptResult::Succeeded(answer)
}

/// Probes whether runners accept connections, and reports the results to the scheduler.
pub fn probe(shared: &Shared, requested: &Receiver<(String, String)>) {
    for (runner, address) in requested {
        let Ok(socket) = address.parse::<SocketAddr>() else {
            continue;
        };
        let timeout = Duration::from_millis(shared.configuration.load().bounds.slack_ms());
        let is_reachable = TcpStream::connect_timeout(&socket, timeout).is_ok();
        shared
            .with_scheduler(|scheduler, now| scheduler.probe_finished(now, &runner, is_reachable));
    }
}
