use crate::callers::Wish;
use crate::deployment::{Deployment, LabFault};
use crate::fleet::Fleet;
use crate::judge;
use crate::ledger::{unix_now_ms, RunLine};
use oxhttp::model::Method;
use std::collections::{BTreeMap, BTreeSet};
use std::thread;
use std::time::{Duration, Instant};
use transport::call;

/// What a scenario looks at by itself: wishes, runs, and the worker of each runner.
pub type Look = fn(&mut Stage, &[Wish], &[RunLine], &BTreeMap<String, String>);

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
    /// Districts that get no work from a time on, until another.
    pub no_work: Vec<(String, u64, u64)>,
    /// Checks of the judge that this scenario is made for, and that must have something to look at.
    pub wanted: Vec<&'static str>,
    /// Functions that were lowered to one request at once, or removed, and since when it must hold.
    pub deeds: Vec<(String, &'static str, u64)>,
    /// A function and a kind that it takes no longer, and since when.
    pub gone_kind: Option<(String, String, u64)>,
    /// A district that was opened again, and when.
    pub reopened: Option<(String, u64)>,
    /// A time within which no first ask may fail, from and until.
    pub flawless: Option<(u64, u64)>,
    /// What the scenario itself looks at in the end.
    pub look: Option<Look>,
    /// Whether callers may be told that work was not run for as long as they ask.
    pub may_refuse: bool,
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
            wanted: vec![judge::ONCE, judge::IN_FLIGHT, judge::WARMING, judge::WRONG],
            deeds: Vec::new(),
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

    /// Starts a front that has ended, and waits until it has standing.
    pub fn start_front(&mut self, place: usize) -> Result<(), LabFault> {
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

    /// Puts an edited blueprint wherever a core takes it. Gives whether it was acknowledged.
    pub fn put_once(&self, edit: impl Fn(&mut serde_json::Value)) -> bool {
        let Ok((version, mut blueprint)) = self.blueprint() else {
            return false;
        };
        edit(&mut blueprint);
        let told = self.fleet.put(&blueprint.to_string(), version);
        told.is_some_and(|(status, _)| status == 200)
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
        for (district, since, until) in self.no_work.clone() {
            let late = runs
                .iter()
                .filter(|run| run.at_ms > since && run.at_ms < until)
                .filter(|run| district_of(&run.runner) == district);
            let count = late.count();
            let text = format!("{count} runs in {district} after the bound");
            self.expect(count == 0, &text);
            self.note(text);
        }
        self.judge_deeds(wishes, runs, &district_of);
        if !self.may_lose {
            let asks = wishes.iter().flat_map(|wish| &wish.asks);
            let lost: Vec<String> = asks
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
        let is_bad = |wish: &&Wish| {
            let mut asks = wish.asks.iter();
            let first = asks.find(|ask| ask.outcome != "refused");
            first.is_none_or(|ask| !ask.is_right)
        };
        let during = wishes
            .iter()
            .filter(|wish| wish.due_ms >= began && wish.due_ms < closed);
        let bad_during = during.clone().filter(is_bad).count();
        if let Some((from, until)) = self.flawless {
            let within = wishes
                .iter()
                .filter(|wish| wish.due_ms >= from && wish.due_ms < until);
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
        let after: Vec<&Wish> = wishes.iter().filter(|wish| wish.due_ms >= closed).collect();
        let bad: Vec<&&Wish> = after.iter().filter(|wish| is_bad(wish)).collect();
        let back_ms = |wishes: &[&&Wish]| {
            let last = wishes.iter().map(|wish| wish.due_ms).max();
            last.map_or(0, |due| due.saturating_sub(closed) + 1)
        };
        let bound = self.deployment.bounds.return_ms;
        let mut kinds: BTreeMap<&str, Vec<&&Wish>> = BTreeMap::new();
        for wish in &bad {
            kinds.entry(&wish.kind).or_default().push(wish);
        }
        let by_kind: Vec<String> = kinds
            .iter()
            .map(|(kind, wishes)| format!("{kind} {} ms", back_ms(wishes)))
            .collect();
        let functions: BTreeSet<&str> = after.iter().map(|wish| wish.function.as_str()).collect();
        self.note(format!(
            "after it {} of {} failed over {} functions, the last {} ms after it closed [{}]",
            bad.len(),
            after.len(),
            functions.len(),
            back_ms(&bad),
            by_kind.join(", ")
        ));
        self.expect(!after.is_empty(), "nothing was asked after the failure");
        for wish in bad.iter().filter(|wish| wish.due_ms > closed + bound) {
            let text = format!(
                "{} {} is not back within the bound",
                wish.kind, wish.function
            );
            self.broken.push(text);
        }
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
        if !self.may_refuse {
            self.expect(undone == 0, "work was never done");
        }
    }

    /// What a change must have brought about at the runners, and at callers.
    fn judge_deeds(
        &mut self,
        wishes: &[Wish],
        runs: &[RunLine],
        district_of: impl Fn(&str) -> String,
    ) {
        for (function, change, since) in self.deeds.clone() {
            let own = runs.iter().filter(|run| run.function == function);
            let (late, early): (Vec<&RunLine>, Vec<&RunLine>) =
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
            let own: Vec<&Wish> = wishes
                .iter()
                .filter(|wish| wish.function == function && wish.kind == kind)
                .collect();
            let late = own.iter().filter(|wish| wish.due_ms > since);
            let (wrong, all) = (late.clone().filter(|wish| wish.is_done), late.clone());
            let (wrong, all) = (wrong.count(), all.count());
            self.note(format!("{function} without {kind}: {wrong} of {all} done"));
            self.expect(wrong == 0, "a kind that is gone was still served");
            self.expect(all > 0 && own.len() > all, "the kind was not called");
        }
        if let Some((district, since)) = self.reopened.clone() {
            let later = runs
                .iter()
                .filter(|run| run.at_ms >= since && district_of(&run.runner) == district);
            let first = later.clone().map(|run| run.at_ms - since).min();
            self.note(format!(
                "{} runs in {district} after it was opened, the first after {first:?} ms",
                later.count()
            ));
            let bound = self.deployment.bounds.change_ms;
            let is_in_time = first.is_some_and(|first| first <= bound);
            self.expect(is_in_time, "the opened district does not work");
        }
    }
}
