//! Checks a run using only the requests that runners received and the responses that clients and operators got, and nothing that
//! daemons report about themselves.

use super::ledger::{
    ChangeOutcome, ChangeRecord, ClientOutcome, ClientRecord, JobCopy, JobRecord, Ledger,
    ReadRecord,
};
use super::limits;
use super::operators::version_of;
use crate::daemon::GRACE;
use crate::request_log::{ReceivedRequest, RequestOutcome};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Most runs of a request that may be retried: the tries of its route.
const TRIES: usize = 3;
/// Time after sending within which a connection may close without a response because the gateway had not read the request.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Longest time after the stop signal at which a request may be sent and still be excused if the grace period ends while it runs.
const SENT_AFTER_SIGNAL_MAX: Duration = Duration::from_secs(3);
/// Statuses that guarantee that a request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// All violations of guarantees in a run.
pub fn check(ledger: &Ledger, received: &[ReceivedRequest]) -> Vec<String> {
    let runs = count_runs(received);
    let mut violations = Vec::new();
    for request in &ledger.requests() {
        check_request(
            request,
            runs.get(&request.id).copied().unwrap_or(0),
            &mut violations,
        );
    }
    let unsealed = ledger.unsealed().into_iter();
    violations.extend(unsealed.map(|one| format!("MIXED: {one}")));
    check_planned_work(ledger, received, &mut violations);
    if let Some(planned_from) = ledger.planned_from() {
        violations.extend(limits::check(received, planned_from));
    }
    check_misbehaving(&runs, received, &mut violations);
    for job in &ledger.jobs() {
        check_job(job, &runs, &mut violations);
    }
    let (changes, reads) = (ledger.changes(), ledger.reads());
    check_changes(&changes, &mut violations);
    check_reads(&changes, &reads, &mut violations);
    violations
}

fn count_runs(received: &[ReceivedRequest]) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for request in received {
        if request.outcome == RequestOutcome::Ran {
            *runs.entry(request.id.clone()).or_insert(0) += 1;
        }
    }
    runs
}

fn check_request(request: &ClientRecord, runs: usize, violations: &mut Vec<String>) {
    let id = &request.id;
    if request.at_most_once && runs > 1 {
        violations.push(format!("TWICE: {id} ran {runs} times: {request}"));
    }
    if !request.at_most_once && runs > TRIES {
        violations.push(format!("BUDGET: {id} ran {runs} times: {request}"));
    }
    match &request.outcome {
        ClientOutcome::WrongSuccess(_) | ClientOutcome::AnotherRequests(_) => {
            violations.push(format!("MIXED: {request}"));
        }
        ClientOutcome::Answered(status) if NOT_RUN_STATUSES.contains(status) => {
            if request.at_most_once && runs > 0 {
                violations.push(format!(
                    "REFUSED: {id} ran but was answered {status}: {request}"
                ));
            }
        }
        ClientOutcome::Answered(200) if runs == 0 => {
            violations.push(format!(
                "MIXED: {id} was answered but did not run: {request}"
            ));
        }
        ClientOutcome::Answered(status @ (400 | 404)) => {
            violations.push(format!("DENIED: {id} was answered {status}: {request}"));
        }
        ClientOutcome::Answered(_) | ClientOutcome::Unanswered | ClientOutcome::NotConnected => {}
    }
}

/// During planned work and without faults, no request is lost that a gateway has read: the connection must not close after the
/// request was forwarded to a runner, nor long after it was sent.
fn check_planned_work(ledger: &Ledger, received: &[ReceivedRequest], violations: &mut Vec<String>) {
    let Some(planned_from) = ledger.planned_from() else {
        return;
    };
    let forwarded: BTreeSet<&str> = received.iter().map(|one| one.id.as_str()).collect();
    for request in &ledger.requests() {
        let is_checked = request.is_ordinary && request.sent_at >= planned_from;
        if !is_checked || request.outcome != ClientOutcome::Unanswered {
            continue;
        }
        let was_forwarded = forwarded.contains(request.id.as_str());
        let was_read = request.ended_at > request.sent_at + LOSS_SLACK;
        if (was_forwarded && !outlasts_grace_period(request, ledger))
            || (was_read && !was_forwarded)
        {
            violations.push(format!("LOST: forwarded {was_forwarded}: {request}"));
        }
    }
}

/// Whether a request was still running in the last sixth of its gateway's grace period and ended with it. The guarantee to users
/// excludes such a request if it was sent early enough after the stop signal.
fn outlasts_grace_period(request: &ClientRecord, ledger: &Ledger) -> bool {
    let asked_at = ledger.restarted_before(request.gateway, request.ended_at);
    asked_at.is_some_and(|asked_at| {
        request.ended_at >= asked_at + GRACE * 5 / 6
            && request.sent_at <= asked_at + SENT_AFTER_SIGNAL_MAX
    })
}

