use crate::shared::Shared;
use configuration::{Configuration, RunnerState};
use oxhttp::model::{Body, Method, Request, Response};
use std::sync::atomic::Ordering;
use transport::{json, now_ms, text, unix_ms, PeerMessage};

/// Handles operator requests.
pub fn handle(shared: &Shared, request: &Request<Body>, path: &str) -> Response<Body> {
    match (request.method(), path) {
        (&Method::GET, "/status") => json(200, &status(shared)),
        (&Method::GET, "/metrics") => json(200, &metrics(shared)),
        (&Method::POST, "/drain") => {
            let _ = shared.stop.try_send(());
            json(202, &serde_json::json!({ "state": "draining" }))
        }
        (&Method::GET, "/blueprint") => json(200, &*shared.configuration.load_full()),
        _ => text(404, "no such path; callers use POST /call/<function>"),
    }
}

fn status(shared: &Shared) -> serde_json::Value {
    let zone = &shared.settings.zone;
    let (report, plan) =
        shared.with_scheduler(|scheduler, now| (scheduler.report(now, zone), scheduler.plan()));
    let runners: Vec<_> = report
        .runners
        .iter()
        .map(|runner| {
            let quota = plan.runner(&runner.runner).map(|entry| entry.quota);
            serde_json::json!({
                "runner": runner.runner,
                "epoch": runner.epoch,
                "active": runner.is_active,
                "warm": runner.is_warm,
                "quota": quota,
                "lent": runner.leased,
                "unfit": runner.is_unfit,
                "absent_ms": runner.absent_ms,
                "answered": runner.answered,
                "mean_ms": runner.took_ms.checked_div(runner.answered),
            })
        })
        .collect();
    let waiting: Vec<_> = report
        .functions
        .iter()
        .filter(|function| function.waiting > 0)
        .map(|function| serde_json::json!({ "function": function.function, "waiting": function.waiting }))
        .collect();
    serde_json::json!({
        "role": "front",
        "name": shared.settings.name,
        "district": zone,
        "incarnation": format!("{:x}", shared.links.me().incarnation),
        "standing": report.has_quorum,
        "draining": report.is_draining,
        "blueprint": report.configuration,
        "plan": report.plan,
        "roster": plan.membership,
        "view": shared.view.lock().peers().iter().map(|descriptor| &descriptor.peer.name).collect::<Vec<_>>(),
        "runners": runners,
        "waiting": waiting,
    })
}

fn metrics(shared: &Shared) -> serde_json::Value {
    let counts = &shared.counts;
    let wire = shared.links.counts();
    serde_json::json!({
        "answered": counts.answered.load(Ordering::Relaxed),
        "refused": counts.refused.load(Ordering::Relaxed),
        "unknown": counts.unknown.load(Ordering::Relaxed),
        "tries": counts.attempts.load(Ordering::Relaxed),
        "retries": counts.retries.load(Ordering::Relaxed),
        "bad_seals": counts.bad_seals.load(Ordering::Relaxed),
        "in_flight": shared.continuations.len(),
        "wire_taken": wire.taken.load(Ordering::Relaxed),
        "wire_refused": wire.refused.load(Ordering::Relaxed),
        "wire_dropped": wire.dropped.load(Ordering::Relaxed),
    })
}

/// Sends a report to every core.
pub fn report(shared: &Shared) {
    let mut report =
        shared.with_scheduler(|scheduler, now| scheduler.report(now, &shared.settings.zone));
    report.http = shared.settings.http.to_string();
    report.wall_ms = unix_ms();
    for core in shared.cores() {
        let message = PeerMessage::Report(report.clone());
        shared.links.cast(&core, message);
    }
}

/// Whether a draining front has no work left: no requests, and no runners that it owns.
pub fn has_drained(shared: &Shared) -> bool {
    shared.with_scheduler(|scheduler, _| {
        let owns_runners = scheduler.plan().runners.iter().any(|entry| {
            let is_served = matches!(entry.state, RunnerState::Wanted | RunnerState::Draining);
            is_served && entry.owner == *shared.links.me()
        });
        scheduler.is_idle() && !owns_runners
    })
}

/// Whether all callers have received their responses and all claims are resolved.
pub fn has_answered(shared: &Shared) -> bool {
    // The HTTP library writes a response after its handler has returned, so some slack is added.
    let responses_are_written = shared.handled_at.load(Ordering::SeqCst)
        + shared.configuration.load().bounds.slack_ms()
        < now_ms();
    shared.handling.load(Ordering::SeqCst) == 0
        && responses_are_written
        && !shared.claim_store.has_unresolved()
}

/// Longest duration of a drain, in milliseconds, in case the cores cannot reassign this front's runners.
pub fn drain_limit_ms(configuration: &Configuration) -> u64 {
    configuration.longest_budget_ms() + configuration.bounds.return_ms
}
