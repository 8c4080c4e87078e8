use crate::puts;
use crate::repair;
use crate::shared::Shared;
use crate::voter_membership;
use crate::voting::VoterTask;
use configuration::{RunnerEntry, MAX_TEXT_BYTES};
use crossbeam::channel::bounded;
use oxhttp::model::{Body, Method, Request, Response};
use std::collections::HashMap;
use std::io;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use transport::{json, now_ms, read_body, serve as serve_http, text};

const MAX_CONNECTIONS: usize = 256;
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves the operator API.
pub fn serve(shared: &Arc<Shared>) -> io::Result<()> {
    let core = shared.clone();
    serve_http(
        shared.settings.http,
        MAX_CONNECTIONS,
        IDLE_TIMEOUT,
        move |request| {
            core.handling.fetch_add(1, Ordering::SeqCst);
            let response = handle(&core, request);
            core.handling.fetch_sub(1, Ordering::SeqCst);
            response
        },
    )
}

fn handle(shared: &Shared, request: &mut Request<Body>) -> Response<Body> {
    let path = request.uri().path().to_string();
    let query = parse_query(request.uri().query().unwrap_or_default());
    match (request.method().clone(), path.as_str()) {
        (Method::GET, "/blueprint") => configuration(shared),
        (Method::GET, "/blueprint/history") => history(shared),
        (Method::POST, "/blueprint/check") => check(shared, request),
        (Method::PUT, "/blueprint") => put(shared, request, &query),
        (Method::GET, "/voters") => voters(shared),
        (Method::POST, "/voters/replace") => replace(shared, &query),
        (Method::GET, "/status") => json(200, &status(shared)),
        (Method::GET, "/metrics") => json(200, &metrics(shared)),
        (Method::GET, path) if path.starts_with("/explain/") => {
            explain(shared, path.trim_start_matches("/explain/"))
        }
        _ => text(404, "no such path"),
    }
}

fn parse_query(text: &str) -> HashMap<String, String> {
    text.split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_string(), value.to_string()))
        .collect()
}

fn read_text(request: &mut Request<Body>) -> Result<String, Box<Response<Body>>> {
    let body = read_body(request, MAX_TEXT_BYTES as u64)?;
    String::from_utf8(body).map_err(|_| Box::new(text(400, "the body is not UTF-8")))
}

fn configuration(shared: &Shared) -> Response<Body> {
    // Read at a majority first, so that the response includes every acknowledged PUT.
    let lease = shared.store.committed().configuration.bounds.lease_ms();
    let is_certain = shared.store.refresh(Duration::from_millis(lease / 3));
    let committed = shared.store.committed();
    json(
        200,
        &serde_json::json!({
            "version": committed.configuration_version.no,
            "era": committed.configuration_version.epoch,
            "certain": is_certain,
            "blueprint": &*committed.configuration,
        }),
    )
}

fn history(shared: &Shared) -> Response<Body> {
    json(200, &shared.store.committed().value.history)
}

fn check(shared: &Shared, request: &mut Request<Body>) -> Response<Body> {
    let body = match read_text(request) {
        Ok(body) => body,
        Err(response) => return *response,
    };
    match puts::check(shared, &body) {
        Ok(configuration) => json(
            200,
            &serde_json::json!({ "outcome": "good", "listings": configuration.function_specs.len() }),
        ),
        Err(faults) => puts::rejected_response(&faults),
    }
}

fn put(
    shared: &Shared,
    request: &mut Request<Body>,
    query: &HashMap<String, String>,
) -> Response<Body> {
    let expected = query.get("expected").and_then(|text| text.parse().ok());
    let Some(expected) = expected else {
        return text(
            400,
            "say the version in force: PUT /blueprint?expected=<version>",
        );
    };
    let note = query.get("note").cloned().unwrap_or_default();
    match read_text(request) {
        Ok(body) => puts::put(shared, &body, expected, &note),
        Err(response) => *response,
    }
}

fn voters(shared: &Shared) -> Response<Body> {
    let set = shared.store.set();
    let lines: Vec<_> = set
        .voters
        .iter()
        .map(|voter| {
            let digest = repair::fetch_digest(shared, &voter.address);
            serde_json::json!({
                "address": voter.address,
                "disk": format!("{:x}", voter.disk),
                "answers": digest.is_some(),
                "votes": digest.is_some_and(|digest| digest.is_open && digest.set.version() == set.version()),
            })
        })
        .collect();
    json(
        200,
        &serde_json::json!({ "era": set.epoch, "no": set.number, "voters": lines }),
    )
}

fn replace(shared: &Shared, query: &HashMap<String, String>) -> Response<Body> {
    let (Some(old), Some(new)) = (query.get("old"), query.get("new")) else {
        return text(
            400,
            "say both: POST /voters/replace?old=<address>&new=<address>",
        );
    };
    match voter_membership::replace(shared, old, new) {
        Ok(set) => json(
            200,
            &serde_json::json!({ "outcome": "replaced", "era": set.epoch, "no": set.number }),
        ),
        Err(reason) => text(409, &reason),
    }
}