/// A job runs at most once, and all its successful copies get the same response.
fn check_job(job: &JobRecord, runs: &BTreeMap<String, usize>, violations: &mut Vec<String>) {
    let runs_of = |copy: &JobCopy| runs.get(&copy.id).copied().unwrap_or(0);
    let total: usize = job.copies.iter().map(runs_of).sum();
    if total > 1 {
        let outcomes: Vec<_> = job
            .copies
            .iter()
            .map(|copy| (copy.status, runs_of(copy)))
            .collect();
        violations.push(format!(
            "TWICE: {} ran {total} times: {outcomes:?}",
            job.key
        ));
    }
    for copy in &job.copies {
        let promises_not_run = copy
            .status
            .is_some_and(|status| NOT_RUN_STATUSES.contains(&status));
        if promises_not_run && runs_of(copy) > 0 {
            violations.push(format!(
                "REFUSED: {} ran but was answered {:?}",
                copy.id, copy.status
            ));
        }
    }
    let answered = job.copies.iter().filter(|copy| copy.status == Some(200));
    let mut bodies: Vec<&Vec<u8>> = answered.map(|copy| &copy.body).collect();
    bodies.dedup();
    if bodies.len() > 1 {
        violations.push(format!(
            "MIXED: copies of {} got different responses",
            job.key
        ));
    }
    let is_own_response = |body: &&Vec<u8>| {
        let mut copies = job.copies.iter();
        copies.any(|copy| body.starts_with(format!("{} ", copy.id).as_bytes()))
    };
    if !bodies.iter().all(is_own_response) {
        violations.push(format!(
            "MIXED: {} got the response of another job",
            job.key
        ));
    }
    if bodies.len() == 1 && total == 0 {
        violations.push(format!("MIXED: {} was answered but did not run", job.key));
    }
}

/// Unsafe requests of misbehaving clients also run at most once, and never with a partial body.
fn check_misbehaving(
    runs: &BTreeMap<String, usize>,
    received: &[ReceivedRequest],
    violations: &mut Vec<String>,
) {
    for request in received {
        let is_misbehaving = request.id.starts_with("m-");
        let count = runs.get(&request.id).copied().unwrap_or(0);
        if is_misbehaving && request.target.starts_with("/write/") && count > 1 {
            violations.push(format!("TWICE: {} ran {count} times", request.id));
        }
        if is_misbehaving && request.target.starts_with("/write/") && request.body.len() == 1_500 {
            violations.push(format!("UNASKED: half a body ran: {}", request.id));
        }
    }
}

fn check_changes(changes: &[ChangeRecord], violations: &mut Vec<String>) {
    let acknowledged = changes
        .iter()
        .filter(|change| matches!(change.outcome, ChangeOutcome::Acknowledged(_)));
    let mut by_base: BTreeMap<u64, &ChangeRecord> = BTreeMap::new();
    for change in acknowledged {
        let former = by_base.insert(change.base, change);
        if let Some(former) = former.filter(|former| former.document != change.document) {
            let (one, other) = (former.version, change.version);
            violations.push(format!(
                "CONFIG: two changes on base {} were acknowledged: {one} and {other}",
                change.base
            ));
        }
    }
}

fn check_reads(changes: &[ChangeRecord], reads: &[ReadRecord], violations: &mut Vec<String>) {
    for read in reads {
        for change in changes {
            check_read(change, read, violations);
        }
    }
}

fn check_read(change: &ChangeRecord, read: &ReadRecord, violations: &mut Vec<String>) {
    let controller = read.controller + 1;
    let version = read.version;
    match change.outcome {
        ChangeOutcome::Acknowledged(at) if read.sent_at > at && version < change.version => {
            violations.push(format!(
                "CONFIG: control-{controller} read {version} after {} was acknowledged",
                change.version
            ));
        }
        ChangeOutcome::Acknowledged(_)
            if version == change.version && read.document != change.document =>
        {
            violations.push(format!(
                "CONFIG: control-{controller} read {version} with different content than was acknowledged"
            ));
        }
        ChangeOutcome::Rejected(status) if read.document == change.document => {
            violations.push(format!(
                "CONFIG: version {version} on base {} was rejected with {status} and is in force",
                change.base
            ));
        }
        _ => {}
    }
}

/// The final configuration at each controller must be the newest acknowledged one or one without a definite response.
pub fn check_final_reads(ledger: &Ledger, last: &[ReadRecord]) -> Vec<String> {
    let mut violations = Vec::new();
    let changes = ledger.changes();
    check_reads(&changes, last, &mut violations);
    for read in last {
        let is_known = changes
            .iter()
            .any(|change| change.document == read.document);
        if !is_known && version_of(&read.document) != 1 {
            let (controller, version) = (read.controller + 1, read.version);
            violations.push(format!(
                "CONFIG: control-{controller} reads {version}, which nobody sent"
            ));
        }
    }
    violations
}
