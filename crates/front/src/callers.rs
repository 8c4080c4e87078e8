use crate::claims::{Claimed, HeldClaim};
use crate::continuations::{Call, CallOutcome};
use crate::operators;
use crate::shared::{refusal_words, Shared};
use configuration::{Configuration, FunctionSpec};
use idempotency_keys::{digest_hex, Claim, IdempotencyKey};
use oxhttp::model::{Body, HeaderValue, Method, Request, Response, StatusCode};
use rand::Rng;
use request_queue::{QueuedRequest, Rejection};
use std::io;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use transport::{json, now_ms, read_body, text, unix_ms};

const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Opens the port for callers and operators.
pub fn serve(shared: &Arc<Shared>) -> io::Result<()> {
    let handling = shared.clone();
    transport::serve(
        shared.settings.http,
        shared.settings.connections_max,
        IDLE_TIMEOUT,
        move |request| handle(&handling, request),
    )
}

fn handle(shared: &Shared, request: &mut Request<Body>) -> Response<Body> {
    let path = request.uri().path().to_string();
    let Some(function) = path.strip_prefix("/call/") else {
        return operators::handle(shared, request, &path);
    };
    if request.method() != Method::POST {
        return text(405, "call a function with POST");
    }
    shared.handling.fetch_add(1, Ordering::SeqCst);
    let response = take_call(shared, request, function).unwrap_or_else(|refused| *refused);
    // Callers that keep their connection must not be on it when this front ends. The library closes
    // it after the answer where the request says so.
    if shared.is_stopping.load(Ordering::SeqCst) {
        let close = HeaderValue::from_static("close");
        request.headers_mut().insert("connection", close);
    }
    shared.handled_at.store(now_ms(), Ordering::SeqCst);
    shared.handling.fetch_sub(1, Ordering::SeqCst);
    response
}

fn header<'a>(request: &'a Request<Body>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

fn refused(status: u16, reason: &str, sentence: &str) -> Box<Response<Body>> {
    Box::new(outcome(status, "not-run", reason, sentence))
}

/// An answer that hallkeel gives itself, with the outcome in a header and in the body.
fn outcome(status: u16, outcome: &str, reason: &str, sentence: &str) -> Response<Body> {
    let mut body = serde_json::json!({
        "outcome": outcome, "reason": reason, "error": sentence,
    });
    // Callers that were turned away come back spread over some seconds, not all at once.
    let pause_ms = (status == 503 || reason == "in-progress")
        .then(|| rand::rng().random_range(1_000..4_000u64));
    if let Some(pause_ms) = pause_ms {
        body["retry_after_ms"] = pause_ms.into();
    }
    let mut response = json(status, &body);
    if let Ok(value) = HeaderValue::from_str(outcome) {
        response.headers_mut().insert("hallkeel-outcome", value);
    }
    if let Some(pause_ms) = pause_ms {
        let seconds = HeaderValue::from(pause_ms.div_ceil(1_000));
        response.headers_mut().insert("retry-after", seconds);
    }
    response
}

fn answered(status: u16, content_type: &str, body: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    headers.insert("hallkeel-outcome", HeaderValue::from_static("answered"));
    if let Ok(value) = HeaderValue::from_str(content_type) {
        headers.insert("content-type", value);
    }
    response
}

/// Budget of a call: the listing's, or less where the caller asks for less.
fn budget_of(
    request: &Request<Body>,
    function_spec: &FunctionSpec,
) -> Result<u64, Box<Response<Body>>> {
    let Some(wanted) = header(request, "hallkeel-budget-ms") else {
        return Ok(function_spec.budget_ms);
    };
    match wanted.parse::<u64>() {
        Ok(wanted) if wanted > 0 => Ok(wanted.min(function_spec.budget_ms)),
        _ => Err(refused(
            400,
            "bad-budget",
            "Hallkeel-Budget-Ms must be a number of milliseconds above zero",
        )),
    }
}

fn idempotency_key(
    request: &Request<Body>,
    configuration: &Configuration,
    function: &str,
) -> Result<(String, IdempotencyKey), Box<Response<Body>>> {
    let Some(key) = header(request, "idempotency-key") else {
        let sentence = "work of this kind needs an Idempotency-Key";
        return Err(refused(400, "missing-key", sentence));
    };
    let (remembered, ahead) = (
        configuration.bounds.claim_ms,
        configuration.bounds.change_ms,
    );
    IdempotencyKey::read(key, function, unix_ms(), remembered, ahead)
        .map(|read| (key.to_string(), read))
        .map_err(|fault| refused(400, "bad-key", &fault.to_string()))
}

