use crate::callers::PlannedCall;
use crate::deployment::{Deployment, LabError};
use crate::fleet::Fleet;
use crate::judge;
use crate::run_log::{unix_now_ms, RunRecord};
use oxhttp::model::Method;
use std::collections::{BTreeMap, BTreeSet};
use std::thread;
use std::time::{Duration, Instant};
use transport::call;

/// What a scenario looks at by itself: wishes, runs, and the worker of each runner.
pub type ScenarioCheck =
    fn(&mut ScenarioContext, &[PlannedCall], &[RunRecord], &BTreeMap<String, String>);

/// What a scenario acts on while traffic runs.
pub struct ScenarioContext {
    pub fleet: Fleet,
    pub deployment: Deployment,
    /// Figures and remarks for the report.
    pub notes: Vec<String>,
    /// What the scenario itself found broken.
    pub broken: Vec<String>,
    /// When the failure began and when it closed, in milliseconds since 1970.
    pub failed: Option<(u64, u64)>,
    /// Zones that get no work from a time on, until another.
    pub no_work: Vec<(String, u64, u64)>,
    /// Checks of the judge that this scenario is made for, and that must have something to look at.
    pub wanted: Vec<&'static str>,
    /// Functions that were lowered to one request at once, or removed, and since when it must hold.
    pub changes_made: Vec<(String, &'static str, u64)>,
    /// A function and a kind that it takes no longer, and since when.
    pub gone_kind: Option<(String, String, u64)>,
    /// A zone that was opened again, and when.
    pub reopened: Option<(String, u64)>,
    /// A time within which no first ask may fail, from and until.
    pub flawless: Option<(u64, u64)>,
    /// What the scenario itself looks at in the end.
    pub look: Option<ScenarioCheck>,
    /// Whether callers may learn that work was not run for as long as they ask.
    pub may_refuse: bool,
    /// Whether callers may learn that their work's outcome is unknown.
    pub may_lose: bool,
    began: Instant,
}

impl ScenarioContext {
    pub fn new(fleet: Fleet, deployment: Deployment) -> Self {
        Self {
            fleet,
            deployment,
            notes: Vec::new(),
            broken: Vec::new(),
            failed: None,
            no_work: Vec::new(),
            wanted: vec![judge::ONCE, judge::IN_FLIGHT, judge::WARMING, judge::WRONG],
            changes_made: Vec::new(),
            gone_kind: None,
            reopened: None,
            flawless: None,
            look: None,
            may_refuse: true,
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

    /// Starts a front that has ended, and waits until it has a quorum lease.
    pub fn start_front(&mut self, place: usize) -> Result<(), LabError> {
        let dir = self.fleet.dir.clone();
        self.fleet.fronts[place].start(&dir)?;
        let stands = |fleet: &Fleet| {
            let status = fleet.fronts[place].get_json("/status");
            status.is_some_and(|status| status["standing"] == true)
        };
        self.fleet
            .wait_until("the front has standing again", stands)?;
        Ok(())
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
    pub fn role_holder(&self) -> Option<usize> {
        self.fleet.cores.iter().position(|core| {
            let status = core.get_json("/status");
            status.is_some_and(|status| status["duty"]["here"] == true)
        })
    }

    /// Tells all workers that a function's runners misbehave; none ends it.
    pub fn runner_fault(&self, function: &str, runner_fault: Option<&str>, share: f64) {
        let command = serde_json::json!({
            "function": function, "mischief": runner_fault, "share": share,
        });
        let body = serde_json::to_vec(&command).unwrap_or_default();
        for worker in &self.fleet.workers {
            self.post(&format!("http://{}/mischief", worker.http), body.clone());
        }
    }

    pub fn post(&self, uri: &str, body: Vec<u8>) -> Option<u16> {
        let timeout = Duration::from_secs(2);
        let answer = call(Method::POST, uri, &[], body, timeout, 1 << 20).ok()?;
        Some(answer.status)
    }

    /// Version and text of the configuration in force at the first core that answers.
    pub fn configuration(&self) -> Result<(u64, serde_json::Value), LabError> {
        let reported = self
            .fleet
            .cores
            .iter()
            .find_map(|core| core.get_json("/blueprint"));
        let Some(reported) = reported else {
            return Err(LabError::Fleet("no core tells the blueprint".into()));
        };
        let version = reported["version"].as_u64().unwrap_or(0);
        Ok((version, reported["blueprint"].clone()))
    }

    /// Puts an edited configuration wherever a core takes it. Gives whether it was acknowledged.
    pub fn put_once(&self, edit: impl Fn(&mut serde_json::Value)) -> bool {
        let Ok((version, mut configuration)) = self.configuration() else {
            return false;
        };
        edit(&mut configuration);
        let reported = self.fleet.put(&configuration.to_string(), version);
        reported.is_some_and(|(status, _)| status == 200)
    }

    /// Puts an edited configuration and waits until every live front holds it; gives both times.
    pub fn put_edited(
        &mut self,
        edit: impl Fn(&mut serde_json::Value),
    ) -> Result<(Duration, Duration), LabError> {
        let (version, mut configuration) = self.configuration()?;
        edit(&mut configuration);
        let began = Instant::now();
        let text = configuration.to_string();
        let (status, reported) = self.fleet.put(&text, version).unwrap_or_default();
        let acknowledged = began.elapsed();
        if status != 200 {
            let text = format!("a put was answered {status}: {reported}");
            return Err(LabError::Broken(text));
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

    /// Judges what the stage itself can see: work in closed zones, and the time of return.
    pub fn judge(
        &mut self,
        planned_calls: &[PlannedCall],
        runs: &[RunRecord],
        zone_of: impl Fn(&str) -> String,
    ) {
        for (zone, since, until) in self.no_work.clone() {
            let late = runs
                .iter()
                .filter(|run| run.at_ms > since && run.at_ms < until)
                .filter(|run| zone_of(&run.runner) == zone);
            let count = late.count();
            let text = format!("{count} runs in {zone} after the bound");
            self.expect(count == 0, &text);
            self.note(text);
        }
        self.judge_deeds(planned_calls, runs, &zone_of);
        if !self.may_lose {
            let attempts = planned_calls
                .iter()
                .flat_map(|planned_call| &planned_call.attempts);
            let lost: Vec<String> = attempts
                .filter(|ask| matches!(ask.outcome.as_str(), "unknown" | "cut"))
                .map(|ask| format!("{} {}", ask.outcome, ask.reason))
                .collect();
            let text = format!("{} asks in flight were lost", lost.len());
            self.expect(lost.is_empty(), &format!("{text}: {:?}", lost.first()));
            self.note(text);
        }
        let Some((began, closed)) = self.failed else {
            return;
        };
        // A front that is gone takes no connection, and its callers go to the next one. A connection
        // that breaks after the request was sent is a failed ask.
        let is_bad = |planned_call: &&PlannedCall| {
            let mut attempts = planned_call.attempts.iter();
            let first = attempts.find(|ask| ask.outcome != "refused");
            first.is_none_or(|ask| !ask.is_right)
        };
        let during = planned_calls
            .iter()
            .filter(|planned_call| planned_call.due_ms >= began && planned_call.due_ms < closed);
        let bad_during = during.clone().filter(is_bad).count();
        if let Some((from, until)) = self.flawless {
            let within = planned_calls
                .iter()
                .filter(|planned_call| planned_call.due_ms >= from && planned_call.due_ms < until);
            let failed = within.filter(is_bad).count();
            self.expect(
                failed == 0,
                &format!("callers paid: {failed} first asks failed"),
            );
        }
        self.note(format!(
            "during the failure {bad_during} of {} first asks failed",
            during.count()
        ));
        let after: Vec<&PlannedCall> = planned_calls
            .iter()
            .filter(|planned_call| planned_call.due_ms >= closed)
            .collect();
        let bad: Vec<&&PlannedCall> = after
            .iter()
            .filter(|planned_call| is_bad(planned_call))
            .collect();
        let back_ms = |planned_calls: &[&&PlannedCall]| {
            let last = planned_calls
                .iter()
                .map(|planned_call| planned_call.due_ms)
                .max();
            last.map_or(0, |due| due.saturating_sub(closed) + 1)
        };
        let bound = self.deployment.bounds.return_ms;
        let mut kinds: BTreeMap<&str, Vec<&&PlannedCall>> = BTreeMap::new();
        for planned_call in &bad {
            kinds
                .entry(&planned_call.kind)
                .or_default()
                .push(planned_call);
        }
        let by_kind: Vec<String> = kinds
            .iter()
            .map(|(kind, planned_calls)| format!("{kind} {} ms", back_ms(planned_calls)))
            .collect();
        let functions: BTreeSet<&str> = after
            .iter()
            .map(|planned_call| planned_call.function.as_str())
            .collect();
        self.note(format!(
            "after it {} of {} failed over {} functions, the last {} ms after it closed [{}]",
            bad.len(),
            after.len(),
            functions.len(),
            back_ms(&bad),
            by_kind.join(", ")
        ));
        self.expect(!after.is_empty(), "nothing was asked after the failure");
        for planned_call in bad
            .iter()
            .filter(|planned_call| planned_call.due_ms > closed + bound)
        {
            let text = format!(
                "{} {} is not back within the bound",
                planned_call.kind, planned_call.function
            );
            self.broken.push(text);
        }
        let undone = planned_calls
            .iter()
            .filter(|planned_call| !planned_call.is_done)
            .count();
        self.note(format!(
            "{undone} of {} pieces of work never done",
            planned_calls.len()
        ));
        let mut reasons: BTreeMap<String, usize> = BTreeMap::new();
        for ask in planned_calls
            .iter()
            .flat_map(|planned_call| &planned_call.attempts)
        {
            if !ask.is_right {
                let reason = format!("{} {}", ask.outcome, ask.reason);
                *reasons.entry(reason).or_default() += 1;
            }
        }
        self.note(format!("{reasons:?}"));
        if !self.may_refuse {
            self.expect(undone == 0, "work was never done");
        }
    }

    /// What a change must have brought about at the runners, and at callers.
    fn judge_deeds(
        &mut self,
        planned_calls: &[PlannedCall],
        runs: &[RunRecord],
        zone_of: impl Fn(&str) -> String,
    ) {
        for (function, change, since) in self.changes_made.clone() {
            let own = runs.iter().filter(|run| run.function == function);
            let (late, early): (Vec<&RunRecord>, Vec<&RunRecord>) =
                own.partition(|run| run.at_ms > since);
            let most = early.iter().map(|run| run.in_flight).max().unwrap_or(0);
            let wrong = late
                .iter()
                .filter(|run| change == "removed" || run.in_flight > 1);
            let wrong = wrong.count();
            self.note(format!(
                "{function} {change}: {wrong} of {} runs against it after the bound, {} runs with up \
                 to {most} at once before",
                late.len(),
                early.len()
            ));
            self.expect(
                wrong == 0,
                &format!("{function} is not {change} everywhere"),
            );
            self.expect(!early.is_empty(), &format!("{function} was not called"));
        }
        if let Some((function, kind, since)) = self.gone_kind.clone() {
            let own: Vec<&PlannedCall> = planned_calls
                .iter()
                .filter(|planned_call| {
                    planned_call.function == function && planned_call.kind == kind
                })
                .collect();
            let late = own
                .iter()
                .filter(|planned_call| planned_call.due_ms > since);
            let (wrong, all) = (
                late.clone().filter(|planned_call| planned_call.is_done),
                late.clone(),
            );
            let (wrong, all) = (wrong.count(), all.count());
            self.note(format!("{function} without {kind}: {wrong} of {all} done"));
            self.expect(wrong == 0, "a kind that is gone was still served");
            self.expect(all > 0 && own.len() > all, "the kind was not called");
        }
        if let Some((zone, since)) = self.reopened.clone() {
            let later = runs
                .iter()
                .filter(|run| run.at_ms >= since && zone_of(&run.runner) == zone);
            let first = later.clone().map(|run| run.at_ms - since).min();
            self.note(format!(
                "{} runs in {zone} after it was opened, the first after {first:?} ms",
                later.count()
            ));
            let bound = self.deployment.bounds.change_ms;
            let is_in_time = first.is_some_and(|first| first <= bound);
            self.expect(is_in_time, "the opened district does not work");
        }
    }
}
