use configuration::Version;
use std::collections::{BTreeMap, BTreeSet};

/// Most lines that are kept of what is broken.
const MAX_VIOLATIONS: usize = 10;

/// Looks on and notes what must never happen. It knows only what went over the wire, what ran, and
/// what callers and operators were answered.
#[derive(Default)]
pub struct Oracle {
    /// True time, which no daemon knows.
    pub now: u64,
    /// What must never happen and did, with the time.
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
    /// Bytes of a call that reached an address, beyond the first time, by time.
    retries: Vec<u64>,
    first_attempts: Vec<u64>,
    attempted: BTreeSet<u64>,
    leaving_since: BTreeMap<String, u64>,
    /// What was looked at, by check, so that none can pass with nothing to see.
    pub case_counts: BTreeMap<&'static str, usize>,
    /// Wishes that were answered well, by the time of the answer.
    pub answered: Vec<(u64, String)>,
    /// How long answers took, by the time of the answer.
    pub took_ms: Vec<(u64, u64)>,
    /// Runs in all.
    pub runs: usize,
    /// Puts that were acknowledged.
    pub puts: usize,
    /// Requests of callers by their outcome.
    pub outcomes: BTreeMap<&'static str, usize>,
}

impl Oracle {
    fn record_violation(&mut self, text: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(format!("at {} ms: {text}", self.now));
        }
    }

    /// A register's value was committed.
    pub fn on_committed(&mut self, key: &str, epoch: u64, version: u64, tag: u64, bytes: &[u8]) {
        if version == 0 {
            return;
        }
        // A put that was never acknowledged may be in force all the same, and open a zone again.
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

    /// All disks are lost: what was settled before says nothing of the next epoch.
    pub fn on_wipe(&mut self) {
        self.count_case("wiped");
    }

    /// Notes that a check had something to look at.
    pub fn count_case(&mut self, check: &'static str) {
        *self.case_counts.entry(check).or_default() += 1;
    }

    /// Bytes of a call reach an address, whoever listens there or not.
    pub fn on_attempt(&mut self, call: u64) {
        if self.attempted.insert(call) {
            self.first_attempts.push(self.now);
        } else {
            self.count_case("retries");
            self.retries.push(self.now);
        }
    }

    /// Bytes of a call reach an address that belongs to another function's runner now.
    pub fn check_misdirected(&mut self, intended: &str, actual: &str, is_stranger: bool) {
        self.count_case("misdirected");
        if !is_stranger && intended != actual {
            let text = format!("a request for {intended} reaches a runner of {actual}");
            self.record_violation(text);
        }
    }

    /// A runner begins a request: the ramp gives one seat, and one more with each answer.
    pub fn check_ramp_up(&mut self, runner: &str, in_flight: u32, completed: u32) {
        self.count_case("warming");
        if in_flight > 1 + completed {
            let text =
                format!("warming {runner} has {in_flight} in flight after {completed} responses");
            self.record_violation(text);
        }
    }

    /// A caller gets a success that answers this call.
    pub fn check_answer(&mut self, call: u64, answered: u64, took_ms: u64) {
        self.count_case("answers");
        self.took_ms.push((self.now, took_ms));
        if call != answered {
            self.record_violation(format!("call {call} gets the answer to {answered}"));
        }
    }

    /// The platform's list tells that a worker is leaving, or no longer.
    pub fn set_leaving(&mut self, worker: &str, since: Option<u64>) {
        match since {
            Some(since) => self.leaving_since.insert(worker.to_string(), since),
            None => self.leaving_since.remove(worker),
        };
    }

    /// A runner begins to run a call.
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

    /// How many requests a runner holds.
    pub fn check_concurrency(&mut self, runner: &str, count: u32, concurrency: u32) {
        if count > concurrency {
            let text = format!(
                "{runner} has {count} requests in flight, its concurrency is {concurrency}"
            );
            self.record_violation(text);
        }
    }

    /// A caller learned how its call completed.
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

    /// A front serves under a configuration.
    pub fn check_no_rollback(&mut self, front: &str, version: Version) {
        let known = self.serving_versions.entry(front.to_string()).or_default();
        if version < *known {
            let text = format!("{front} went back from {known:?} to {version:?}");
            self.record_violation(text);
            return;
        }
        *known = version;
    }

    /// A front in force with a text that was never acknowledged may hold it, but a refused or
    /// losing text must be nowhere.
    pub fn check_not_rejected(&mut self, front: &str, text: &str) {
        if self.rejected_texts.contains(text) {
            self.record_violation(format!("{front} holds a configuration that was rejected"));
        }
    }

    /// A put was answered with a rejection.
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

    /// A front that works under an older configuration 3 s after the newest was acknowledged.
    pub fn check_staleness(&mut self, front: &str, version: Version) {
        let Some((newest, at)) = self.acknowledged else {
            return;
        };
        if version < newest && self.now > at + 3_000 {
            let text = format!("{front} works under {version:?}, acknowledged is {newest:?}");
            self.record_violation(text);
        }
    }

    /// An owner lends a seat.
    pub fn check_lease_epoch(&mut self, runner: &str, epoch: u64) {
        let newest = self.lease_epochs.entry(runner.to_string()).or_default();
        if epoch < *newest {
            let text = format!("owner of epoch {epoch} leases {runner} after epoch {newest}");
            self.record_violation(text);
            return;
        }
        *newest = epoch;
    }

    /// The share of retries in each window.
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
                let text = format!("{retry_count} retries beside {first_count} first tries");
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
