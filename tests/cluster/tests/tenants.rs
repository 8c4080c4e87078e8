//! Which uses of API keys the soak reports as violations and which it accepts.

use cluster::request_log::{ReceivedRequest, RequestOutcome};
use cluster::soak::ledger::{ChangeOutcome, ChangeRecord, ClientOutcome, ClientRecord, Ledger};
use cluster::soak::tenants::{add_tenants, check, KeyHistory, CHANGING, INVENTED, STEADY};
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// Longer than the limit within which an acknowledged change must be in force.
const AFTER_THE_LIMIT: Duration = Duration::from_secs(3);

fn document(version: u64, tenants: Value) -> Value {
    json!({ "version": version, "tenants": tenants })
}

/// Version 1 gives the first changing key to the first tenant, version 2 removes it.
fn history(outcome: ChangeOutcome) -> KeyHistory {
    let (tenant, steady) = STEADY[0];
    let first = document(
        1,
        json!([{ "name": tenant, "api_keys": [steady, CHANGING[0]] }]),
    );
    let second = document(2, json!([{ "name": tenant, "api_keys": [steady] }]));
    let ledger = Ledger::default();
    ledger.record_change(ChangeRecord {
        base: 1,
        version: 2,
        document: second,
        outcome,
    });
    KeyHistory::new(&first, &ledger)
}

fn request(key: &'static str, sent_at: Instant, status: u16) -> ClientRecord {
    ClientRecord {
        id: "c-1".into(),
        gateway: 0,
        target: "/read/x".into(),
        key,
        at_most_once: false,
        is_ordinary: true,
        sent_at,
        ended_at: sent_at,
        outcome: ClientOutcome::Answered(status),
    }
}

fn run(tenants: &[&str], keys: &[&str], at: Instant) -> ReceivedRequest {
    let texts = |list: &[&str]| list.iter().map(|text| text.to_string()).collect();
    ReceivedRequest {
        id: "c-1".into(),
        service: "plain".into(),
        runner: "i-1".into(),
        zone: "north".into(),
        method: "GET".into(),
        target: "/read/x".into(),
        body: Vec::new(),
        tenants: texts(tenants),
        keys: texts(keys),
        headers: Default::default(),
        outcome: RequestOutcome::Ran,
        at,
    }
}

/// The names of the violated rules.
fn violated_rules(
    history: &KeyHistory,
    request: ClientRecord,
    runs: &[ReceivedRequest],
    in_touch: bool,
) -> Vec<String> {
    let findings = check(history, &[request], runs, |_, _| in_touch);
    let rules = findings.iter().filter_map(|text| text.split(':').next());
    rules.map(str::to_string).collect()
}

#[test]
fn a_run_with_a_removed_key_violates_config_once_the_removal_must_be_in_force() {
    let now = Instant::now();
    let tenant = STEADY[0].0;
    let key_removed = history(ChangeOutcome::Acknowledged(now));
    let ran = |sent_at: Instant| [run(&[tenant], &[], sent_at)];
    let late = now + AFTER_THE_LIMIT;
    let request_at = |sent_at| request(CHANGING[0], sent_at, 200);
    assert_eq!(
        violated_rules(&key_removed, request_at(late), &ran(late), true),
        ["CONFIG"]
    );
    assert!(violated_rules(&key_removed, request_at(late), &ran(late), false).is_empty());
    assert!(violated_rules(&key_removed, request_at(now), &ran(now), true).is_empty());
    let unclear = history(ChangeOutcome::Unclear);
    assert!(violated_rules(&unclear, request_at(late), &ran(late), true).is_empty());
}

#[test]
fn a_401_is_a_violation_unless_some_version_lacks_the_key() {
    let now = Instant::now();
    let late = now + AFTER_THE_LIMIT;
    let key_removed = history(ChangeOutcome::Acknowledged(now));
    assert!(violated_rules(&key_removed, request(CHANGING[0], late, 401), &[], true).is_empty());
    let steady = request(STEADY[0].1, late, 401);
    assert_eq!(violated_rules(&key_removed, steady, &[], false), ["DENIED"]);
    let rejected = history(ChangeOutcome::Rejected(412));
    let refused = request(CHANGING[0], late, 401);
    assert_eq!(violated_rules(&rejected, refused, &[], true), ["DENIED"]);
}

#[test]
fn forwarded_keys_wrong_tenants_and_invented_keys_are_always_reported() {
    let now = Instant::now();
    let history = history(ChangeOutcome::Acknowledged(now));
    let (tenant, steady) = STEADY[0];
    let cases: [(&'static str, &[&str], &[&str], &str); 5] = [
        (steady, &[tenant], &[steady], "UNASKED"),
        (steady, &[], &[], "UNASKED"),
        (steady, &[tenant, tenant], &[], "UNASKED"),
        (steady, &[STEADY[1].0], &[], "ROUTE"),
        (INVENTED, &[tenant], &[], "ROUTE"),
    ];
    for (key, tenants, keys, rule) in cases {
        let runs = [run(tenants, keys, now)];
        let findings = violated_rules(&history, request(key, now, 200), &runs, false);
        assert_eq!(findings, [rule], "{key} {tenants:?} {keys:?}");
    }
    let fine = [run(&[tenant], &[], now)];
    assert!(violated_rules(&history, request(steady, now, 200), &fine, true).is_empty());
}

#[test]
fn random_tenants_have_the_steady_keys_and_never_the_invented_one() {
    let mut differing = 0;
    let mut last = Value::Null;
    for version in 1..60 {
        let mut drawn = json!({ "version": version });
        add_tenants(&mut drawn, 7, Duration::from_millis(version * 300));
        let text = drawn["tenants"].to_string();
        assert!(STEADY.iter().all(|(_, key)| text.contains(key)));
        assert!(!text.contains(INVENTED));
        differing += usize::from(drawn["tenants"] != last);
        last = drawn["tenants"].take();
    }
    assert!(differing > 15, "keys changed {differing} times");
}
