use crate::continuations::{Call, Ending};
use crate::shared::Shared;
use crossbeam::channel::Receiver;
use idempotency_keys::seal;
use oxhttp::model::Method;
use request_queue::{SeatGrant, Ticket, TryEnd};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::time::Duration;
use transport::{call, now_ms, Answer, HttpError};

/// Timers of tries and callers may fire so far apart.
const TIMER_SLACK_MS: u64 = 5;

/// How a try went, seen from the ticket.
enum Went {
    Well(Answer),
    NotThere,
    Badly(&'static str, TryEnd),
}

/// Runs one try of a ticket on a seat.
pub fn run(shared: &Shared, ticket: Ticket, seat: &SeatGrant) {
    let Some(call) = shared.continuations.call(ticket.slot) else {
        shared.with_desk(|desk, now| desk.try_done(now, seat, TryEnd::Unsent));
        return;
    };
    let may_send = shared.with_desk(|desk, now| desk.permit(now, &ticket, seat));
    if !may_send {
        shared.with_desk(|desk, now| {
            desk.try_done(now, seat, TryEnd::Unsent);
            desk.hold_again(now, ticket);
        });
        return;
    }
    let Some(was_sent) = shared.continuations.mark_sent(ticket.slot, true) else {
        shared.with_desk(|desk, now| desk.try_done(now, seat, TryEnd::Unsent));
        return;
    };
    if !was_sent {
        shared.with_desk(|desk, now| desk.count_first(now));
    }
    shared.counts.tries.fetch_add(1, Ordering::Relaxed);
    let started = now_ms();
    let went = send(shared, &ticket, seat, &call);
    let took_ms = now_ms().saturating_sub(started);
    match went {
        Went::Well(answer) => {
            let content_type = content_type_of(&answer);
            shared.continuations.end(
                ticket.slot,
                Ending::Answered {
                    status: answer.status,
                    content_type,
                    body: answer.body,
                },
            );
            shared.with_desk(|desk, now| desk.try_done(now, seat, TryEnd::Answered(took_ms)));
        }
        Went::NotThere => {
            shared.continuations.mark_sent(ticket.slot, was_sent);
            shared.with_desk(|desk, now| {
                desk.try_done(now, seat, TryEnd::Absent);
                desk.send_again(now, ticket);
            });
        }
        Went::Badly(reason, end) => {
            let slot = ticket.slot;
            // The try's own time ends with the budget, a little before its caller's does.
            let is_over = end == TryEnd::Lost && now_ms() + TIMER_SLACK_MS >= ticket.budget_end;
            let reason = if is_over { "budget-over" } else { reason };
            let is_held = shared.with_desk(|desk, now| {
                desk.try_done(now, seat, end);
                !call.is_once && desk.retry(now, ticket)
            });
            if is_held {
                shared.counts.retries.fetch_add(1, Ordering::Relaxed);
            } else {
                shared.continuations.end(slot, Ending::Failed(reason));
            }
        }
    }
}

fn content_type_of(answer: &Answer) -> String {
    answer
        .headers
        .get("content-type")
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_string()
}

/// Whether the runner itself ended the connection.
fn is_closed(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::UnexpectedEof
            | ErrorKind::ConnectionReset
            | ErrorKind::ConnectionAborted
            | ErrorKind::BrokenPipe
    )
}

fn send(shared: &Shared, ticket: &Ticket, seat: &SeatGrant, request: &Call) -> Went {
    let me = shared.links.me();
    let ticket_id = format!(
        "{}-{:x}-{:x}-{:x}",
        me.name, me.incarnation, ticket.slot, seat.seat_no
    );
    let left_ms = ticket.budget_end.saturating_sub(now_ms()).max(1);
    let left_text = left_ms.to_string();
    let mut headers = vec![
        ("Hallkeel-Runner", seat.runner.as_str()),
        ("Hallkeel-Ticket", ticket_id.as_str()),
        ("Hallkeel-Kind", request.kind.as_str()),
        ("Hallkeel-Budget-Ms", left_text.as_str()),
        ("Content-Type", request.content_type.as_str()),
    ];
    if let Some(key) = &request.once_key {
        headers.push(("Idempotency-Key", key.as_str()));
    }
    let answered = call(
        Method::POST,
        &format!("http://{}/invoke", seat.address),
        &headers,
        request.body.clone(),
        Duration::from_millis(left_ms),
        shared.blueprint.load().bounds.body_max,
    );
    let answer = match answered {
        Ok(answer) => answer,
        Err(HttpError::NotConnected(_)) => return Went::NotThere,
        Err(HttpError::TooLarge) => return Went::Badly("answer-too-large", TryEnd::Lost),
        Err(HttpError::Broken(error)) if is_closed(&error) => {
            return Went::Badly("answer-lost", TryEnd::Broken)
        }
        Err(HttpError::Broken(_)) => return Went::Badly("answer-lost", TryEnd::Lost),
    };
    if answer.status == 421 {
        return Went::NotThere;
    }
    let wanted = seal(
        &seat.key,
        &ticket_id,
        &seat.runner,
        answer.status,
        &content_type_of(&answer),
        &answer.body,
    );
    let sealed = answer.headers.get("hallkeel-seal");
    if sealed.is_none_or(|sealed| sealed.as_bytes() != wanted.as_bytes()) {
        shared.counts.bad_seals.fetch_add(1, Ordering::Relaxed);
        return Went::Badly("answer-not-sealed", TryEnd::Bad);
    }
    Went::Well(answer)
}

/// Looks whether runners take connections.
pub fn probe(shared: &Shared, wanted: &Receiver<(String, String)>) {
    for (runner, address) in wanted {
        let Ok(socket) = address.parse::<SocketAddr>() else {
            continue;
        };
        let patience = Duration::from_millis(shared.blueprint.load().bounds.slack_ms());
        let is_there = TcpStream::connect_timeout(&socket, patience).is_ok();
        shared.with_desk(|desk, now| desk.probed(now, &runner, is_there));
    }
}
