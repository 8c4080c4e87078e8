use configuration::Version;
use std::collections::{BTreeMap, BTreeSet};

/// Limit on the number of recorded violations.
const MAX_VIOLATIONS: usize = 10;

/// Checks the invariants of a run. It knows only the messages on the wire, what runners executed, and
/// the responses that callers and operators received.
#[derive(Default)]
pub struct Oracle {
    /// True time in milliseconds, which no daemon knows.
    pub now: u64,
    /// Violated invariants, with the time of each.
    pub violations: Vec<String>,
    committed: BTreeMap<(String, u64, u64), (u64, Vec<u8>)>,
    once_runs: BTreeMap<u64, u32>,
    reported_outcomes: BTreeMap<u64, &'static str>,
    executed_calls: BTreeSet<u64>,
    serving_versions: BTreeMap<String, Version>,
    lease_epochs: BTreeMap<String, u64>,
    rejected_texts: BTreeSet<String>,
    acknowledged: Option<(Version, u64)>,
    evacuated_since: BTreeMap<String, u64>,
    /// Times at which the bytes of a call reached an address again, after the first attempt.
    retries: Vec<u64>,
    first_attempts: Vec<u64>,
    attempted: BTreeSet<u64>,
    leaving_since: BTreeMap<String, u64>,
    /// How many cases each check examined, so that no check passes without having examined any.
    pub case_counts: BTreeMap<&'static str, usize>,
    /// Times and functions of the requests that were answered successfully.
    pub answered: Vec<(u64, String)>,
    /// Time and duration of each response, in milliseconds.
    pub took_ms: Vec<(u64, u64)>,
    /// Requests that runners executed.
    pub runs: usize,
    /// Configuration puts that were acknowledged.
    pub puts: usize,
    /// Number of caller requests by outcome.
    pub outcomes: BTreeMap<&'static str, usize>,
}

