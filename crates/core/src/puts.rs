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

/// Checks a text as a put would, also against the workers that are known now.
pub fn check(shared: &Shared, body: &str) -> Result<Configuration, Vec<ValidationError>> {
    let configuration = configuration::parse(body)?;
    let lists = shared.platform.load();
    let largest = lists.workers.iter().map(|worker| worker.memory_mb).max();
    let Some(largest) = largest else {
        return Ok(configuration);
    };
    let too_large = configuration
        .function_specs
        .iter()
        .enumerate()
        .filter(|(_, function_spec)| function_spec.memory_mb > largest)
        .map(|(place, function_spec)| ValidationError {
            path: format!("listings[{place}].memory_mb"),
            reason: format!(
                "{} MB fit no worker; the largest has {largest} MB",
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

/// The answer that tells all faults.
pub fn refused(faults: &[ValidationError]) -> Response<Body> {
    json(
        422,
        &serde_json::json!({
            "outcome": "refused",
            "error": "the blueprint is refused whole; nothing was changed",
            "faults": faults,
        }),
    )
}

fn undecided(version: u64, why: &str) -> Response<Body> {
    json(
        202,
        &serde_json::json!({ "outcome": "undecided", "version": version, "error": why }),
    )
}

fn stale(current: u64) -> Response<Body> {
    json(
        409,
        &serde_json::json!({
            "outcome": "stale",
            "error": "another blueprint is in force; read it and put again",
            "version": current,
        }),
    )
}

/// Takes a whole configuration where the version in force is the expected one.
pub fn put(shared: &Shared, body: &str, expected: u64, note: &str) -> Response<Body> {
    if let Err(faults) = check(shared, body) {
        return refused(&faults);
    }
    let began = now_ms();
    let bounds = shared.store.committed().configuration.bounds.clone();
    let timeout = Duration::from_millis(bounds.lease_ms());
    let (_, outcome) = shared.store.change(CONFIGURATION, Change::Read, timeout);
    let ChangeOutcome::Committed(current) = outcome else {
        return text(503, "no majority of voters answered; nothing was changed");
    };
    if current.version != expected {
        return stale(current.version);
    }
    let line = HistoryEntry {
        version: expected + 1,
        at_unix_ms: unix_ms(),
        core: shared.settings.name.clone(),
        note: note.chars().take(200).collect(),
    };
    let value = value_of(&current).next(body.to_string(), line);
    let bytes = value.write_to_vec().unwrap_or_default();
    let change = Change::Write { expected, bytes };
    let (epoch, outcome) = shared.store.change(CONFIGURATION, change, timeout);
    match outcome {
        ChangeOutcome::Committed(stored) => {
            shared.store.put_in_force(CONFIGURATION, epoch, &stored);
            update::answer_all(shared);
            let version = Version {
                epoch,
                no: stored.version,
            };
            acknowledge(shared, version, began, began + bounds.change_ms)
        }
        ChangeOutcome::Conflict(stored) => stale(stored.version),
        ChangeOutcome::Indeterminate => undecided(
            expected + 1,
            "it is not known whether a majority of voters took it; ask for this version",
        ),
        _ => text(503, "no majority of voters answered; nothing was changed"),
    }
}

fn value_of(stored: &VersionedValue) -> ConfigurationValue {
    ConfigurationValue::read_from_buffer(&stored.bytes).unwrap_or_default()
}

/// Waits until a majority of the membership's fronts holds the version.
fn acknowledge(shared: &Shared, version: Version, began: u64, until: u64) -> Response<Body> {
    loop {
        let (holding, membership) = holders(shared, version);
        if membership > 0 && holding > membership / 2 {
            return json(
                200,
                &serde_json::json!({
                    "outcome": "in-force",
                    "version": version.no,
                    "era": version.epoch,
                    "fronts": holding,
                    "roster": membership,
                    "took_ms": now_ms().saturating_sub(began),
                }),
            );
        }
        if now_ms() >= until {
            return undecided(
                version.no,
                "the voters hold it, but a majority of the fronts has not said so yet",
            );
        }
        thread::sleep(Duration::from_millis(5));
    }
}

/// How many fronts of the membership hold a version, and how many there are.
pub fn holders(shared: &Shared, version: Version) -> (usize, usize) {
    let committed = shared.store.committed();
    let fronts = shared.fronts.lock();
    let holds = |name: &&String| {
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
    (membership.clone().filter(holds).count(), membership.count())
}
