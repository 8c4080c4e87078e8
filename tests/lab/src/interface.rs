//! Every answer that callers are promised, checked against real processes.

use crate::context::ScenarioContext;
use crate::deployment::{Deployment, LabError};
use crate::fleet::{Fleet, Needs};
use crate::interface_operators as operators;
use crate::run_log::{self, unix_now_ms};
use crate::session::make_ready;
use oxhttp::model::Method;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;
use transport::{call, CallResponse};

/// Reasons after which callers are told to ask again with the same key: no majority of voters answers, or the first request
/// with the key is not completed yet.
const LEDGER_SHUT: &str = "ledger-shut";
const IN_PROGRESS: &str = "in-progress";
/// How often a request is asked again that is told to come back, and the pause before.
const COME_BACK_MAX: usize = 60;
const COME_BACK_PAUSE: Duration = Duration::from_millis(500);

/// What the checks act on.
pub struct InterfaceClient {
    pub context: ScenarioContext,
    pub dir: PathBuf,
}

type Check = fn(&mut InterfaceClient) -> Result<(), String>;

/// Checks every answer that callers and operators are promised, against real processes.
pub fn run(file: &Path, dir: &Path) -> Result<(), LabError> {
    let deployment = Deployment::read(file)?;
    let ready = make_ready(&deployment, file, dir, Needs::default())?;
    let mut client = InterfaceClient {
        context: ScenarioContext::new(ready.fleet, deployment),
        dir: dir.to_path_buf(),
    };
    let checks: Vec<(&str, Check)> = vec![
        ("a call is answered", answered),
        ("once-work runs once and its answer is kept", once),
        ("bad requests are refused with their reason", bad_requests),
        (
            "a full holding turns away with a time to come back",
            full_holding,
        ),
        ("a budget that is over is told as what it was", budget_over),
        ("an answer without a seal is no success", not_sealed),
        (
            "bad blueprints change nothing",
            operators::bad_configurations,
        ),
        ("a stale put is told the version", operators::stale_put),
        ("garbage between daemons is refused", operators::garbage),
        (
            "bad settings end a daemon with code 2",
            operators::bad_settings,
        ),
        (
            "a data folder belongs to one daemon",
            operators::data_folder,
        ),
        ("the operator's tool does what it says", operators::tool),
        ("a front drains and stops", operators::drain),
    ];
    let mut broken = Vec::new();
    for (name, check) in checks {
        match check(&mut client) {
            Ok(()) => println!("good    {name}"),
            Err(why) => {
                println!("BROKEN  {name}: {why}");
                broken.push(name);
            }
        }
    }
    if broken.is_empty() {
        return Ok(());
    }
    Err(LabError::Broken(format!("broken: {}", broken.join(", "))))
}