impl Oracle {
    fn record_violation(&mut self, text: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(format!("at {} ms: {text}", self.now));
        }
    }

    /// A value of a register was reported as committed. No two values may be committed at one version.
    pub fn on_committed(&mut self, key: &str, epoch: u64, version: u64, tag: u64, bytes: &[u8]) {
        if version == 0 {
            return;
        }
        // A put that was never acknowledged may still be committed and reopen an evacuated zone.
        let newest = self.acknowledged.map(|(known, _)| (known.epoch, known.no));
        if key == "blueprint" && newest.is_none_or(|newest| (epoch, version) > newest) {
            for zone in open_zones(bytes) {
                self.evacuated_since.remove(&zone);
            }
        }
        let index = (key.to_string(), epoch, version);
        let known = self
            .committed
            .entry(index)
            .or_insert_with(|| (tag, bytes.to_vec()));
        if known.0 != tag || known.1 != bytes {
            let text = format!("two values of {key} are committed at version {version}");
            self.record_violation(text);
        }
    }

    /// All disks were lost. Values committed before are not compared with the next epoch's.
    pub fn on_wipe(&mut self) {
        self.count_case("wiped");
    }

    /// Counts a case that a check examined.
    pub fn count_case(&mut self, check: &'static str) {
        *self.case_counts.entry(check).or_default() += 1;
    }

    /// The bytes of a call reach an address, whether or not a runner listens there.
    pub fn on_attempt(&mut self, call: u64) {
        if self.attempted.insert(call) {
            self.first_attempts.push(self.now);
        } else {
            self.count_case("retries");
            self.retries.push(self.now);
        }
    }

    /// The bytes of a call reach an address that now belongs to another runner.
    pub fn check_misdirected(&mut self, intended: &str, actual: &str, is_unmanaged: bool) {
        self.count_case("misdirected");
        if !is_unmanaged && intended != actual {
            let text = format!("a request for {intended} reaches a runner of {actual}");
            self.record_violation(text);
        }
    }

    /// A runner starts a request. While it ramps up it has one seat, plus one for each completed request.
    pub fn check_ramp_up(&mut self, runner: &str, in_flight: u32, completed: u32) {
        self.count_case("warming");
        if in_flight > 1 + completed {
            let text =
                format!("warming {runner} has {in_flight} in flight after {completed} responses");
            self.record_violation(text);
        }
    }

    /// A caller receives a successful response; it must be the response to its own call.
    pub fn check_answer(&mut self, call: u64, answered: u64, took_ms: u64) {
        self.count_case("answers");
        self.took_ms.push((self.now, took_ms));
        if call != answered {
            self.record_violation(format!("call {call} gets the answer to {answered}"));
        }
    }

    /// Records since when the platform lists a worker as leaving; `None` if it no longer does.
    pub fn set_leaving(&mut self, worker: &str, since: Option<u64>) {
        match since {
            Some(since) => self.leaving_since.insert(worker.to_string(), since),
            None => self.leaving_since.remove(worker),
        };
    }

    /// A runner starts to execute a call.
    pub fn on_run(&mut self, call: u64, key: Option<u64>, zone: &str, worker: &str) {
        self.runs += 1;
        self.executed_calls.insert(call);
        if let Some(since) = self
            .leaving_since
            .get(worker)
            .copied()
            .filter(|since| self.now > *since)
        {
            self.count_case("leaving");
            if self.now > since + 3_000 {
                self.record_violation(format!("work runs on the leaving {worker}"));
            }
        }
        if self.reported_outcomes.get(&call) == Some(&"not-run") {
            self.record_violation(format!("call {call} runs after 'not run'"));
        }
        if let Some(key) = key {
            let runs = self.once_runs.entry(key).or_default();
            *runs += 1;
            if *runs > 1 {
                self.record_violation(format!("once-key {key} runs a second time"));
            }
        }
        if let Some(since) = self.evacuated_since.get(zone) {
            if self.now > since + 5_000 {
                self.record_violation(format!("work runs in evacuated zone {zone}"));
            }
        }
    }

    /// A runner must not hold more requests than its concurrency.
    pub fn check_concurrency(&mut self, runner: &str, count: u32, concurrency: u32) {
        if count > concurrency {
            let text = format!(
                "{runner} has {count} requests in flight, its concurrency is {concurrency}"
            );
            self.record_violation(text);
        }
    }

    /// A caller was told the outcome of its call.
    pub fn on_outcome(&mut self, call: u64, outcome: &'static str, function: &str) {
        *self.outcomes.entry(outcome).or_default() += 1;
        if outcome == "not-run" && self.executed_calls.contains(&call) {
            self.record_violation(format!("call {call} ran before it was told 'not run'"));
        }
        if outcome == "answered" {
            if !self.executed_calls.contains(&call) {
                self.record_violation(format!("call {call} is answered and never ran"));
            }
            self.answered.push((self.now, function.to_string()));
        }
        self.reported_outcomes.insert(call, outcome);
    }

    /// A front serves under a configuration; its version must never go back.
    pub fn check_no_rollback(&mut self, front: &str, version: Version) {
        let known = self.serving_versions.entry(front.to_string()).or_default();
        if version < *known {
            let text = format!("{front} went back from {known:?} to {version:?}");
            self.record_violation(text);
            return;
        }
        *known = version;
    }

    /// A front may hold a text that was never acknowledged if it is in force, but no front may hold a text
    /// that was rejected or lost to another put.
    pub fn check_not_rejected(&mut self, front: &str, text: &str) {
        if self.rejected_texts.contains(text) {
            self.record_violation(format!("{front} holds a configuration that was rejected"));
        }
    }

    /// A put was rejected.
    pub fn on_put_rejected(&mut self, text: &str) {
        self.rejected_texts.insert(text.to_string());
    }

    /// A put was acknowledged.
    pub fn on_put_acknowledged(&mut self, version: Version, evacuated: &[String]) {
        self.puts += 1;
        if self.acknowledged.is_none_or(|(newest, _)| version > newest) {
            self.acknowledged = Some((version, self.now));
            self.evacuated_since
                .retain(|zone, _| evacuated.contains(zone));
            for zone in evacuated {
                self.evacuated_since.entry(zone.clone()).or_insert(self.now);
            }
        }
    }

    /// A front must not work under an older configuration later than 3 s after a newer one was acknowledged.
    pub fn check_staleness(&mut self, front: &str, version: Version) {
        let Some((newest, at)) = self.acknowledged else {
            return;
        };
        if version < newest && self.now > at + 3_000 {
            let text = format!("{front} works under {version:?}, acknowledged is {newest:?}");
            self.record_violation(text);
        }
    }

    /// An owner leases a seat; no owner of an older epoch may do so afterwards.
    pub fn check_lease_epoch(&mut self, runner: &str, epoch: u64) {
        let newest = self.lease_epochs.entry(runner.to_string()).or_default();
        if epoch < *newest {
            let text = format!("owner of epoch {epoch} leases {runner} after epoch {newest}");
            self.record_violation(text);
            return;
        }
        *newest = epoch;
    }

    /// Retries within each window must not exceed a share of the first attempts plus a floor.
    pub fn check_retries(&mut self, window: u64, max_share: f64, floor: f64) {
        for (index, end) in self.retries.clone().iter().enumerate() {
            let since = end.saturating_sub(window);
            let retry_count = self.retries[..=index]
                .iter()
                .filter(|at| **at >= since)
                .count();
            let is_in_window = |at: &&u64| **at >= since && **at <= *end;
            let first_count = self.first_attempts.iter().filter(is_in_window).count();
            if retry_count as f64 > max_share * first_count as f64 + floor {
                let text = format!("{retry_count} retries for {first_count} first attempts");
                self.now = *end;
                self.record_violation(text);
                return;
            }
        }
    }
}

fn open_zones(text: &[u8]) -> Vec<String> {
    let document: serde_json::Value = serde_json::from_slice(text).unwrap_or_default();
    let zones = document["districts"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    let open = zones.iter().filter(|one| one["state"] != "evacuated");
    open.filter_map(|one| Some(one["name"].as_str()?.to_string()))
        .collect()
}
