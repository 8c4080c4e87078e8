use crate::news;
use crate::shared::Shared;
use crate::store::{BlueprintValue, HistoryLine, BLUEPRINT};
use configuration::{Blueprint, Fault, Version};
use oxhttp::model::{Body, Response};
use register::{Change, ChangeOutcome, VersionedValue};
use speedy::{Readable, Writable};
use std::thread;
use std::time::Duration;
use transport::{json, now_ms, text, unix_ms};

/// Checks a text as a put would, also against the workers that are known now.
pub fn check(shared: &Shared, body: &str) -> Result<Blueprint, Vec<Fault>> {
    let blueprint = configuration::parse(body)?;
    let lists = shared.platform.load();
    let largest = lists.workers.iter().map(|worker| worker.memory_mb).max();
    let Some(largest) = largest else {
        return Ok(blueprint);
    };
    let too_large = blueprint
        .listings
        .iter()
        .enumerate()
        .filter(|(_, listing)| listing.memory_mb > largest)
        .map(|(place, listing)| Fault {
            path: format!("listings[{place}].memory_mb"),
            reason: format!(
                "{} MB fit no worker; the largest has {largest} MB",
                listing.memory_mb
            ),
        });
    let faults: Vec<Fault> = too_large.collect();
    if faults.is_empty() {
        Ok(blueprint)
    } else {
        Err(faults)
    }
}

/// The answer that tells all faults.
pub fn refused(faults: &[Fault]) -> Response<Body> {
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

/// Takes a whole blueprint where the version in force is the expected one.
pub fn put(shared: &Shared, body: &str, expected: u64, note: &str) -> Response<Body> {
    if let Err(faults) = check(shared, body) {
        return refused(&faults);
    }
    let began = now_ms();
    let bounds = shared.store.settled().blueprint.bounds.clone();
    let patience = Duration::from_millis(bounds.lease_ms());
    let (_, outcome) = shared.store.change(BLUEPRINT, Change::Read, patience);
    let ChangeOutcome::Committed(current) = outcome else {
        return text(503, "no majority of voters answered; nothing was changed");
    };
    if current.version != expected {
        return stale(current.version);
    }
    let line = HistoryLine {
        version: expected + 1,
        at_unix_ms: unix_ms(),
        core: shared.settings.name.clone(),
        note: note.chars().take(200).collect(),
    };
    let value = value_of(&current).next(body.to_string(), line);
    let bytes = value.write_to_vec().unwrap_or_default();
    let change = Change::Write { expected, bytes };
    let (era, outcome) = shared.store.change(BLUEPRINT, change, patience);
    match outcome {
        ChangeOutcome::Committed(stored) => {
            shared.store.put_in_force(BLUEPRINT, era, &stored);
            news::answer_all(shared);
            let version = Version {
                era,
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

fn value_of(stored: &VersionedValue) -> BlueprintValue {
    BlueprintValue::read_from_buffer(&stored.bytes).unwrap_or_default()
}

/// Waits until a majority of the roster's fronts holds the version.
fn acknowledge(shared: &Shared, version: Version, began: u64, until: u64) -> Response<Body> {
    loop {
        let (holding, roster) = holders(shared, version);
        if roster > 0 && holding > roster / 2 {
            return json(
                200,
                &serde_json::json!({
                    "outcome": "in-force",
                    "version": version.no,
                    "era": version.era,
                    "fronts": holding,
                    "roster": roster,
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

/// How many fronts of the roster hold a version, and how many there are.
pub fn holders(shared: &Shared, version: Version) -> (usize, usize) {
    let settled = shared.store.settled();
    let fronts = shared.fronts.lock();
    let holds = |name: &&String| {
        fronts
            .get(name.as_str())
            .is_some_and(|known| known.sight.report.blueprint >= version)
    };
    let is_front = |name: &&String| {
        fronts
            .get(name.as_str())
            .is_none_or(|known| !known.sight.report.is_witness)
    };
    let roster = settled.plan.roster.iter().filter(is_front);
    (roster.clone().filter(holds).count(), roster.count())
}
