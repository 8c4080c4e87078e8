//! Tenants of a soak, whose API keys change during the run, and the checks of which request ran with which key.

use super::disturbances::Disturbances;
use super::ledger::{ChangeOutcome, ChangeRecord, ClientOutcome, ClientRecord, Ledger};
use crate::request_log::{ReceivedRequest, RequestOutcome};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Tenants, each with a key that is in every configuration.
pub const STEADY: [(&str, &str); 3] = [
    ("tenant-a", "steady-key-a"),
    ("tenant-b", "steady-key-b"),
    ("tenant-c", "steady-key-c"),
];
/// Keys that are removed, restored and moved to other tenants.
pub const CHANGING: [&str; 5] = [
    "changing-key-0",
    "changing-key-1",
    "changing-key-2",
    "changing-key-3",
    "changing-key-4",
];
/// A key that is in no configuration.
pub const INVENTED: &str = "invented-key";
/// Time for which the changing keys stay the same. The first one is exempt and is reassigned with each version.
const KEY_ROTATION_PERIOD: Duration = Duration::from_millis(3_500);
/// `apply_within_ms` in the settings files: time after its acknowledgement within which a change must be in force.
const APPLY_WITHIN: Duration = Duration::from_millis(2_000);
/// One request in this many carries a changing key, and one in this many an invented key.
const CHANGING_ONE_IN: u32 = 4;
const INVENTED_ONE_IN: u32 = 40;
const UNAUTHORIZED: u16 = 401;

/// Chooses the key of a client's next request.
pub fn draw_key(random: &mut StdRng) -> &'static str {
    if random.random_ratio(1, INVENTED_ONE_IN) {
        return INVENTED;
    }
    if random.random_ratio(1, CHANGING_ONE_IN) {
        return CHANGING[random.random_range(0..CHANGING.len())];
    }
    STEADY[random.random_range(0..STEADY.len())].1
}

/// Adds tenants to a configuration. All operators of a run generate the same keys at the same time, except for the first one.
pub fn add_tenants(document: &mut Value, seed: u64, elapsed: Duration) {
    let version = document["version"].as_u64().unwrap_or(0);
    let rotation = elapsed.as_millis() / KEY_ROTATION_PERIOD.as_millis();
    let mut keys: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for (tenant, key) in STEADY {
        keys.insert(tenant, vec![key]);
    }
    for (number, key) in CHANGING.iter().enumerate() {
        let draw = match number {
            0 => version,
            _ => seed ^ ((rotation as u64) << 8) ^ number as u64,
        };
        let holder = StdRng::seed_from_u64(draw).random_range(0..STEADY.len() + 2);
        if let Some((tenant, _)) = STEADY.get(holder) {
            keys.entry(tenant).or_default().push(key);
        }
    }
    let tenants = keys.into_iter();
    let tenants = tenants.map(|(name, keys)| json!({ "name": name, "api_keys": keys }));
    document["tenants"] = tenants.collect();
}

/// The tenant of each key in a configuration.
fn holders(document: &Value) -> HashMap<String, String> {
    let tenants = document["tenants"].as_array().into_iter().flatten();
    let pairs = tenants.flat_map(|tenant| {
        let name = tenant["name"].as_str().unwrap_or("");
        let keys = tenant["api_keys"].as_array().into_iter().flatten();
        keys.filter_map(move |key| Some((key.as_str()?.to_string(), name.to_string())))
    });
    pairs.collect()
}

/// A configuration that may have been in force, with the tenants of its keys.
struct Version {
    number: u64,
    acknowledged_at: Option<Instant>,
    holders: HashMap<String, String>,
}

impl Version {
    fn of(change: &ChangeRecord) -> Option<Self> {
        let acknowledged_at = match change.outcome {
            ChangeOutcome::Acknowledged(at) => Some(at),
            ChangeOutcome::Unclear => None,
            ChangeOutcome::Rejected(_) => return None,
        };
        Some(Self {
            number: change.version,
            acknowledged_at,
            holders: holders(&change.document),
        })
    }
}

/// The configurations of a run, including the first one.
pub struct KeyHistory {
    versions: Vec<Version>,
}

