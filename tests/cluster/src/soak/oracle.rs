//! Judges a run by what the runners received and what clients and operators were answered, and by nothing that the daemons say.

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

/// Most times that a request may run which may be repeated: the tries of its route.
const TRIES: usize = 3;
/// Time after a request's last byte within which a connection may end that a gateway had not read.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Time after a signal to stop within which a request must be sent that its runner may still work on when the grace period ends.
const SENT_AFTER_SIGNAL_MAX: Duration = Duration::from_secs(3);
/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Everything in a run that breaks a promise.
pub fn judge(ledger: &Ledger, received: &[ReceivedRequest]) -> Vec<String> {
    let runs = count_runs(received);
    let mut broken = Vec::new();
    for request in &ledger.requests() {
        judge_request(
            request,
            runs.get(&request.id).copied().unwrap_or(0),
            &mut broken,
        );
    }
    judge_planned_work(ledger, received, &mut broken);
    if let Some(planned_from) = ledger.planned_from() {
        broken.extend(limits::judge(received, planned_from));
    }
    judge_misbehaving(&runs, received, &mut broken);
    for job in &ledger.jobs() {
        judge_job(job, &runs, &mut broken);
    }
    let (changes, reads) = (ledger.changes(), ledger.reads());
    judge_changes(&changes, &mut broken);
    judge_reads(&changes, &reads, &mut broken);
    broken
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

fn judge_request(request: &ClientRecord, runs: usize, broken: &mut Vec<String>) {
    let id = &request.id;
    if request.at_most_once && runs > 1 {
        broken.push(format!("TWICE: {id} ran {runs} times: {request}"));
    }
    if !request.at_most_once && runs > TRIES {
        broken.push(format!("BUDGET: {id} ran {runs} times: {request}"));
    }
    match &request.outcome {
        ClientOutcome::WrongSuccess(_) | ClientOutcome::AnotherRequests(_) => {
            broken.push(format!("MIXED: {request}"));
        }
        ClientOutcome::Answered(status) if PROMISES.contains(status) => {
            if request.at_most_once && runs > 0 {
                broken.push(format!(
                    "REFUSED: {id} ran and was told {status}: {request}"
                ));
            }
        }
        ClientOutcome::Answered(200) if runs == 0 => {
            broken.push(format!(
                "MIXED: {id} was answered and ran nowhere: {request}"
            ));
        }
        ClientOutcome::Answered(status @ (400 | 404)) => {
            broken.push(format!("DENIED: {id} was told {status}: {request}"));
        }
        ClientOutcome::Answered(_) | ClientOutcome::Unanswered | ClientOutcome::NotConnected => {}
    }
}

/// Around planned work, and in calm time, no request is lost that a gateway has read: the connection does not end once the request was
/// passed on to a runner, nor long after it was sent.
fn judge_planned_work(ledger: &Ledger, received: &[ReceivedRequest], broken: &mut Vec<String>) {
    let Some(planned_from) = ledger.planned_from() else {
        return;
    };
    let passed_on: BTreeSet<&str> = received.iter().map(|one| one.id.as_str()).collect();
    for request in &ledger.requests() {
        let is_judged = request.is_ordinary && request.sent_at >= planned_from;
        if !is_judged || request.outcome != ClientOutcome::Unanswered {
            continue;
        }
        let was_passed_on = passed_on.contains(request.id.as_str());
        let was_read = request.ended_at > request.sent_at + LOSS_SLACK;
        if (was_passed_on && !outlasts_grace(request, ledger)) || (was_read && !was_passed_on) {
            broken.push(format!("LOST: passed on {was_passed_on}: {request}"));
        }
    }
}

/// Whether a request's runner was still at work in the last sixth of the grace period of its gateway, which ended then. The users' rule leaves
/// such a request out if it was sent early enough after the signal.
fn outlasts_grace(request: &ClientRecord, ledger: &Ledger) -> bool {
    let asked_at = ledger.restarted_before(request.gateway, request.ended_at);
    asked_at.is_some_and(|asked_at| {
        request.ended_at >= asked_at + GRACE * 5 / 6
            && request.sent_at <= asked_at + SENT_AFTER_SIGNAL_MAX
    })
}

/// A job runs once at most, and all copies that are answered get the same response.
fn judge_job(job: &JobRecord, runs: &BTreeMap<String, usize>, broken: &mut Vec<String>) {
    let runs_of = |copy: &JobCopy| runs.get(&copy.id).copied().unwrap_or(0);
    let total: usize = job.copies.iter().map(runs_of).sum();
    if total > 1 {
        let told: Vec<_> = job
            .copies
            .iter()
            .map(|copy| (copy.status, runs_of(copy)))
            .collect();
        broken.push(format!("TWICE: {} ran {total} times: {told:?}", job.key));
    }
    for copy in &job.copies {
        let is_promise = copy.status.is_some_and(|status| PROMISES.contains(&status));
        if is_promise && runs_of(copy) > 0 {
            broken.push(format!(
                "REFUSED: {} ran and was told {:?}",
                copy.id, copy.status
            ));
        }
    }
    let answered = job.copies.iter().filter(|copy| copy.status == Some(200));
    let mut bodies: Vec<&Vec<u8>> = answered.map(|copy| &copy.body).collect();
    bodies.dedup();
    if bodies.len() > 1 {
        broken.push(format!(
            "MIXED: copies of {} got different responses",
            job.key
        ));
    }
    let is_own = |body: &&Vec<u8>| {
        let mut copies = job.copies.iter();
        copies.any(|copy| body.starts_with(format!("{} ", copy.id).as_bytes()))
    };
    if !bodies.iter().all(is_own) {
        broken.push(format!("MIXED: {} got the answer of another job", job.key));
    }
    if bodies.len() == 1 && total == 0 {
        broken.push(format!("MIXED: {} was answered and ran nowhere", job.key));
    }
}

/// Requests of misbehaving clients run at most once too, where they must.
fn judge_misbehaving(
    runs: &BTreeMap<String, usize>,
    received: &[ReceivedRequest],
    broken: &mut Vec<String>,
) {
    for request in received {
        let is_theirs = request.id.starts_with("m-");
        let count = runs.get(&request.id).copied().unwrap_or(0);
        if is_theirs && request.target.starts_with("/write/") && count > 1 {
            broken.push(format!("TWICE: {} ran {count} times", request.id));
        }
        if is_theirs && request.target.starts_with("/write/") && request.body.len() == 1_500 {
            broken.push(format!("UNASKED: half a body ran: {}", request.id));
        }
    }
}

fn judge_changes(changes: &[ChangeRecord], broken: &mut Vec<String>) {
    let acknowledged = changes
        .iter()
        .filter(|change| matches!(change.outcome, ChangeOutcome::Acknowledged(_)));
    let mut by_base: BTreeMap<u64, &ChangeRecord> = BTreeMap::new();
    for change in acknowledged {
        let former = by_base.insert(change.base, change);
        if let Some(former) = former.filter(|former| former.document != change.document) {
            let (one, other) = (former.version, change.version);
            broken.push(format!(
                "CONFIG: two changes on base {} were acknowledged: {one} and {other}",
                change.base
            ));
        }
    }
}

fn judge_reads(changes: &[ChangeRecord], reads: &[ReadRecord], broken: &mut Vec<String>) {
    for read in reads {
        for change in changes {
            judge_read(change, read, broken);
        }
    }
}

fn judge_read(change: &ChangeRecord, read: &ReadRecord, broken: &mut Vec<String>) {
    let controller = read.controller + 1;
    let version = read.version;
    match change.outcome {
        ChangeOutcome::Acknowledged(at) if read.sent_at > at && version < change.version => {
            broken.push(format!(
                "CONFIG: control-{controller} read {version} after {} was acknowledged",
                change.version
            ));
        }
        ChangeOutcome::Acknowledged(_)
            if version == change.version && read.document != change.document =>
        {
            broken.push(format!(
                "CONFIG: control-{controller} read {version} with another content than was acknowledged"
            ));
        }
        ChangeOutcome::Rejected(status) if read.document == change.document => {
            broken.push(format!(
                "CONFIG: version {version} on base {} was rejected with {status} and is in force",
                change.base
            ));
        }
        _ => {}
    }
}

/// What is read back at the end, at each controller, is the newest acknowledged configuration or one that got no clear answer.
pub fn judge_end(ledger: &Ledger, last: &[ReadRecord]) -> Vec<String> {
    let mut broken = Vec::new();
    let changes = ledger.changes();
    judge_reads(&changes, last, &mut broken);
    for read in last {
        let is_known = changes
            .iter()
            .any(|change| change.document == read.document);
        if !is_known && version_of(&read.document) != 1 {
            let (controller, version) = (read.controller + 1, read.version);
            broken.push(format!(
                "CONFIG: control-{controller} reads {version}, which nobody sent"
            ));
        }
    }
    broken
}