fn explain(shared: &Shared, function: &str) -> Response<Body> {
    let committed = shared.store.committed();
    if committed.configuration.function_spec(function).is_none() {
        return text(404, "no function of this name is listed");
    }
    if shared.scaler_role.load().term.is_none() {
        let holder = &shared.scaler_role.load().tenure.leader.name;
        let sentence = format!("this core does not scale; ask {holder:?}");
        return text(421, &sentence);
    }
    let entries = committed.plan.runners.iter();
    let runners: Vec<_> = entries
        .filter(|entry| entry.function == function)
        .map(|entry| runner_status(shared, entry))
        .collect();
    json(
        200,
        &serde_json::json!({
            "function": function,
            "note": shared.decisions.load().get(function),
            "runners": runners,
        }),
    )
}

/// Health of a runner as last reported by its owner, as one word.
fn fitness(shared: &Shared, entry: &RunnerEntry) -> &'static str {
    let fronts = shared.fronts.lock();
    let owner = fronts.get(&entry.owner.name);
    let report = owner
        .filter(|known| known.observation.peer == entry.owner)
        .and_then(|known| {
            let mut runners = known.observation.report.runners.iter();
            runners.find(|runner| runner.runner == entry.id)
        });
    match report {
        None => "unseen",
        Some(report) if !report.is_active => "waits-for-keeper",
        Some(report) if report.absent_ms > 0 => "absent",
        Some(report) if !report.is_warm => "starting",
        Some(report) if report.is_unfit => "unfit",
        Some(report) if report.is_slow => "slow",
        Some(_) => "fit",
    }
}

fn runner_status(shared: &Shared, entry: &RunnerEntry) -> serde_json::Value {
    serde_json::json!({
        "id": entry.id,
        "function": entry.function,
        "worker": entry.worker,
        "district": entry.zone,
        "address": entry.address,
        "quota": entry.quota,
        "pace_ms": entry.response_time_ms,
        "keeper": entry.owner.name,
        "epoch": entry.owner_epoch,
        "state": format!("{:?}", entry.state),
        "fitness": fitness(shared, entry),
    })
}

fn status(shared: &Shared) -> serde_json::Value {
    let committed = shared.store.committed();
    let scaler_role = shared.scaler_role.load();
    let now = now_ms();
    let (reply_to, answer) = bounded(1);
    let _ = shared.voter.try_send(VoterTask::Summary(reply_to));
    let keys = answer.recv_timeout(shared.timeout()).ok();
    let fronts = shared.fronts.lock();
    let own_fronts = fronts
        .values()
        .filter(|known| !known.observation.report.is_witness);
    let front_statuses: Vec<_> = own_fronts
        .map(|known| {
            let report = &known.observation.report;
            serde_json::json!({
                "name": known.observation.peer.name,
                "district": report.zone,
                "http": report.http,
                "heard_ms_ago": now.saturating_sub(known.observation.heard_at),
                "standing": report.has_quorum,
                "draining": report.is_draining,
                "blueprint": report.configuration.no,
                "plan": report.plan.no,
                "waiting": report.functions.iter().map(|one| one.waiting).sum::<u32>(),
            })
        })
        .collect();
    let clocks = fronts.values().map(
        |known| serde_json::json!({ "name": known.observation.peer.name, "off_ms": known.clock_offset_ms }),
    );
    let clocks: Vec<_> = clocks.collect();
    drop(fronts);
    let runners = committed.plan.runners.iter();
    let runners: Vec<_> = runners.map(|entry| runner_status(shared, entry)).collect();
    let set = shared.store.set();
    serde_json::json!({
        "role": "core",
        "name": shared.settings.name,
        "district": shared.settings.zone,
        "era": set.epoch,
        "voters": set.voters.iter().map(|voter| &voter.address).collect::<Vec<_>>(),
        "keys": keys.map(|(_, count)| count),
        "blueprint": committed.configuration_version.no,
        "held": { "blueprint": committed.configuration_version, "plan": committed.plan_version },
        "plan": committed.plan_version.no,
        "duty": { "holder": scaler_role.tenure.leader.name, "term": scaler_role.tenure.term, "here": scaler_role.term.is_some() },
        "roster": committed.plan.membership,
        "fronts": front_statuses,
        "clocks": clocks,
        "workers": shared.platform.load().workers,
        "runners": runners,
        "functions": &**shared.decisions.load(),
    })
}

fn metrics(shared: &Shared) -> serde_json::Value {
    let wire = shared.links.counts();
    let committed = shared.store.committed();
    serde_json::json!({
        "blueprint_version": committed.configuration_version.no,
        "plan_version": committed.plan_version.no,
        "wire_taken": wire.taken.load(Ordering::Relaxed),
        "wire_refused": wire.refused.load(Ordering::Relaxed),
        "wire_dropped": wire.dropped.load(Ordering::Relaxed),
    })
}
