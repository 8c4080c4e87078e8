use crate::callers::Wish;
use crate::deployment::{Deployment, LabFault};
use crate::fleet::Fleet;
use crate::ledger::{unix_now_ms, RunLine};
use oxhttp::model::Method;
use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};
use wire::call;

/// What a scenario acts on while traffic runs.
pub struct Stage {
    pub fleet: Fleet,
    pub deployment: Deployment,
    /// Figures and remarks for the report.
    pub notes: Vec<String>,
    /// What the scenario itself found broken.
    pub broken: Vec<String>,
    /// When the failure began and when it closed, in milliseconds since 1970.
    pub failed: Option<(u64, u64)>,
    /// Districts that get no work from a time on.
    pub no_work: Vec<(String, u64)>,
    /// Whether callers may be told that their work's fate is unknown.
    pub may_lose: bool,
    began: Instant,
}

impl Stage {
    pub fn new(fleet: Fleet, deployment: Deployment) -> Self {
        Self {
            fleet,
            deployment,
            notes: Vec::new(),
            broken: Vec::new(),
            failed: None,
            no_work: Vec::new(),
            may_lose: true,
            began: Instant::now(),
        }
    }

    /// Lets the traffic run until so many seconds after its start.
    pub fn until(&self, seconds: f64) {
        let time = self.began + Duration::from_secs_f64(seconds);
        thread::sleep(time.saturating_duration_since(Instant::now()));
    }

    /// The failure begins now.
    pub fn fails(&mut self) {
        let now = unix_now_ms();
        self.failed = Some((now, now));
    }

    /// The failure has closed now.
    pub fn closes(&mut self) {
        let now = unix_now_ms();
        self.failed = Some((self.failed.map_or(now, |(began, _)| began), now));
    }

    pub fn note(&mut self, text: impl Into<String>) {
        self.notes.push(text.into());
    }

    pub fn expect(&mut self, is_so: bool, text: &str) {
        if !is_so {
            self.broken.push(text.into());
        }
    }

    /// The core that scales now.
    pub fn duty_holder(&self) -> Option<usize> {
        self.fleet.cores.iter().position(|core| {
            let status = core.get_json("/status");
            status.is_some_and(|status| status["duty"]["here"] == true)
        })
    }

    /// Tells all workers that a function's runners misbehave; none ends it.
    pub fn mischief(&self, function: &str, mischief: Option<&str>, share: f64) {
        let order = serde_json::json!({
            "function": function, "mischief": mischief, "share": share,
        });
        let body = serde_json::to_vec(&order).unwrap_or_default();
        for worker in &self.fleet.workers {
            self.post(&format!("http://{}/mischief", worker.http), body.clone());
        }
    }

    pub fn post(&self, uri: &str, body: Vec<u8>) -> Option<u16> {
        let patience = Duration::from_secs(2);
        let answer = call(Method::POST, uri, &[], body, patience, 1 << 20).ok()?;
        Some(answer.status)
    }

    /// Version and text of the blueprint in force at the first core that answers.
    pub fn blueprint(&self) -> Result<(u64, serde_json::Value), LabFault> {
        let told = self
            .fleet
            .cores
            .iter()
            .find_map(|core| core.get_json("/blueprint"));
        let Some(told) = told else {
            return Err(LabFault::Fleet("no core tells the blueprint".into()));
        };
        let version = told["version"].as_u64().unwrap_or(0);
        Ok((version, told["blueprint"].clone()))
    }

    /// Puts an edited blueprint and waits until every live front holds it; gives both times.
    pub fn put_edited(
        &mut self,
        edit: impl Fn(&mut serde_json::Value),
    ) -> Result<(Duration, Duration), LabFault> {
        let (version, mut blueprint) = self.blueprint()?;
        edit(&mut blueprint);
        let began = Instant::now();
        let text = blueprint.to_string();
        let (status, told) = self.fleet.put(&text, version).unwrap_or_default();
        let acknowledged = began.elapsed();
        if status != 200 {
            let text = format!("a put was answered {status}: {told}");
            return Err(LabFault::Broken(text));
        }
        self.fleet
            .wait_until("every front holds the put", |fleet| {
                fleet.fronts.iter().all(|front| {
                    let status = front.get_json("/status");
                    status.is_none_or(|status| status["blueprint"]["no"].as_u64() > Some(version))
                })
            })?;
        Ok((acknowledged, began.elapsed()))
    }

    /// Judges what the stage itself can see: work in closed districts, and the time of return.
    pub fn judge(
        &mut self,
        wishes: &[Wish],
        runs: &[RunLine],
        district_of: impl Fn(&str) -> String,
    ) {
        for (district, since) in self.no_work.clone() {
            let late = runs
                .iter()
                .filter(|run| run.at_ms > since && district_of(&run.runner) == district);
            let count = late.count();
            let text = format!("{count} runs in {district} after the bound");
            self.expect(count == 0, &text);
            self.note(text);
        }
        let Some((began, closed)) = self.failed else {
            return;
        };
        // A front that is gone gives no answer at all, and its callers go to the next one.
        let is_bad = |wish: &&Wish| {
            let mut asks = wish.asks.iter();
            let first = asks.find(|ask| ask.outcome != "none");
            first.is_none_or(|ask| !ask.is_right)
        };
        let during = wishes
            .iter()
            .filter(|wish| wish.due_ms >= began && wish.due_ms < closed);
        let bad_during = during.clone().filter(is_bad).count();
        self.note(format!(
            "during the failure {bad_during} of {} first asks failed",
            during.count()
        ));
        let after = wishes.iter().filter(|wish| wish.due_ms >= closed);
        let last_bad = after.clone().filter(is_bad).map(|wish| wish.due_ms).max();
        let back_ms = last_bad.map_or(0, |due| due.saturating_sub(closed) + 1);
        self.note(format!(
            "after it {} of {} failed, the last {back_ms} ms after it closed",
            after.clone().filter(is_bad).count(),
            after.count()
        ));
        let bound = self.deployment.bounds.return_ms;
        self.expect(back_ms <= bound, "service was not back within the bound");
        let undone = wishes.iter().filter(|wish| !wish.is_done).count();
        self.note(format!(
            "{undone} of {} pieces of work never done",
            wishes.len()
        ));
        let mut reasons: BTreeMap<String, usize> = BTreeMap::new();
        for ask in wishes.iter().flat_map(|wish| &wish.asks) {
            if !ask.is_right {
                let reason = format!("{} {}", ask.outcome, ask.reason);
                *reasons.entry(reason).or_default() += 1;
            }
        }
        self.note(format!("{reasons:?}"));
        if !self.may_lose {
            let lost = wishes
                .iter()
                .flat_map(|wish| &wish.asks)
                .filter(|ask| ask.outcome == "unknown")
                .count();
            self.expect(lost == 0, "work in flight was lost");
            self.expect(undone == 0, "work was never done");
        }
    }
}
