use crate::shared::Shared;
use crate::store::{ConfigurationValue, HistoryEntry, CONFIGURATION};
use crate::update;
use configuration::{Configuration, ValidationError, Version};
use oxhttp::model::{Body, Response};
use register::{Change, ChangeOutcome, VersionedValue};
use speedy::{Readable, Writable};
use std::thread;
use std::time::Duration;
use transport::{json, now_ms, text, unix_ms};

/// Validates a configuration as a PUT does, including that each function fits the largest known worker.
pub fn check(shared: &Shared, body: &str) -> Result<Configuration, Vec<ValidationError>> {
    let configuration = configuration::parse(body)?;
    let lists = shared.platform.load();
    let largest_worker_mb = lists.workers.iter().map(|worker| worker.memory_mb).max();
    let Some(largest_worker_mb) = largest_worker_mb else {
        return Ok(configuration);
    };
    let too_large = configuration
        .function_specs
        .iter()
        .enumerate()
        .filter(|(_, function_spec)| function_spec.memory_mb > largest_worker_mb)
        .map(|(place, function_spec)| ValidationError {
            path: format!("listings[{place}].memory_mb"),
            reason: format!(
                "{} MB fit no worker; the largest has {largest_worker_mb} MB",
                function_spec.memory_mb
            ),
        });
    let faults: Vec<ValidationError> = too_large.collect();
    if faults.is_empty() {
        Ok(configuration)
    } else {
        Err(faults)
    }
}

/// The response to an invalid configuration, with all its errors.
pub fn rejected_response(faults: &[ValidationError]) -> Response<Body> {
    json(
        422,
        &serde_json::json!({
            "outcome": "refused",
            "error": "the blueprint is refused whole; nothing was changed",
            "faults": faults,
        }),
    )
}

fn undecided_response(version: u64, why: &str) -> Response<Body> {
    json(
        202,
        &serde_json::json!({ "outcome": "undecided", "version": version, "error": why }),
    )
}

fn stale_response(current: u64) -> Response<Body> {
    json(
        409,
        &serde_json::json!({
            "outcome": "stale",
            "error": "another blueprint is in force; read it and put again",
            "version": current,
        }),
    )
}

/// Replaces the whole configuration if its current version is the expected one.
pub fn put(shared: &Shared, body: &str, expected: u64, note: &str) -> Response<Body> {
    if let Err(faults) = check(shared, body) {
        return rejected_response(&faults);
    }
    let started_at = now_ms();
    let bounds = shared.store.committed().configuration.bounds.clone();
    let timeout = Duration::from_millis(bounds.lease_ms());
    let (_, outcome) = shared.store.change(CONFIGURATION, Change::Read, timeout);
    let ChangeOutcome::Committed(current) = outcome else {
        return text(503, "no majority of voters answered; nothing was changed");
    };
    if current.version != expected {
        return stale_response(current.version);
    }
    let history_entry = HistoryEntry {
        version: expected + 1,
        at_unix_ms: unix_ms(),
        core: shared.settings.name.clone(),
        note: note.chars().take(200).collect(),
    };
    let value = value_of(&current).next(body.to_string(), history_entry);
    let bytes = value.write_to_vec().unwrap_or_default();
    let change = Change::Write { expected, bytes };
    let (epoch, outcome) = shared.store.change(CONFIGURATION, change, timeout);
    match outcome {
        ChangeOutcome::Committed(stored) => {
            shared.store.apply_if_newer(CONFIGURATION, epoch, &stored);
            update::answer_due(shared);
            let version = Version {
                epoch,
                no: stored.version,
            };
            await_front_majority(shared, version, started_at, started_at + bounds.change_ms)
        }
        ChangeOutcome::Conflict(stored) => stale_response(stored.version),
        ChangeOutcome::Indeterminate => undecided_response(
            expected + 1,
            "it is not known whether a majority of voters took it; ask for this version",
        ),
        _ => text(503, "no majority of voters answered; nothing was changed"),
    }
}

fn value_of(stored: &VersionedValue) -> ConfigurationValue {
    ConfigurationValue::read_from_buffer(&stored.bytes).unwrap_or_default()
}

/// Waits until a majority of the fronts in the membership has reported this version, or until the deadline.
fn await_front_majority(
    shared: &Shared,
    version: Version,
    started_at: u64,
    deadline: u64,
) -> Response<Body> {
    loop {
        let (confirmed, membership) = count_fronts_with_version(shared, version);
        if membership > 0 && confirmed > membership / 2 {
            return json(
                200,
                &serde_json::json!({
                    "outcome": "in-force",
                    "version": version.no,
                    "era": version.epoch,
                    "fronts": confirmed,
                    "roster": membership,
                    "took_ms": now_ms().saturating_sub(started_at),
                }),
            );
        }
        if now_ms() >= deadline {
            return undecided_response(
                version.no,
                "the voters hold it, but a majority of the fronts has not said so yet",
            );
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// Number of fronts in the membership that have reported this version or a newer one, and of all of them.
/// Witnesses are not counted.
pub fn count_fronts_with_version(shared: &Shared, version: Version) -> (usize, usize) {
    let committed = shared.store.committed();
    let fronts = shared.fronts.lock();
    let has_version = |name: &&String| {
        fronts
            .get(name.as_str())
            .is_some_and(|known| known.observation.report.configuration >= version)
    };
    let is_front = |name: &&String| {
        fronts
            .get(name.as_str())
            .is_none_or(|known| !known.observation.report.is_witness)
    };
    let membership = committed.plan.membership.iter().filter(is_front);
    (
        membership.clone().filter(has_version).count(),
        membership.count(),
    )
}
