use crate::function::{Function, PACE_MS};
use crate::options::AutoscalerOptions;
use crate::ordering::Bucket;
use crate::placing::{Account, Worker};
use crate::runner::{Life, Runner};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Milliseconds between two looks at a function of which nothing new was told.
const LOOK_MS: u64 = 250;

/// Decides how many runners exist, where each starts and what each may hold. It has no clock and
/// no threads, and does nothing itself.
pub struct Autoscaler {
    pub(crate) options: AutoscalerOptions,
    /// When it took up its work.
    pub(crate) began_at: u64,
    pub(crate) now: u64,
    pub(crate) functions: BTreeMap<String, Function>,
    pub(crate) runners: BTreeMap<u64, Runner>,
    pub(crate) serials: u64,
    pub(crate) ids: HashMap<String, u64>,
    pub(crate) nonces: BTreeMap<String, u64>,
    pub(crate) workers: BTreeMap<String, Worker>,
    pub(crate) placed: BTreeMap<String, BTreeSet<u64>>,
    pub(crate) closed: BTreeSet<String>,
    pub(crate) kept: BTreeMap<String, BTreeSet<String>>,
    pub(crate) knows_workers: bool,
    pub(crate) knows_runners: bool,
    /// When the list of runners came last.
    pub(crate) runners_seen_at: u64,
    pub(crate) is_described: bool,
    pub(crate) longest_ms: u64,
    /// Functions that are looked at regularly.
    pub(crate) active: BTreeSet<String>,
    /// Functions to look at in the next tick, by rank.
    pub(crate) due: BTreeSet<(u8, String)>,
    /// Functions of which news are to be told.
    pub(crate) changed: BTreeSet<String>,
    pub(crate) counter: u64,
    pub(crate) wanted: BTreeSet<(u8, u8, u64)>,
    pub(crate) ending: BTreeSet<u64>,
    /// Runners that were started and are not known to be up.
    pub(crate) starting: BTreeSet<u64>,
    /// What runners take on each worker, but for those workers where something has changed since.
    pub(crate) accounts: BTreeMap<String, Account>,
    /// Stopped runners, with the time of the stop; lists may still show them.
    pub(crate) stopped: BTreeMap<String, u64>,
    pub(crate) bucket: Bucket,
    looked_at: u64,
}

impl Autoscaler {
    /// An autoscaler that knows nothing yet. Numbers of news grow from term to term, so a keeper's
    /// number of an earlier term is never taken for one of this term.
    pub fn new(options: AutoscalerOptions, now: u64) -> Self {
        Self {
            bucket: Bucket::new(options.commands_per_s, now),
            counter: options.term << 32,
            options,
            began_at: now,
            now,
            functions: BTreeMap::new(),
            runners: BTreeMap::new(),
            serials: 0,
            ids: HashMap::new(),
            nonces: BTreeMap::new(),
            workers: BTreeMap::new(),
            placed: BTreeMap::new(),
            closed: BTreeSet::new(),
            kept: BTreeMap::new(),
            knows_workers: false,
            knows_runners: false,
            runners_seen_at: now,
            is_described: false,
            longest_ms: 0,
            active: BTreeSet::new(),
            due: BTreeSet::new(),
            changed: BTreeSet::new(),
            wanted: BTreeSet::new(),
            ending: BTreeSet::new(),
            starting: BTreeSet::new(),
            accounts: BTreeMap::new(),
            stopped: BTreeMap::new(),
            looked_at: now,
        }
    }

    /// Does what is due. To be called every 50 to 100 ms.
    pub fn tick(&mut self, now: u64) {
        self.pass(now);
        if now >= self.looked_at + LOOK_MS {
            self.looked_at = now;
            for name in self.active.clone() {
                self.look_at(&name);
            }
        }
        for (_, name) in std::mem::take(&mut self.due) {
            self.decide(&name);
        }
        self.tend_endings();
    }

    pub(crate) fn pass(&mut self, now: u64) {
        self.now = self.now.max(now);
    }

    pub(crate) fn knows_enough(&self) -> bool {
        self.knows_workers && self.knows_runners
    }

    pub(crate) fn make_due(&mut self, name: &str) {
        let Some(function) = self.functions.get(name) else {
            return;
        };
        self.due.insert((function.plan.rank, name.to_owned()));
    }