impl KeyHistory {
    /// Creates the history of a run that started with this configuration.
    pub fn new(first: &Value, ledger: &Ledger) -> Self {
        let mut versions = vec![Version {
            number: first["version"].as_u64().unwrap_or(0),
            acknowledged_at: None,
            holders: holders(first),
        }];
        versions.extend(ledger.changes().iter().filter_map(Version::of));
        Self { versions }
    }

    /// The versions that may apply to a request sent at this time: none older than a version that was acknowledged at least
    /// [`APPLY_WITHIN`] before and must be in force.
    fn in_force(&self, sent_at: Instant) -> impl Iterator<Item = &Version> {
        let is_binding = |version: &&Version| {
            let at = version.acknowledged_at;
            at.is_some_and(|at| at + APPLY_WITHIN <= sent_at)
        };
        let due_versions = self.versions.iter().filter(is_binding);
        let oldest = due_versions
            .map(|version| version.number)
            .max()
            .unwrap_or(0);
        let versions = self.versions.iter();
        versions.filter(move |version| version.number >= oldest)
    }

    fn was_ever_held_by(&self, key: &str, tenant: &str) -> bool {
        let mut versions = self.versions.iter();
        versions.any(|version| {
            version
                .holders
                .get(key)
                .is_some_and(|holder| holder == tenant)
        })
    }
}

/// Checks requests that ran or got a 401 against the keys in force. Time limits apply only to gateways in touch.
pub fn check(
    history: &KeyHistory,
    requests: &[ClientRecord],
    received: &[ReceivedRequest],
    is_in_touch: impl Fn(&ClientRecord, Instant) -> bool,
) -> Vec<String> {
    let sent: HashMap<&str, &ClientRecord> = requests
        .iter()
        .map(|request| (request.id.as_str(), request))
        .collect();
    let mut violations = Vec::new();
    for run in received {
        if !run.keys.is_empty() {
            violations.push(format!("UNASKED: {} came with its client's key", run.id));
        }
        let Some(request) = sent.get(run.id.as_str()) else {
            continue;
        };
        if run.outcome == RequestOutcome::Ran {
            violations.extend(check_run(history, request, run, &is_in_touch));
        }
    }
    for request in requests {
        if request.outcome == ClientOutcome::Answered(UNAUTHORIZED) {
            violations.extend(check_refusal(history, request, &is_in_touch));
        }
    }
    violations
}

fn check_run(
    history: &KeyHistory,
    request: &ClientRecord,
    run: &ReceivedRequest,
    is_in_touch: impl Fn(&ClientRecord, Instant) -> bool,
) -> Option<String> {
    let key = request.key;
    let [tenant] = run.tenants.as_slice() else {
        return Some(format!(
            "UNASKED: {} with {key} ran as {:?}",
            run.id, run.tenants
        ));
    };
    if !history.was_ever_held_by(key, tenant) {
        return Some(format!(
            "ROUTE: {} with {key} ran as {tenant}, which never had it",
            run.id
        ));
    }
    let mut in_force = history.in_force(request.sent_at);
    let is_allowed = in_force.any(|version| version.holders.get(key) == Some(tenant));
    let is_binding = is_in_touch(request, request.sent_at) && is_in_touch(request, run.at);
    (!is_allowed && is_binding)
        .then(|| format!("CONFIG: {key} ran as {tenant} by an old version: {request}"))
}

fn check_refusal(
    history: &KeyHistory,
    request: &ClientRecord,
    is_in_touch: impl Fn(&ClientRecord, Instant) -> bool,
) -> Option<String> {
    let lacks = |version: &Version| !version.holders.contains_key(request.key);
    if !history.versions.iter().any(lacks) {
        return Some(format!(
            "DENIED: {} is in every version: {request}",
            request.key
        ));
    }
    let is_allowed = history.in_force(request.sent_at).any(lacks);
    let is_binding =
        is_in_touch(request, request.sent_at) && is_in_touch(request, request.ended_at);
    (!is_allowed && is_binding).then(|| {
        format!(
            "CONFIG: {} was refused by an old version: {request}",
            request.key
        )
    })
}

/// Whether a request's gateway was in touch, based on the disturbances of a run.
pub fn in_touch_by(disturbances: &Disturbances) -> impl Fn(&ClientRecord, Instant) -> bool + '_ {
    |request, at| disturbances.is_in_touch(request.gateway, at)
}
