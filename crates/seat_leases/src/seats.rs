use crate::runner::{Holder, Runner};
use crate::start_block::HeldBlock;
use protocol::{
    FunctionReport, FunctionUpdate, LeaseRequest, RunnerStage, RunnerUpdate, UpdateVersion,
    ZoneArrivals,
};
use std::collections::{BTreeMap, BTreeSet};

/// Runners of one function that refuse within a second where another keeper must be lending their seats too.
const CONTENDED_RUNNERS: usize = 2;
/// Milliseconds of an answer that are assumed until one was seen.
const PACE_PRIOR_MS: f64 = 60.0;

/// A bid that waits.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub holder: Holder,
    pub district: String,
    pub avoid: Vec<String>,
    pub ends_at: u64,
}

/// Seats of one function's runners, and who waits for them.
#[derive(Debug, Default)]
pub(crate) struct Seats {
    pub version: UpdateVersion,
    pub runners: Vec<Runner>,
    pub waiting: BTreeMap<(u8, u64), Waiting>,
    /// That no new runner can be up in time, as the scaler said last.
    pub start_block: Option<HeldBlock>,
    pub arrived: BTreeMap<String, u64>,
    pub given_up: u64,
    pub used_at: u64,
    pub is_dirty: bool,
    pub is_urgent: bool,
    pub told_at: u64,
    order: u64,
}

impl Seats {
    pub fn take_news(&mut self, now: u64, news: FunctionUpdate) {
        if news.version < self.version {
            return;
        }
        self.version = news.version;
        self.start_block = news.start_block.map(|told| HeldBlock::new(now, told));
        let mut known: BTreeMap<String, Runner> = std::mem::take(&mut self.runners)
            .into_iter()
            .map(|runner| (runner.news.id.clone(), runner))
            .collect();
        for told in news.runners {
            let runner = match known.remove(&told.id) {
                None => Runner::new(told, now),
                Some(mut runner) => {
                    runner.is_up |= told.stage == RunnerStage::Serving;
                    runner.news = told;
                    runner
                }
            };
            self.runners.push(runner);
        }
        // What is not wanted any more keeps its holders until they are done.
        for (_, mut runner) in known {
            runner.news.stage = RunnerStage::Draining;
            if !runner.holders.is_empty() {
                self.runners.push(runner);
            }
        }
        self.is_dirty = true;
    }

    /// A gateway told of a runner that this keeper may not know yet.
    pub fn know(&mut self, now: u64, id: &str, address: &str, district: &str) -> &mut Runner {
        if let Some(place) = self.runners.iter().position(|one| one.news.id == id) {
            return &mut self.runners[place];
        }
        let news = RunnerUpdate {
            id: id.into(),
            address: address.into(),
            zone: district.into(),
            quota: 1,
            stage: RunnerStage::Serving,
            starts_in_ms: 0,
        };
        self.runners.push(Runner::new(news, now));
        let last = self.runners.len() - 1;
        &mut self.runners[last]
    }

    pub fn add(&mut self, now: u64, holder: Holder, district: &str, bid: LeaseRequest) {
        self.order += 1;
        let waiting = Waiting {
            holder,
            district: district.into(),
            avoid: bid.excluded_runners,
            ends_at: now + u64::from(bid.timeout_ms),
        };
        self.waiting.insert((bid.priority, self.order), waiting);
    }

    pub fn withdraw(&mut self, holder: &Holder) {
        self.waiting.retain(|_, one| one.holder != *holder);
        self.free(holder);
    }

    pub fn free(&mut self, holder: &Holder) -> Option<&mut Runner> {
        let mut runners = self.runners.iter_mut();
        let found = runners.find(|runner| runner.holders.contains_key(holder))?;
        found.holders.remove(holder);
        Some(found)
    }

    /// Where several runners refuse at a time, somebody else lends the function's seats too: none of its runners gets
    /// more than it has for a while.
    pub fn heed_refusals(&mut self, now: u64) {
        let refusing = self
            .runners
            .iter()
            .filter(|one| one.has_refused_lately(now));
        if refusing.count() < CONTENDED_RUNNERS {
            return;
        }
        for runner in &mut self.runners {
            runner.be_cautious(now);
        }
    }