/// Calls a front.
pub fn ask(
    fleet: &Fleet,
    front: usize,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<CallResponse, String> {
    let uri = format!("http://{}{path}", fleet.fronts[front].http);
    let timeout = Duration::from_secs(8);
    call(Method::POST, &uri, headers, body.to_vec(), timeout, 1 << 20)
        .map_err(|error| error.to_string())
}

/// Asks again with the same key for as long as the answer has one of these reasons, after which callers are told to come
/// back: while the disks of a majority stall no claim on a key is taken, and none is completed.
fn ask_again(
    request: &KeyedRequest<'_>,
    front: usize,
    come_back: &[&str],
) -> Result<CallResponse, String> {
    let ask_once = || {
        ask(
            request.fleet,
            front,
            request.path,
            &request.headers,
            request.body,
        )
    };
    let mut answer = ask_once()?;
    for _ in 0..COME_BACK_MAX {
        if !come_back.contains(&reason_of(&answer).as_str()) {
            break;
        }
        std::thread::sleep(COME_BACK_PAUSE);
        answer = ask_once()?;
    }
    Ok(answer)
}

fn reason_of(answer: &CallResponse) -> String {
    let reported: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    reported["reason"].as_str().unwrap_or("").to_string()
}

/// Holds an answer against what was promised: status, outcome, reason.
pub fn expect(
    answer: &CallResponse,
    status: u16,
    outcome: &str,
    reason: &str,
) -> Result<(), String> {
    let header = answer.headers.get("hallkeel-outcome");
    let reported_outcome = header.and_then(|value| value.to_str().ok()).unwrap_or("");
    let reported_reason = reason_of(answer);
    if (answer.status, reported_outcome, reported_reason.as_str()) == (status, outcome, reason) {
        return Ok(());
    }
    Err(format!(
        "wanted {status} {outcome:?} {reason:?}, got {} {reported_outcome:?} {reported_reason:?}",
        answer.status
    ))
}

fn fresh_key(text: &str) -> String {
    format!("{}-{text}", unix_now_ms())
}

fn answered(client: &mut InterfaceClient) -> Result<(), String> {
    let fleet = &client.context.fleet;
    for front in 0..fleet.fronts.len() {
        let body = format!(r#"{{"call":"plain-{front}"}}"#);
        let answer = ask(fleet, front, "/call/quick-000", &[], body.as_bytes())?;
        expect(&answer, 200, "answered", "")?;
        let reported: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        if reported["call"] != format!("plain-{front}") || reported["function"] != "quick-000" {
            return Err(format!("another answer: {reported}"));
        }
    }
    Ok(())
}

fn runs_of(client: &InterfaceClient, key: &str) -> usize {
    let runs = run_log::read_all(&client.dir.join("ledgers")).unwrap_or_default();
    runs.iter().filter(|run| run.key == key).count()
}

/// A request under a key of work that must run once.
struct KeyedRequest<'a> {
    fleet: &'a Fleet,
    path: &'a str,
    headers: [(&'a str, &'a str); 2],
    body: &'a [u8],
}

impl<'a> KeyedRequest<'a> {
    fn new(fleet: &'a Fleet, path: &'a str, key: &'a str, body: &'a [u8]) -> Self {
        let headers = [("hallkeel-kind", "urgent"), ("idempotency-key", key)];
        Self {
            fleet,
            path,
            headers,
            body,
        }
    }
}

fn once(client: &mut InterfaceClient) -> Result<(), String> {
    let key = fresh_key("once");
    let fleet = &client.context.fleet;
    let path = "/call/quick-000";
    let request = KeyedRequest::new(fleet, path, &key, br#"{"call":"o"}"#);
    let other_body = KeyedRequest::new(fleet, path, &key, br#"{"call":"p"}"#);
    let first = ask_again(&request, 0, &[LEDGER_SHUT])?;
    expect(&first, 200, "answered", "")?;
    for front in 0..fleet.fronts.len() {
        let again = ask_again(&request, front, &[LEDGER_SHUT, IN_PROGRESS])?;
        expect(&again, 200, "answered", "")?;
        if again.body != first.body {
            return Err("the kept answer is another one".into());
        }
        let other = ask_again(&other_body, front, &[LEDGER_SHUT])?;
        expect(&other, 422, "not-run", "other-body")?;
    }
    match runs_of(client, &key) {
        1 => Ok(()),
        runs => Err(format!("{runs} runs")),
    }
}

/// Path, headers, status and reason.
type BadRequest<'a> = (&'a str, &'a [(&'a str, &'a str)], u16, &'a str);

fn bad_requests(client: &mut InterfaceClient) -> Result<(), String> {
    let fleet = &client.context.fleet;
    let old_key = format!("{}-old", unix_now_ms() - 3_600_000);
    let early_key = format!("{}-early", unix_now_ms() + 60_000);
    let cases: [BadRequest; 8] = [
        ("/call/nothing", &[], 404, "unknown-function"),
        (
            "/call/quick-000",
            &[("hallkeel-kind", "odd")],
            400,
            "unknown-kind",
        ),
        (
            "/call/quick-000",
            &[("hallkeel-budget-ms", "-3")],
            400,
            "bad-budget",
        ),
        (
            "/call/quick-000",
            &[("hallkeel-budget-ms", "0")],
            400,
            "bad-budget",
        ),
        (
            "/call/quick-000",
            &[("hallkeel-kind", "urgent")],
            400,
            "missing-key",
        ),
        (
            "/call/quick-000",
            &[("hallkeel-kind", "urgent"), ("idempotency-key", "mine")],
            400,
            "bad-key",
        ),
        (
            "/call/quick-000",
            &[("hallkeel-kind", "urgent"), ("idempotency-key", &old_key)],
            400,
            "bad-key",
        ),
        (
            "/call/quick-000",
            &[("hallkeel-kind", "urgent"), ("idempotency-key", &early_key)],
            400,
            "bad-key",
        ),
    ];
    for (path, headers, status, reason) in cases {
        let answer = ask(fleet, 1, path, headers, b"{}")?;
        expect(&answer, status, "not-run", reason)?;
    }
    let large = ask(fleet, 1, "/call/quick-000", &[], &[b'x'; 5_000])?;
    if large.status != 413 {
        return Err(format!("a body over the bound was told {}", large.status));
    }
    Ok(())
}

fn full_holding(client: &mut InterfaceClient) -> Result<(), String> {
    let fleet = &client.context.fleet;
    let answers: Vec<Result<CallResponse, String>> = std::thread::scope(|scope| {
        let attempts: Vec<_> = (0..40)
            .map(|_| scope.spawn(|| ask(fleet, 0, "/call/slow-000", &[], b"{}")))
            .collect();
        let joined = attempts.into_iter().map(|ask| ask.join());
        joined
            .map(|reported| reported.unwrap_or_else(|_| Err("a caller failed".into())))
            .collect()
    });
    let mut counts: BTreeMap<u16, usize> = BTreeMap::new();
    for answer in answers {
        let answer = answer?;
        *counts.entry(answer.status).or_default() += 1;
        if answer.status != 503 {
            continue;
        }
        expect(&answer, 503, "not-run", "holding-full")?;
        let header = answer.headers.get("retry-after");
        let seconds = header.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        if !seconds.is_some_and(|seconds| (1..=4).contains(&seconds)) {
            return Err(format!("Retry-After is {seconds:?}"));
        }
    }
    let count = |status| counts.get(&status).copied().unwrap_or(0);
    if count(200) == 0 || count(503) < 20 {
        return Err(format!("answers by status: {counts:?}"));
    }
    Ok(())
}

fn budget_over(client: &mut InterfaceClient) -> Result<(), String> {
    let fleet = &client.context.fleet;
    let headers = [("hallkeel-budget-ms", "20")];
    let answer = ask(fleet, 2, "/call/slow-000", &headers, b"{}")?;
    let is_sent = expect(&answer, 504, "unknown", "budget-over");
    let is_unsent = expect(&answer, 504, "not-run", "budget-over");
    is_sent.or(is_unsent)
}

fn not_sealed(client: &mut InterfaceClient) -> Result<(), String> {
    client
        .context
        .runner_fault("quick-001", Some("no-seal"), 1.0);
    let key = fresh_key("no-seal");
    let request = KeyedRequest::new(&client.context.fleet, "/call/quick-001", &key, b"{}");
    let first = ask_again(&request, 0, &[LEDGER_SHUT])?;
    expect(&first, 502, "unknown", "answer-not-sealed")?;
    let again = ask_again(&request, 1, &[LEDGER_SHUT, IN_PROGRESS])?;
    expect(&again, 409, "unknown", "answer-lost")?;
    client.context.runner_fault("quick-001", None, 0.0);
    match runs_of(client, &key) {
        1 => Ok(()),
        runs => Err(format!("{runs} runs")),
    }
}
