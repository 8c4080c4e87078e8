use crate::demand::DemandTable;
use crate::keepers::{elect_keeper, tend_keepers};
use crate::life::Lives;
use crate::orders::Orders;
use crate::placing::{place, NoPlace};
use crate::room::{Room, Share};
use crate::sight::Sight;
use crate::steps::{grow, shrink, Pod};
use configuration::{Listing, Plan, RunnerEntry, RunnerState};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Rate below which a function counts as without demand, in requests a second.
const QUIET_RATE: f64 = 0.2;
/// A runner's pace is told anew when it has changed by this factor.
const PACE_STEP: f64 = 1.25;

/// Why a function has the runners and quotas that it has.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FunctionNote {
    /// Requests a second that came in.
    pub measured: f64,
    /// Requests a second that are expected.
    pub forecast: f64,
    /// Tickets that wait at the fronts.
    pub waiting: u32,
    /// Demand that is scaled for: the forecast and what waits.
    pub demand: f64,
    /// Requests a second that the runners carry.
    pub capacity: f64,
    /// Milliseconds of one answer, as learnt.
    pub pace_ms: Option<f64>,
    /// Runners that count.
    pub runners: usize,
    /// Seats of these runners.
    pub seats: u32,
    /// What was decided last, and why.
    pub reason: String,
}

/// The scaler's memory between runs. All that must outlast it is in the plan.
pub struct Scaler {
    demand: DemandTable,
    lives: Lives,
    notes: BTreeMap<String, FunctionNote>,
    asleep_since: BTreeMap<String, u64>,
    paces_told_at: u64,
    /// Why nothing of a size found a place in this run.
    no_place: BTreeMap<u64, NoPlace>,
    /// Places in this run's plan of each function's runners.
    places: HashMap<String, Vec<usize>>,
    fresh_key: Box<dyn FnMut() -> Vec<u8> + Send>,
    named: u64,
}

impl Scaler {
    /// A scaler that knows nothing yet; `fresh_key` gives a new secret for each runner.
    pub fn new(fresh_key: Box<dyn FnMut() -> Vec<u8> + Send>) -> Self {
        Self {
            demand: DemandTable::default(),
            lives: Lives::default(),
            notes: BTreeMap::new(),
            asleep_since: BTreeMap::new(),
            paces_told_at: 0,
            no_place: BTreeMap::new(),
            places: HashMap::new(),
            fresh_key,
            named: 0,
        }
    }

    /// Why each function has what it has.
    pub fn notes(&self) -> &BTreeMap<String, FunctionNote> {
        &self.notes
    }

    /// Takes in what is seen without deciding anything, as a core does that has not the duty.
    pub fn observe(&mut self, sight: &Sight) {
        self.demand.observe(sight);
    }

    /// Decides the next plan; none where the plan in force is right as it is.
    pub fn run(&mut self, sight: &Sight, orders: &Orders) -> Option<Plan> {
        self.demand.observe(sight);
        self.no_place.clear();
        let mut plan = sight.plan.clone();
        tend_keepers(sight, &mut plan);
        self.lives.tend(sight, orders, &mut plan);
        self.places.clear();
        for (place, entry) in plan.runners.iter().enumerate() {
            let places = self.places.entry(entry.function.clone());
            places.or_default().push(place);
        }
        let mut listings: Vec<&Listing> = sight.blueprint.listings.iter().collect();
        // Who is called goes first, by rank, and within a rank who has been without a runner longest.
        listings.sort_by_cached_key(|listing| {
            let demand = self.demand.functions.get(&listing.name);
            let is_called = demand.is_some_and(|demand| demand.waiting > 0);
            let since = self.asleep_since.get(&listing.name).copied();
            let rank = rank_of(sight, listing);
            (!is_called, rank, since.unwrap_or(u64::MAX))
        });
        let mut room = Room::new(sight, &plan, self.shares(sight, &plan));
        for listing in &listings {
            self.keep_minimal(sight, &mut plan, listing, &mut room);
        }
        // Where memory is short, within a rank the function that lacks most is served first.
        listings.sort_by_cached_key(|listing| {
            let note = self.notes.get(&listing.name);
            let met = note.map_or(1.0, |note| note.capacity / note.demand.max(QUIET_RATE));
            (rank_of(sight, listing), (met.min(1_000.0) * 1_000.0) as u64)
        });
        for listing in &listings {
            self.scale(sight, &mut plan, listing, &mut room);
        }
        let is_due = self.paces_told_at + sight.blueprint.bounds.change_ms <= sight.now;
        if is_due || plan != *sight.plan {
            self.paces_told_at = sight.now;
            self.tell_paces(&mut plan);
        }
        let names = listings.iter().map(|listing| listing.name.as_str());
        let names: HashSet<&str> = names.collect();
        self.notes
            .retain(|function, _| names.contains(function.as_str()));
        self.asleep_since
            .retain(|function, _| names.contains(function.as_str()));
        if plan == *sight.plan {
            return None;
        }
        plan.term = sight.term;
        Some(plan)
    }

