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
    pub broken: Vec<String>,
    committed: BTreeMap<(String, u64, u64), (u64, Vec<u8>)>,
    once_runs: BTreeMap<u64, u32>,
    notified: BTreeMap<u64, &'static str>,
    ran: BTreeSet<u64>,
    serving: BTreeMap<String, Version>,
    leased: BTreeMap<String, u64>,
    refused_texts: BTreeSet<String>,
    acknowledged: Option<(Version, u64)>,
    evacuated: BTreeMap<String, u64>,
    /// Bytes of a call that reached an address, beyond the first time, by time.
    again: Vec<u64>,
    firsts: Vec<u64>,
    attempted: BTreeSet<u64>,
    leaving: BTreeMap<String, u64>,
    /// What was looked at, by check, so that none can pass with nothing to see.
    pub looked: BTreeMap<&'static str, usize>,
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
    fn note(&mut self, text: String) {
        if self.broken.len() < MAX_VIOLATIONS {
            self.broken.push(format!("at {} ms: {text}", self.now));
        }
    }

    /// A register's value was called settled.
    pub fn committed(&mut self, key: &str, epoch: u64, version: u64, tag: u64, bytes: &[u8]) {
        if version == 0 {
            return;
        }
        // A put that was never acknowledged may be in force all the same, and open a zone again.
        let newest = self.acknowledged.map(|(known, _)| (known.epoch, known.no));
        if key == "blueprint" && newest.is_none_or(|newest| (epoch, version) > newest) {
            for zone in open_zones(bytes) {
                self.evacuated.remove(&zone);
            }
        }
        let place = (key.to_string(), epoch, version);
        let known = self
            .committed
            .entry(place)
            .or_insert_with(|| (tag, bytes.to_vec()));
        if known.0 != tag || known.1 != bytes {
            let text = format!("two values of {key} are settled at version {version}");
            self.note(text);
        }
    }

    /// All disks are lost: what was settled before says nothing of the next epoch.
    pub fn wiped(&mut self) {
        self.look("wiped");
    }

    /// Notes that a check had something to look at.
    pub fn look(&mut self, check: &'static str) {
        *self.looked.entry(check).or_default() += 1;
    }

    /// Bytes of a call reach an address, whoever listens there or not.
    pub fn attempt(&mut self, call: u64) {
        if self.attempted.insert(call) {
            self.firsts.push(self.now);
        } else {
            self.look("retries");
            self.again.push(self.now);
        }
    }

    /// Bytes of a call reach an address that belongs to another function's runner now.
    pub fn misdirected(&mut self, meant: &str, there: &str, is_stranger: bool) {
        self.look("misdirected");
        if !is_stranger && meant != there {
            let text = format!("a request for {meant} reaches a runner of {there}");
            self.note(text);
        }
    }

    /// A runner begins a request: the ramp gives one seat, and one more with each answer.
    pub fn warming(&mut self, runner: &str, in_flight: u32, ended: u32) {
        self.look("warming");
        if in_flight > 1 + ended {
            let text = format!("warming {runner} carries {in_flight} after {ended} answers");
            self.note(text);
        }
    }

    /// A caller gets a success that answers this call.
    pub fn answer(&mut self, call: u64, answered: u64, took_ms: u64) {
        self.look("answers");
        self.took_ms.push((self.now, took_ms));
        if call != answered {
            self.note(format!("call {call} gets the answer to {answered}"));
        }
    }

    /// The platform's list tells that a worker is leaving, or no longer.
    pub fn leaving(&mut self, worker: &str, since: Option<u64>) {
        match since {
            Some(since) => self.leaving.insert(worker.to_string(), since),
            None => self.leaving.remove(worker),
        };
    }

    /// A runner begins to run a call.
    pub fn run(&mut self, call: u64, key: Option<u64>, zone: &str, worker: &str) {
        self.runs += 1;
        self.ran.insert(call);
        if let Some(since) = self
            .leaving
            .get(worker)
            .copied()
            .filter(|since| self.now > *since)
        {
            self.look("leaving");
            if self.now > since + 3_000 {
                self.note(format!("work runs on the leaving {worker}"));
            }
        }
        if self.notified.get(&call) == Some(&"not-run") {
            self.note(format!("call {call} runs after 'not run'"));
        }
        if let Some(key) = key {
            let runs = self.once_runs.entry(key).or_default();
            *runs += 1;
            if *runs > 1 {
                self.note(format!("once-key {key} runs a second time"));
            }
        }
        if let Some(since) = self.evacuated.get(zone) {
            if self.now > since + 5_000 {
                self.note(format!("work runs in evacuated district {zone}"));
            }
        }
    }

    /// How many requests a runner holds.
    pub fn in_flight(&mut self, runner: &str, count: u32, concurrency: u32) {
        if count > concurrency {
            let text = format!("{runner} carries {count} of {concurrency}");
            self.note(text);
        }
    }

    /// A caller learned how its call ended.
    pub fn tell(&mut self, call: u64, outcome: &'static str, function: &str) {
        *self.outcomes.entry(outcome).or_default() += 1;
        if outcome == "not-run" && self.ran.contains(&call) {
            self.note(format!("call {call} ran before it was told 'not run'"));
        }
        if outcome == "answered" {
            if !self.ran.contains(&call) {
                self.note(format!("call {call} is answered and never ran"));
            }
            self.answered.push((self.now, function.to_string()));
        }
        self.notified.insert(call, outcome);
    }

    /// A front serves under a configuration.
    pub fn serves(&mut self, front: &str, version: Version) {
        let known = self.serving.entry(front.to_string()).or_default();
        if version < *known {
            let text = format!("{front} slips back from {known:?} to {version:?}");
            self.note(text);
            return;
        }
        *known = version;
    }

    /// A front in force with a text that was never acknowledged may hold it, but a refused or
    /// losing text must be nowhere.
    pub fn holds_text(&mut self, front: &str, text: &str) {
        if self.refused_texts.contains(text) {
            self.note(format!("{front} holds a blueprint that was refused"));
        }
    }

    /// A put was answered with a rejection.
    pub fn refused(&mut self, text: &str) {
        self.refused_texts.insert(text.to_string());
    }

    /// A put was acknowledged.
    pub fn acknowledged(&mut self, version: Version, evacuated: &[String]) {
        self.puts += 1;
        if self.acknowledged.is_none_or(|(newest, _)| version > newest) {
            self.acknowledged = Some((version, self.now));
            self.evacuated.retain(|zone, _| evacuated.contains(zone));
            for zone in evacuated {
                self.evacuated.entry(zone.clone()).or_insert(self.now);
            }
        }
    }

    /// A front that works under an older configuration 3 s after the newest was acknowledged.
    pub fn works(&mut self, front: &str, version: Version) {
        let Some((newest, at)) = self.acknowledged else {
            return;
        };
        if version < newest && self.now > at + 3_000 {
            let text = format!("{front} works under {version:?}, acknowledged is {newest:?}");
            self.note(text);
        }
    }

    /// An owner lends a seat.
    pub fn leases_seats(&mut self, runner: &str, epoch: u64) {
        let newest = self.leased.entry(runner.to_string()).or_default();
        if epoch < *newest {
            let text = format!("owner of epoch {epoch} leases {runner} after epoch {newest}");
            self.note(text);
            return;
        }
        *newest = epoch;
    }

    /// The share of retries in each window.
    pub fn check_retries(&mut self, window: u64, share: f64, floor: f64) {
        for (place, end) in self.again.clone().iter().enumerate() {
            let since = end.saturating_sub(window);
            let again = self.again[..=place]
                .iter()
                .filter(|at| **at >= since)
                .count();
            let first = |at: &&u64| **at >= since && **at <= *end;
            let firsts = self.firsts.iter().filter(first).count();
            if again as f64 > share * firsts as f64 + floor {
                let text = format!("{again} retries beside {firsts} first tries");
                self.now = *end;
                self.note(text);
                return;
            }
        }
    }
}

fn open_zones(text: &[u8]) -> Vec<String> {
    let notified: serde_json::Value = serde_json::from_slice(text).unwrap_or_default();
    let zones = notified["districts"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    let open = zones.iter().filter(|one| one["state"] != "evacuated");
    open.filter_map(|one| Some(one["name"].as_str()?.to_string()))
        .collect()
}
