use crate::{Configuration, FunctionSpec};
use figment::providers::{Format, Json};
use figment::Figment;
use serde::Serialize;
use std::collections::HashSet;

/// Maximum length of a configuration's JSON text, in bytes.
pub const MAX_TEXT_BYTES: usize = 1 << 20;
const MAX_NAME_BYTES: usize = 64;
const MAX_FUNCTION_SPECS: usize = 2_000;
const MAX_KINDS: usize = 16;
const MAX_ZONES: usize = 32;
const MAX_CONCURRENCY: u32 = 1_024;
const MAX_TIME_MS: u64 = 300_000;

/// One error in a configuration document.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ValidationError {
    /// Path of the field in the document, such as `listings[3].memory_mb`.
    pub path: String,
    /// Reason, in a short sentence.
    pub reason: String,
}

fn validation_error(path: impl Into<String>, reason: impl Into<String>) -> ValidationError {
    ValidationError {
        path: path.into(),
        reason: reason.into(),
    }
}

/// Parses a configuration from JSON text and checks it. If it parses, all errors of the checks are returned together.
pub fn parse(text: &str) -> Result<Configuration, Vec<ValidationError>> {
    if text.len() > MAX_TEXT_BYTES {
        let reason = format!("text of {} bytes is over {MAX_TEXT_BYTES}", text.len());
        return Err(vec![validation_error("", reason)]);
    }
    let configuration: Configuration = match Figment::from(Json::string(text)).extract() {
        Ok(configuration) => configuration,
        Err(errors) => {
            return Err(errors
                .into_iter()
                .map(|error| validation_error(error.path.join("."), error.kind.to_string()))
                .collect());
        }
    };
    let errors = check(&configuration);
    if errors.is_empty() {
        Ok(configuration)
    } else {
        Err(errors)
    }
}

/// Checks the constraints that the types cannot express, and returns all errors.
pub fn check(configuration: &Configuration) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    check_names(
        &mut errors,
        "listings",
        MAX_FUNCTION_SPECS,
        configuration
            .function_specs
            .iter()
            .map(|function_spec| &function_spec.name),
    );
    check_names(
        &mut errors,
        "ranking",
        MAX_KINDS,
        configuration.priority_order.iter().map(|kind| &kind.name),
    );
    check_names(
        &mut errors,
        "districts",
        MAX_ZONES,
        configuration.zones.iter().map(|zone| &zone.name),
    );
    if !configuration.function_specs.is_empty() && configuration.zones.is_empty() {
        errors.push(validation_error(
            "districts",
            "at least one district is needed",
        ));
    }
    for (index, function_spec) in configuration.function_specs.iter().enumerate() {
        check_function_spec(&mut errors, configuration, index, function_spec);
    }
    check_bounds(&mut errors, configuration);
    errors
}

fn check_names<'a>(
    errors: &mut Vec<ValidationError>,
    field: &str,
    max: usize,
    names: impl Iterator<Item = &'a String>,
) {
    let mut seen = HashSet::new();
    let mut count = 0;
    for (index, name) in names.enumerate() {
        count += 1;
        let path = format!("{field}[{index}].name");
        let is_valid = name
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !is_valid {
            let reason = format!("must be 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'");
            errors.push(validation_error(path, reason));
        } else if !seen.insert(name) {
            errors.push(validation_error(path, format!("{name:?} is named twice")));
        }
    }
    if count > max {
        errors.push(validation_error(
            field,
            format!("{count} entries are over {max}"),
        ));
    }
}

fn check_function_spec(
    errors: &mut Vec<ValidationError>,
    configuration: &Configuration,
    index: usize,
    function_spec: &FunctionSpec,
) {
    let path = |field: &str| format!("listings[{index}].{field}");
    let worker_memory = configuration.bounds.worker_memory_mb;
    if function_spec.memory_mb == 0 {
        errors.push(validation_error(path("memory_mb"), "must be above zero"));
    } else if function_spec.memory_mb > worker_memory {
        let reason = format!(
            "{} MB fit no worker; the largest has {worker_memory} MB",
            function_spec.memory_mb
        );
        errors.push(validation_error(path("memory_mb"), reason));
    }
    if function_spec.concurrency == 0 || function_spec.concurrency > MAX_CONCURRENCY {
        let reason = format!("must be 1 to {MAX_CONCURRENCY}");
        errors.push(validation_error(path("concurrency"), reason));
    }
    for (field, value, min) in [
        ("start_ms", function_spec.start_ms, 0),
        ("budget_ms", function_spec.budget_ms, 1),
    ] {
        if value < min || value > MAX_TIME_MS {
            let reason = format!("must be {min} to {MAX_TIME_MS}");
            errors.push(validation_error(path(field), reason));
        }
    }
    if function_spec.kinds.is_empty() {
        errors.push(validation_error(
            path("kinds"),
            "at least one kind is needed",
        ));
    }
    for (kind_index, kind) in function_spec.kinds.iter().enumerate() {
        let kind_path = path(&format!("kinds[{kind_index}]"));
        if configuration.kind(kind).is_none() {
            errors.push(validation_error(
                kind_path,
                format!("kind {kind:?} is not in the ranking"),
            ));
        } else if function_spec.kinds[..kind_index].contains(kind) {
            errors.push(validation_error(
                kind_path,
                format!("{kind:?} is named twice"),
            ));
        }
    }
}

fn check_bounds(errors: &mut Vec<ValidationError>, configuration: &Configuration) {
    let bounds = &configuration.bounds;
    let path = |field: &str| format!("bounds.{field}");
    for (field, value, min, max) in [
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
        ("holding_max", u64::from(bounds.queue_max), 1, 100_000),
        ("body_max", bounds.body_max, 1, 16 << 20),
        ("claim_ms", bounds.claim_ms, 10_000, 86_400_000),
    ] {
        if value < min || value > max {
            let reason = format!("{value} is not within {min} to {max}");
            errors.push(validation_error(path(field), reason));
        }
    }
    for (field, value) in [
        ("alpha", bounds.alpha),
        ("beta", bounds.beta),
        ("retry_share", bounds.retry_share),
    ] {
        if !(0.0..=1.0).contains(&value) {
            errors.push(validation_error(
                path(field),
                format!("{value} is not within 0 to 1"),
            ));
        }
    }
    if bounds.beta >= bounds.alpha {
        errors.push(validation_error(path("beta"), "must be below alpha"));
    }
    let longest = configuration
        .function_specs
        .iter()
        .map(|function_spec| function_spec.budget_ms)
        .max();
    if longest.is_some_and(|budget| bounds.claim_ms < 4 * budget) {
        let reason = "must be at least four times the longest budget_ms";
        errors.push(validation_error(path("claim_ms"), reason));
    }
}
