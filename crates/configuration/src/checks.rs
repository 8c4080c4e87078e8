use crate::{Blueprint, Listing};
use figment::providers::{Format, Json};
use figment::Figment;
use serde::Serialize;
use std::collections::HashSet;

/// Longest text of a blueprint, in bytes.
pub const TEXT_MAX: usize = 1 << 20;
const NAME_MAX: usize = 64;
const LISTINGS_MAX: usize = 2_000;
const KINDS_MAX: usize = 16;
const DISTRICTS_MAX: usize = 32;
const CONCURRENCY_MAX: u32 = 1_024;
const TIME_MAX_MS: u64 = 300_000;

/// One thing that is wrong with a blueprint, and where.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fault {
    /// Path of the field, as `listings[3].memory_mb`.
    pub path: String,
    /// What is wrong, in a short sentence.
    pub reason: String,
}

fn fault(path: impl Into<String>, reason: impl Into<String>) -> Fault {
    Fault {
        path: path.into(),
        reason: reason.into(),
    }
}

/// Reads a blueprint from JSON text and checks it; all faults are told at once.
pub fn parse(text: &str) -> Result<Blueprint, Vec<Fault>> {
    if text.len() > TEXT_MAX {
        let reason = format!("text of {} bytes is over {TEXT_MAX}", text.len());
        return Err(vec![fault("", reason)]);
    }
    let blueprint: Blueprint = match Figment::from(Json::string(text)).extract() {
        Ok(blueprint) => blueprint,
        Err(errors) => {
            return Err(errors
                .into_iter()
                .map(|error| fault(error.path.join("."), error.kind.to_string()))
                .collect());
        }
    };
    let faults = check(&blueprint);
    if faults.is_empty() {
        Ok(blueprint)
    } else {
        Err(faults)
    }
}

/// Checks everything that the types of a blueprint cannot.
pub fn check(blueprint: &Blueprint) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_names(
        &mut faults,
        "listings",
        LISTINGS_MAX,
        blueprint.listings.iter().map(|listing| &listing.name),
    );
    check_names(
        &mut faults,
        "ranking",
        KINDS_MAX,
        blueprint.ranking.iter().map(|kind| &kind.name),
    );
    check_names(
        &mut faults,
        "districts",
        DISTRICTS_MAX,
        blueprint.districts.iter().map(|district| &district.name),
    );
    if !blueprint.listings.is_empty() && blueprint.districts.is_empty() {
        faults.push(fault("districts", "at least one district is needed"));
    }
    for (place, listing) in blueprint.listings.iter().enumerate() {
        check_listing(&mut faults, blueprint, place, listing);
    }
    check_bounds(&mut faults, blueprint);
    faults
}

fn check_names<'a>(
    faults: &mut Vec<Fault>,
    field: &str,
    most: usize,
    names: impl Iterator<Item = &'a String>,
) {
    let mut seen = HashSet::new();
    let mut count = 0;
    for (place, name) in names.enumerate() {
        count += 1;
        let path = format!("{field}[{place}].name");
        let fits = name
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
        if name.is_empty() || name.len() > NAME_MAX || !fits {
            let reason = format!("must be 1 to {NAME_MAX} letters, digits, '-', '_' or '.'");
            faults.push(fault(path, reason));
        } else if !seen.insert(name) {
            faults.push(fault(path, format!("{name:?} is named twice")));
        }
    }
    if count > most {
        faults.push(fault(field, format!("{count} entries are over {most}")));
    }
}

fn check_listing(faults: &mut Vec<Fault>, blueprint: &Blueprint, place: usize, listing: &Listing) {
    let path = |field: &str| format!("listings[{place}].{field}");
    let worker_memory = blueprint.bounds.worker_memory_mb;
    if listing.memory_mb == 0 {
        faults.push(fault(path("memory_mb"), "must be above zero"));
    } else if listing.memory_mb > worker_memory {
        let reason = format!(
            "{} MB fit no worker; the largest has {worker_memory} MB",
            listing.memory_mb
        );
        faults.push(fault(path("memory_mb"), reason));
    }
    if listing.concurrency == 0 || listing.concurrency > CONCURRENCY_MAX {
        let reason = format!("must be 1 to {CONCURRENCY_MAX}");
        faults.push(fault(path("concurrency"), reason));
    }
    for (field, value, least) in [
        ("start_ms", listing.start_ms, 0),
        ("budget_ms", listing.budget_ms, 1),
    ] {
        if value < least || value > TIME_MAX_MS {
            let reason = format!("must be {least} to {TIME_MAX_MS}");
            faults.push(fault(path(field), reason));
        }
    }
    if listing.kinds.is_empty() {
        faults.push(fault(path("kinds"), "at least one kind is needed"));
    }
    for (kind_place, kind) in listing.kinds.iter().enumerate() {
        let kind_path = path(&format!("kinds[{kind_place}]"));
        if blueprint.kind(kind).is_none() {
            faults.push(fault(
                kind_path,
                format!("kind {kind:?} is not in the ranking"),
            ));
        } else if listing.kinds[..kind_place].contains(kind) {
            faults.push(fault(kind_path, format!("{kind:?} is named twice")));
        }
    }
}

fn check_bounds(faults: &mut Vec<Fault>, blueprint: &Blueprint) {
    let bounds = &blueprint.bounds;
    let path = |field: &str| format!("bounds.{field}");
    for (field, value, least, most) in [
        ("change_ms", bounds.change_ms, 600, 60_000),
        ("evacuation_ms", bounds.evacuation_ms, 600, 600_000),
        ("retry_window_ms", bounds.retry_window_ms, 100, 600_000),
        ("return_ms", bounds.return_ms, 600, 600_000),
        ("cooldown_ms", bounds.cooldown_ms, 100, 3_600_000),
        (
            "worker_memory_mb",
            bounds.worker_memory_mb,
            1,
            64 * 1024 * 1024,
        ),
        ("worker_starts", u64::from(bounds.worker_starts), 1, 1_000),
        ("holding_max", u64::from(bounds.holding_max), 1, 100_000),
        ("body_max", bounds.body_max, 1, 16 << 20),
        ("claim_ms", bounds.claim_ms, 10_000, 86_400_000),
    ] {
        if value < least || value > most {
            let reason = format!("{value} is not within {least} to {most}");
            faults.push(fault(path(field), reason));
        }
    }
    for (field, value) in [
        ("alpha", bounds.alpha),
        ("beta", bounds.beta),
        ("retry_share", bounds.retry_share),
    ] {
        if !(0.0..=1.0).contains(&value) {
            faults.push(fault(path(field), format!("{value} is not within 0 to 1")));
        }
    }
    if bounds.beta >= bounds.alpha {
        faults.push(fault(path("beta"), "must be below alpha"));
    }
    let longest = blueprint
        .listings
        .iter()
        .map(|listing| listing.budget_ms)
        .max();
    if longest.is_some_and(|budget| bounds.claim_ms < 4 * budget) {
        let reason = "must be at least four times the longest budget_ms";
        faults.push(fault(path("claim_ms"), reason));
    }
}