    /// One minimal runner of each function is kept; it sleeps only where memory has no room.
    fn keep_minimal(&mut self, sight: &Sight, plan: &mut Plan, listing: &Listing, room: &mut Room) {
        if !self.pods(sight, plan, listing).is_empty() {
            self.asleep_since.remove(&listing.name);
            return;
        }
        let since = self.asleep_since.entry(listing.name.clone());
        since.or_insert(sight.now);
        let started = self.start(sight, plan, listing, 1);
        let demand = self.demand.functions.get(&listing.name);
        let is_wanted = demand.is_some_and(|demand| demand.waiting > 0);
        let reason = match started {
            Ok(()) => "no runner counts: one minimal runner starts",
            Err(NoPlace::Busy) => "waits for a worker with a free start",
            Err(NoPlace::NoRoom) if is_wanted && room.make(sight, plan, listing, &self.lives) => {
                "no memory: other functions' runners are drained for it"
            }
            Err(NoPlace::NoRoom) => "sleeps: no worker has the memory",
        };
        self.note(&listing.name).reason = reason.into();
    }

    /// The plan tells each runner's pace, so that fronts know what other keepers' runners carry. It
    /// is told again only where it has changed by a quarter, since each plan goes to all.
    fn tell_paces(&self, plan: &mut Plan) {
        for entry in &mut plan.runners {
            let Some(pace) = self.demand.pace_of(&entry.id) else {
                continue;
            };
            let told = f64::from(entry.pace_ms);
            if pace > told * PACE_STEP || told > pace * PACE_STEP {
                entry.pace_ms = pace.round() as u32;
            }
        }
    }

    fn note(&mut self, function: &str) -> &mut FunctionNote {
        self.notes.entry(function.to_string()).or_default()
    }

    /// The runners that count towards the function's capacity.
    fn pods(&self, sight: &Sight, plan: &Plan, listing: &Listing) -> Vec<Pod> {
        let places = self.places.get(&listing.name).into_iter().flatten();
        let own = places.filter_map(|place| plan.runners.get(*place));
        let counted = own
            .filter(|entry| entry.state == RunnerState::Wanted && self.lives.counts(sight, entry));
        counted
            .map(|entry| Pod {
                id: entry.id.clone(),
                quota: entry.quota.min(listing.concurrency),
                most: listing.concurrency,
                seat_rate: self.demand.seat_rate(&listing.name, &entry.id),
            })
            .collect()
    }

    fn scale(&mut self, sight: &Sight, plan: &mut Plan, listing: &Listing, room: &mut Room) {
        let bounds = &sight.blueprint.bounds;
        let mut pods = self.pods(sight, plan, listing);
        let Some(demand) = self.demand.functions.get(&listing.name) else {
            return;
        };
        let wanted = demand.wanted(bounds);
        let seat_rate = demand.seat_rate();
        let capacity: f64 = pods.iter().map(Pod::capacity).sum();
        let note = FunctionNote {
            measured: demand.measured,
            forecast: demand.forecast.rate(),
            waiting: demand.waiting,
            demand: wanted,
            capacity,
            pace_ms: demand.pace_ms,
            runners: pods.len(),
            seats: pods.iter().map(|pod| pod.quota).sum(),
            reason: String::new(),
        };
        let known = self.note(&listing.name);
        *known = FunctionNote {
            reason: std::mem::take(&mut known.reason),
            ..note
        };
        if pods.is_empty() {
            return;
        }
        if wanted > capacity * bounds.alpha {
            let gap = wanted - capacity * bounds.alpha;
            let rest = grow(&mut pods, gap);
            set_quotas(plan, &pods);
            let (started, lacks_room) = self.start_for(sight, plan, listing, rest, seat_rate);
            let makes_room = lacks_room && room.make(sight, plan, listing, &self.lives);
            let remark = match (lacks_room, makes_room) {
                (true, true) => "; others give way",
                (true, false) => "; no memory",
                _ => "",
            };
            self.calm(&listing.name, None);
            self.note(&listing.name).reason = format!(
                "grew: demand {wanted:.1}/s is over alpha of {capacity:.1}/s; quotas first, \
                 {started} new runners for {:.1}/s{remark}",
                rest.max(0.0)
            );
        } else if wanted < capacity * bounds.beta {
            self.shrink_calmly(sight, plan, listing, pods, wanted);
        } else {
            self.calm(&listing.name, None);
        }
    }

    fn calm(&mut self, function: &str, since: Option<u64>) {
        if let Some(demand) = self.demand.functions.get_mut(function) {
            demand.calm_since = since;
        }
    }