    fn look_at(&mut self, name: &str) {
        let now = self.now;
        let quiet_ms = self.longest_ms.max(crate::function::QUIET_MS);
        let Some(function) = self.functions.get_mut(name) else {
            self.active.remove(name);
            return;
        };
        function.arrivals.sample(now);
        let mut current = function.keepers.values();
        let holds = |report: &protocol::RunnerReport| report.in_use > 0;
        if current
            .any(|keeper| keeper.heard_at + quiet_ms > now && keeper.runners.values().any(holds))
        {
            function.busy_at = Some(now);
        }
        self.learn_prior(name);
        self.decide(name);
        let Some(function) = self.functions.get_mut(name) else {
            return;
        };
        if function.is_awake(now, &self.options) {
            return;
        }
        function.arrivals.rest();
        if function.runners.is_empty() && !function.plan.is_prewarmed() {
            self.active.remove(name);
            self.drop_undescribed(name);
        }
    }

    fn learn_prior(&mut self, name: &str) {
        let Some(function) = self.functions.get(name) else {
            return;
        };
        let runners = function
            .runners
            .iter()
            .filter_map(|serial| self.runners.get(serial));
        let mut paces: Vec<f64> = runners.filter_map(Runner::learnt_pace).collect();
        if paces.is_empty() {
            return;
        }
        paces.sort_by(f64::total_cmp);
        let median = paces[paces.len() / 2];
        if let Some(function) = self.functions.get_mut(name) {
            function.pace_ms = median;
        }
    }

    fn drop_undescribed(&mut self, name: &str) {
        let Some(function) = self.functions.get(name) else {
            return;
        };
        if function.plan.is_described {
            return;
        }
        for keeper in function.keepers.keys() {
            if let Some(names) = self.kept.get_mut(keeper) {
                names.remove(name);
            }
        }
        self.functions.remove(name);
    }

    pub(crate) fn pace_of(&self, runner: &Runner) -> f64 {
        let prior = self.functions.get(&runner.function);
        let prior = prior.map_or(PACE_MS, |function| function.pace_ms);
        runner.learnt_pace().unwrap_or(prior)
    }

    pub(crate) fn seat_rate(&self, runner: &Runner) -> f64 {
        1_000.0 / self.pace_of(runner).max(1.0)
    }

    pub(crate) fn add_runner(&mut self, runner: Runner) -> u64 {
        self.serials += 1;
        let serial = self.serials;
        if let Some(function) = self.functions.get_mut(&runner.function) {
            function.runners.insert(serial);
        }
        self.active.insert(runner.function.clone());
        self.accounts.remove(&runner.worker);
        self.placed
            .entry(runner.worker.clone())
            .or_default()
            .insert(serial);
        if let Some(id) = &runner.id {
            self.ids.insert(id.clone(), serial);
        }
        if !runner.nonce.is_empty() {
            self.nonces.insert(runner.nonce.clone(), serial);
        }
        self.runners.insert(serial, runner);
        serial
    }

    /// Forgets a runner; its memory counts as free from now on.
    pub(crate) fn forget(&mut self, serial: u64) {
        let Some(runner) = self.runners.remove(&serial) else {
            return;
        };
        if runner.stage().is_some() {
            self.changed.insert(runner.function.clone());
        }
        self.accounts.remove(&runner.worker);
        if let Some(serials) = self.placed.get_mut(&runner.worker) {
            serials.remove(&serial);
            if serials.is_empty() {
                self.placed.remove(&runner.worker);
            }
        }
        if let Some(function) = self.functions.get_mut(&runner.function) {
            function.runners.remove(&serial);
        }
        if let Some(id) = &runner.id {
            self.ids.remove(id);
        }
        self.nonces.remove(&runner.nonce);
        self.wanted.retain(|(_, _, other)| *other != serial);
        self.ending.remove(&serial);
        self.starting.remove(&serial);
        if let Some(worker) = self.workers.get_mut(&runner.worker) {
            if runner.asked_at.is_some() || runner.id.is_some() {
                worker.freed.push((self.now, runner.memory_mb));
            }
        }
        self.make_due(&runner.function);
    }

    /// Puts a runner into another part of its life.
    pub(crate) fn turn(&mut self, serial: u64, life: Life) {
        let Some(runner) = self.runners.get_mut(&serial) else {
            return;
        };
        if runner.life == life {
            return;
        }
        let before = runner.stage();
        runner.life = life;
        runner.drain_news = 0;
        self.accounts.remove(&runner.worker);
        if life == Life::Starting {
            self.starting.insert(serial);
        } else {
            self.starting.remove(&serial);
        }
        if !runner.counts() {
            runner.quota = 0;
            self.ending.insert(serial);
        } else {
            self.ending.remove(&serial);
        }
        if before != runner.stage() {
            self.changed.insert(runner.function.clone());
        }
        let name = runner.function.clone();
        self.make_due(&name);
    }
}