    pub fn forget_gateway(&mut self, gateway: &str) {
        self.waiting.retain(|_, one| one.holder.0 != gateway);
        for runner in &mut self.runners {
            runner.holders.retain(|(name, _), _| name != gateway);
        }
    }

    /// The next that gets a seat: its place in line and the runner.
    pub fn match_next(&self, now: u64, closed: &BTreeSet<String>) -> Option<((u8, u64), usize)> {
        if self.waiting.is_empty() {
            return None;
        }
        let free = self.free_places(now, closed);
        if free.is_empty() {
            return None;
        }
        let prior = self.pace_ms();
        for (key, waiting) in &self.waiting {
            let able = free.iter();
            let able = able.filter(|place| self.may_use(**place, &waiting.avoid));
            let elected = able.min_by(|one, other| {
                let of = |place: usize| self.cost(place, &waiting.district, prior);
                of(**one).total_cmp(&of(**other))
            });
            if let Some(place) = elected {
                return Some((*key, *place));
            }
        }
        None
    }

    fn free_places(&self, now: u64, closed: &BTreeSet<String>) -> Vec<usize> {
        let is_free = |place: &usize| {
            let runner = &self.runners[*place];
            runner.has_seat(now) && !closed.contains(&runner.news.zone)
        };
        (0..self.runners.len()).filter(is_free).collect()
    }

    fn may_use(&self, place: usize, avoid: &[String]) -> bool {
        !avoid.contains(&self.runners[place].news.id) || self.runners.len() == 1
    }

    /// Whether a seat is free that a bid may use.
    pub fn has_free(&self, now: u64, closed: &BTreeSet<String>, avoid: &[String]) -> bool {
        let mut free = self.free_places(now, closed).into_iter();
        free.any(|place| self.may_use(place, avoid))
    }

    // Expected time of an answer, with the way to another district as a fifth of one more.
    fn cost(&self, place: usize, district: &str, prior: f64) -> f64 {
        let runner = &self.runners[place];
        let pace = if runner.pace_ms > 0.0 {
            runner.pace_ms
        } else {
            prior
        };
        let fullness = f64::from(runner.in_use()) / f64::from(runner.news.quota.max(1));
        let way = if runner.news.zone == district {
            0.0
        } else {
            prior * 0.5
        };
        pace * (1.0 + fullness * 0.5) + way
    }

    /// Milliseconds of an answer, over the runners.
    pub fn pace_ms(&self) -> f64 {
        let paces = self.runners.iter().map(|runner| runner.pace_ms);
        let (count, sum) = paces
            .filter(|pace| *pace > 0.0)
            .fold((0, 0.0), |(count, sum), pace| (count + 1, sum + pace));
        if count == 0 {
            return PACE_PRIOR_MS;
        }
        sum / f64::from(count)
    }

    /// Milliseconds until whoever stands behind so many others gets a seat; none where nothing serves nor starts.
    pub fn expected_wait(&self, now: u64, ahead: usize) -> Option<f64> {
        let serving = self.runners.iter().filter(|runner| runner.serves());
        let seats: u32 = serving.map(|runner| runner.news.quota).sum();
        let pace = self.pace_ms();
        if seats > 0 {
            return Some((ahead as f64 + 1.0) / f64::from(seats) * pace);
        }
        let awaited = self.runners.iter().filter(|runner| runner.is_awaited());
        let first = awaited
            .map(|runner| runner.probe_at.saturating_sub(now))
            .min()?;
        Some(first as f64)
    }

    pub fn ahead_of(&self, rank: u8) -> usize {
        self.waiting.range(..=(rank, u64::MAX)).count()
    }

    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.runners.iter().all(|one| one.holders.is_empty())
    }

    pub fn report(&self, function: &str) -> FunctionReport {
        let arrivals = self.arrived.iter();
        FunctionReport {
            function: function.into(),
            update_number: self.version.number,
            arrivals: arrivals
                .map(|(zone, count)| ZoneArrivals {
                    zone: zone.clone(),
                    count: *count,
                })
                .collect(),
            waiting: self.waiting.len() as u32,
            abandoned: self.given_up,
            runners: self.runners.iter().map(Runner::report).collect(),
        }
    }
}