    fn start_for(
        &mut self,
        sight: &Sight,
        plan: &mut Plan,
        listing: &Listing,
        mut gap: f64,
        seat_rate: f64,
    ) -> (usize, bool) {
        let mut started = 0;
        while gap > 0.0 {
            let seats = (gap / seat_rate).ceil().max(1.0) as u32;
            let quota = seats.min(listing.concurrency);
            match self.start(sight, plan, listing, quota) {
                Ok(()) => started += 1,
                Err(NoPlace::Busy) => break,
                Err(NoPlace::NoRoom) => return (started, true),
            }
            gap -= f64::from(quota) * seat_rate;
        }
        (started, false)
    }

    fn shrink_calmly(
        &mut self,
        sight: &Sight,
        plan: &mut Plan,
        listing: &Listing,
        mut pods: Vec<Pod>,
        wanted: f64,
    ) {
        let bounds = &sight.blueprint.bounds;
        let Some(demand) = self.demand.functions.get_mut(&listing.name) else {
            return;
        };
        let since = *demand.calm_since.get_or_insert(sight.now);
        if sight.now < since + bounds.cooldown_ms {
            return;
        }
        demand.calm_since = Some(sight.now);
        let capacity: f64 = pods.iter().map(Pod::capacity).sum();
        let slowest = pods.iter().map(|pod| pod.seat_rate);
        let least = slowest.fold(f64::INFINITY, f64::min) * bounds.alpha;
        // What is left must carry the demand without growing again at once.
        let surplus = capacity - wanted.max(least) / bounds.alpha;
        if !shrink(&mut pods, surplus) {
            return;
        }
        set_quotas(plan, &pods);
        let drained = pods.iter().filter(|pod| pod.quota == 0).count();
        self.note(&listing.name).reason = format!(
            "shrank after a calm cooldown: demand {wanted:.1}/s is under beta of \
             {capacity:.1}/s; {drained} runners drain"
        );
    }

    fn start(
        &mut self,
        sight: &Sight,
        plan: &mut Plan,
        listing: &Listing,
        quota: u32,
    ) -> Result<(), NoPlace> {
        // Within one run memory and starts are only taken, so what found no place finds none.
        if let Some(reason) = self.no_place.get(&listing.memory_mb) {
            return Err(*reason);
        }
        let lives = &self.lives;
        let is_warm = |id: &str| lives.is_warm(id);
        let found = place(sight, plan, listing.memory_mb, is_warm);
        if let Err(reason) = &found {
            self.no_place.insert(listing.memory_mb, *reason);
        }
        let found = found?;
        let Some(elected) = elect_keeper(sight, plan, &found.worker.district) else {
            return Err(NoPlace::Busy);
        };
        self.named += 1;
        let places = self.places.entry(listing.name.clone());
        places.or_default().push(plan.runners.len());
        plan.runners.push(RunnerEntry {
            id: format!("{}.{}.{}", listing.name, sight.term, self.named),
            function: listing.name.clone(),
            worker: found.worker.name.clone(),
            district: found.worker.district.clone(),
            address: format!("{}:{}", found.worker.host, found.port),
            key: (self.fresh_key)(),
            memory_mb: listing.memory_mb,
            quota,
            pace_ms: 0,
            keeper: elected.peer.clone(),
            keeper_epoch: 1,
            keeper_since: sight.next,
            state: RunnerState::Wanted,
        });
        Ok(())
    }

    /// What each function has and wants, for sharing memory where it is short.
    fn shares(&self, sight: &Sight, plan: &Plan) -> BTreeMap<String, Share> {
        let listings = sight.blueprint.listings.iter();
        let mut shares: BTreeMap<String, Share> = listings
            .filter_map(|listing| {
                let demand = self.demand.functions.get(&listing.name)?;
                let share = Share {
                    rank: rank_of(sight, listing),
                    demand: demand.wanted(&sight.blueprint.bounds),
                    is_idle: demand.waiting == 0 && demand.measured < QUIET_RATE,
                    last_arrival: demand.last_arrival,
                    ..Share::default()
                };
                Some((listing.name.clone(), share))
            })
            .collect();
        for entry in &plan.runners {
            if entry.state != RunnerState::Wanted || !self.lives.counts(sight, entry) {
                continue;
            }
            let seat_rate = self.demand.seat_rate(&entry.function, &entry.id);
            if let Some(share) = shares.get_mut(&entry.function) {
                share.runners += 1;
                share.capacity += f64::from(entry.quota) * seat_rate;
            }
        }
        shares
    }
}

fn rank_of(sight: &Sight, listing: &Listing) -> u8 {
    let ranks = listing
        .kinds
        .iter()
        .filter_map(|kind| sight.blueprint.kind(kind));
    ranks.map(|(rank, _)| rank).min().unwrap_or(u8::MAX)
}

fn set_quotas(plan: &mut Plan, pods: &[Pod]) {
    for pod in pods {
        let Some(entry) = plan.runners.iter_mut().find(|entry| entry.id == pod.id) else {
            continue;
        };
        entry.quota = pod.quota;
        if pod.quota == 0 {
            entry.state = RunnerState::Draining;
        }
    }
}