fn take_call(
    shared: &Shared,
    request: &mut Request<Body>,
    function: &str,
) -> Result<Response<Body>, Box<Response<Body>>> {
    let arrived = now_ms();
    let configuration = shared.configuration.load_full();
    // A front that does not yet know the configuration cannot say what exists.
    if let Err(rejection) =
        shared.with_scheduler(|scheduler, now| scheduler.check_admission(now, function))
    {
        return Err(turned_away(shared, rejection));
    }
    let Some(function_spec) = configuration.function_spec(function) else {
        return Err(turned_away(shared, Rejection::Unlisted));
    };
    let kind_name = header(request, "hallkeel-kind").unwrap_or(&function_spec.kinds[0]);
    let known = configuration.kind(kind_name);
    let Some((priority, kind)) =
        known.filter(|_| function_spec.kinds.iter().any(|name| name == kind_name))
    else {
        let sentence = format!("function {function:?} takes no work of kind {kind_name:?}");
        return Err(refused(400, "unknown-kind", &sentence));
    };
    let budget_end = arrived + budget_of(request, function_spec)?;
    let key = match kind.once {
        true => Some(idempotency_key(request, &configuration, function)?),
        false => None,
    };
    let content_type = header(request, "content-type")
        .unwrap_or("application/octet-stream")
        .to_string();
    let body = read_body(request, configuration.bounds.body_max)?;
    let digest = digest_hex(&body);
    let call = Arc::new(Call {
        function: function.to_string(),
        kind: kind.name.clone(),
        is_once: kind.once,
        content_type,
        body,
        idempotency_key: key.as_ref().map(|(text, _)| text.clone()),
    });
    let (slot, outcome_receiver) = shared.continuations.open(call.clone());
    let claimed = match &key {
        None => None,
        Some((_, key)) => match claim(shared, key, slot, &digest, budget_end) {
            Ok(held) => Some((key, held)),
            Err(response) => {
                shared.continuations.abandon(slot);
                return Err(response);
            }
        },
    };
    let queued_request = QueuedRequest {
        slot,
        function: call.function.clone(),
        priority,
        arrived,
        budget_end,
        unsent: 0,
    };
    shared.with_scheduler(|scheduler, now| {
        scheduler.count_arrival(&queued_request.function);
        scheduler.arrive(now, queued_request);
    });
    let timeout = Duration::from_millis(budget_end.saturating_sub(now_ms()));
    let mut end = outcome_receiver.recv_timeout(timeout).ok();
    if end.is_none() {
        end = match shared.continuations.abandon(slot) {
            Some(true) => Some(CallOutcome::Failed("budget-over")),
            Some(false) => Some(CallOutcome::Refused(Rejection::BudgetOver)),
            None => outcome_receiver.recv().ok(),
        };
    }
    let end = end.unwrap_or(CallOutcome::Failed("answer-lost"));
    if let Some((key, held)) = claimed {
        note_claim(shared, key, held, &digest, &end);
    }
    Ok(respond(shared, end))
}

fn claim(
    shared: &Shared,
    key: &IdempotencyKey,
    slot: u64,
    digest: &str,
    budget_end: u64,
) -> Result<HeldClaim, Box<Response<Body>>> {
    let bounds = &shared.configuration.load().bounds;
    let most = bounds.lease_ms();
    let timeout = Duration::from_millis(budget_end.saturating_sub(now_ms()).min(most));
    match shared.claim_store.claim(key, slot, digest, timeout) {
        Claimed::Ours(held) => Ok(held),
        Claimed::AgedOut => Err(Box::new(outcome(
            409,
            "unknown",
            "ledger-lost",
            "the ledger lost what it knew of keys this old; whether the work ran is not known",
        ))),
        Claimed::Shut => Err(refused(
            503,
            "ledger-shut",
            "no majority of voters took the claim on the key, so nothing was sent",
        )),
        Claimed::Theirs(claim) if claim.digest().is_some_and(|known| known != digest) => Err(
            refused(422, "other-body", "the key was used with another body"),
        ),
        Claimed::Theirs(Claim::Done {
            status,
            content_type,
            body: Some(body),
            ..
        }) => Err(Box::new(answered(status, &content_type, body))),
        Claimed::Theirs(Claim::Done { .. }) => Err(Box::new(outcome(
            409,
            "answered",
            "answer-not-kept",
            "the work ran and was answered; the answer was too large to keep",
        ))),
        Claimed::Theirs(Claim::Unknown { .. }) => Err(Box::new(outcome(
            409,
            "unknown",
            "answer-lost",
            "the work under this key was sent and its answer was lost; it is not sent again",
        ))),
        Claimed::Theirs(_) => Err(Box::new(outcome(
            409,
            "unknown",
            "in-progress",
            "another request with this key is under way, or was when its front stopped",
        ))),
    }
}

fn note_claim(
    shared: &Shared,
    key: &IdempotencyKey,
    held: HeldClaim,
    digest: &str,
    end: &CallOutcome,
) {
    let digest = digest.to_string();
    let timeout = Duration::from_millis(shared.configuration.load().bounds.lease_ms() / 3);
    let claim = match end {
        CallOutcome::Refused(_) => return shared.claim_store.free(key, held, timeout),
        CallOutcome::Failed(_) => Claim::Unknown { digest },
        CallOutcome::Answered {
            status,
            content_type,
            body,
        } => Claim::Done {
            digest,
            status: *status,
            content_type: content_type.clone(),
            body: Some(body.clone()),
        },
    };
    shared.claim_store.note(key, held, claim, timeout);
}

fn turned_away(shared: &Shared, rejection: Rejection) -> Box<Response<Body>> {
    shared.counts.refused.fetch_add(1, Ordering::Relaxed);
    let (status, reason) = refusal_words(rejection);
    let sentence = match rejection {
        Rejection::Unlisted => "no function of this name is listed",
        Rejection::QueueFull | Rejection::Shed => "too much work waits for this function",
        Rejection::BudgetOver => "the budget was over before a seat was free",
        Rejection::NoQuorum => "this front is cut off or has just started; try another",
        Rejection::Draining => "this front is about to stop; try another",
        Rejection::Unreachable => "no runner of the function could be reached",
    };
    refused(status, reason, sentence)
}

fn respond(shared: &Shared, end: CallOutcome) -> Response<Body> {
    match end {
        CallOutcome::Answered {
            status,
            content_type,
            body,
        } => {
            shared.counts.answered.fetch_add(1, Ordering::Relaxed);
            answered(status, &content_type, body)
        }
        CallOutcome::Refused(rejection) => *turned_away(shared, rejection),
        CallOutcome::Failed(reason) => {
            shared.counts.unknown.fetch_add(1, Ordering::Relaxed);
            let status = if reason == "budget-over" { 504 } else { 502 };
            let sentence = "the work was sent to a runner and no good answer came; it may have run";
            outcome(status, "unknown", reason, sentence)
        }
    }
}
