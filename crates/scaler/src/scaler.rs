use crate::commands::CommandPlanner;
use crate::demand::DemandTable;
use crate::function_decision::FunctionDecision;
use crate::memory_pool::{MemoryPool, MemoryShare};
use crate::observation::Observation;
use crate::owners::{choose_owner, update_owners};
use crate::placing::{place, PlacementError};
use crate::quota_steps::{grow, set_quotas, shrink, RunnerQuota};
use crate::runner_states::RunnerStates;
use configuration::{FunctionSpec, Plan, RunnerEntry, RunnerState};
use std::collections::{BTreeMap, HashMap, HashSet};

/// A function counts as idle below this arrival rate, in requests per second.
const MIN_DEMAND_RATE: f64 = 0.2;
/// A runner's response time in the plan is updated only after it has changed by this factor.
const RESPONSE_TIME_STEP: f64 = 1.25;

/// State the scaler keeps between runs. Everything that must survive a restart is in the plan.
pub struct Scaler {
    demand: DemandTable,
    runner_states: RunnerStates,
    decisions: BTreeMap<String, FunctionDecision>,
    without_runner_since: BTreeMap<String, u64>,
    response_times_reported_at: u64,
    /// Why a runner could not be placed in this run, by memory size.
    placement_errors: BTreeMap<u64, PlacementError>,
    /// Indices of each function's runners in this run's plan.
    indices: HashMap<String, Vec<usize>>,
    generate_key: Box<dyn FnMut() -> Vec<u8> + Send>,
    /// Number of runner ids assigned so far; part of each id.
    seq: u64,
}

impl Scaler {
    /// Creates a scaler without any observations; `generate_key` generates the secret key of each new runner.
    pub fn new(generate_key: Box<dyn FnMut() -> Vec<u8> + Send>) -> Self {
        Self {
            demand: DemandTable::default(),
            runner_states: RunnerStates::default(),
            decisions: BTreeMap::new(),
            without_runner_since: BTreeMap::new(),
            response_times_reported_at: 0,
            placement_errors: BTreeMap::new(),
            indices: HashMap::new(),
            generate_key,
            seq: 0,
        }
    }

    /// The latest scaling decision for each function.
    pub fn decisions(&self) -> &BTreeMap<String, FunctionDecision> {
        &self.decisions
    }

    /// Updates the demand without making decisions, as on a core that does not hold the scaler role.
    pub fn observe(&mut self, observation: &Observation) {
        self.demand.observe(observation);
    }

    /// Computes the next plan; none if the current plan needs no change.
    pub fn run(&mut self, observation: &Observation, commands: &CommandPlanner) -> Option<Plan> {
        self.demand.observe(observation);
        self.placement_errors.clear();
        let mut plan = observation.plan.clone();
        update_owners(observation, &mut plan);
        self.runner_states.advance(observation, commands, &mut plan);
        self.indices.clear();
        for (index, entry) in plan.runners.iter().enumerate() {
            let indices = self.indices.entry(entry.function.clone());
            indices.or_default().push(index);
        }
        let mut function_specs: Vec<&FunctionSpec> =
            observation.configuration.function_specs.iter().collect();
        // Functions with waiting requests come first, then by priority, then those longest without a runner.
        function_specs.sort_by_cached_key(|function_spec| {
            let demand = self.demand.functions.get(&function_spec.name);
            let is_called = demand.is_some_and(|demand| demand.waiting > 0);
            let since = self.without_runner_since.get(&function_spec.name).copied();
            let priority = observation.priority_of(function_spec);
            (!is_called, priority, since.unwrap_or(u64::MAX))
        });
        let mut memory = MemoryPool::new(observation, &plan, self.shares(observation, &plan));
        for function_spec in &function_specs {
            self.ensure_minimal_runner(observation, &mut plan, function_spec, &mut memory);
        }
        // When memory is short, the function with the least of its demand covered goes first within a priority.
        function_specs.sort_by_cached_key(|function_spec| {
            let last = self.decisions.get(&function_spec.name);
            let met = last.map_or(1.0, |last| last.capacity / last.demand.max(MIN_DEMAND_RATE));
            (
                observation.priority_of(function_spec),
                (met.min(1_000.0) * 1_000.0) as u64,
            )
        });
        for function_spec in &function_specs {
            self.scale(observation, &mut plan, function_spec, &mut memory);
        }
        let is_due = self.response_times_reported_at + observation.configuration.bounds.change_ms
            <= observation.now;
        if is_due || plan != *observation.plan {
            self.response_times_reported_at = observation.now;
            self.report_response_times(&mut plan);
        }
        let names = function_specs
            .iter()
            .map(|function_spec| function_spec.name.as_str());
        let names: HashSet<&str> = names.collect();
        self.decisions
            .retain(|function, _| names.contains(function.as_str()));
        self.without_runner_since
            .retain(|function, _| names.contains(function.as_str()));
        if plan == *observation.plan {
            return None;
        }
        plan.term = observation.term;
        Some(plan)
    }

    /// Keeps one runner with a quota of one seat for each function, unless there is no memory for it.
    fn ensure_minimal_runner(
        &mut self,
        observation: &Observation,
        plan: &mut Plan,
        function_spec: &FunctionSpec,
        memory: &mut MemoryPool,
    ) {
        if !self
            .runner_quotas(observation, plan, function_spec)
            .is_empty()
        {
            self.without_runner_since.remove(&function_spec.name);
            return;
        }
        let since = self.without_runner_since.entry(function_spec.name.clone());
        since.or_insert(observation.now);
        let started = self.start(observation, plan, function_spec, 1);
        let demand = self.demand.functions.get(&function_spec.name);
        let is_wanted = demand.is_some_and(|demand| demand.waiting > 0);
        let reason = match started {
            Ok(()) => "no runner counts: one minimal runner starts",
            Err(PlacementError::Busy) => "waits for a worker with a free start",
            Err(PlacementError::NoMemory)
                if is_wanted
                    && memory.reserve(observation, plan, function_spec, &self.runner_states) =>
            {
                "no memory: other functions' runners are drained for it"
            }
            Err(PlacementError::NoMemory) => "sleeps: no worker has the memory",
        };
        self.decision(&function_spec.name).reason = reason.into();
    }

    /// Writes each runner's response time to the plan, from which fronts derive the capacity of runners that
    /// they do not own. Only changes by `RESPONSE_TIME_STEP` are written, since every plan goes to all processes.
    fn report_response_times(&self, plan: &mut Plan) {
        for entry in &mut plan.runners {
            let Some(response_time) = self.demand.response_time_of(&entry.id) else {
                continue;
            };
            let reported = f64::from(entry.response_time_ms);
            if response_time > reported * RESPONSE_TIME_STEP
                || reported > response_time * RESPONSE_TIME_STEP
            {
                entry.response_time_ms = response_time.round() as u32;
            }
        }
    }

    fn decision(&mut self, function: &str) -> &mut FunctionDecision {
        self.decisions.entry(function.to_string()).or_default()
    }

    /// Quotas of the runners that count towards the function's capacity.
    fn runner_quotas(
        &self,
        observation: &Observation,
        plan: &Plan,
        function_spec: &FunctionSpec,
    ) -> Vec<RunnerQuota> {
        let indices = self.indices.get(&function_spec.name).into_iter().flatten();
        let own = indices.filter_map(|index| plan.runners.get(*index));
        let counted = own.filter(|entry| {
            entry.state == RunnerState::Wanted && self.runner_states.counts(observation, entry)
        });
        counted
            .map(|entry| RunnerQuota {
                id: entry.id.clone(),
                quota: entry.quota.min(function_spec.concurrency),
                max_quota: function_spec.concurrency,
                seat_rate: self.demand.seat_rate(&function_spec.name, &entry.id),
            })
            .collect()
    }

    fn scale(
        &mut self,
        observation: &Observation,
        plan: &mut Plan,
        function_spec: &FunctionSpec,
        memory: &mut MemoryPool,
    ) {
        let bounds = &observation.configuration.bounds;
        let mut runner_quotas = self.runner_quotas(observation, plan, function_spec);
        let Some(demand) = self.demand.functions.get(&function_spec.name) else {
            return;
        };
        let required = demand.required_rate(bounds);
        let seat_rate = demand.seat_rate();
        let capacity: f64 = runner_quotas.iter().map(RunnerQuota::capacity).sum();
        let decision = FunctionDecision {
            measured: demand.measured,
            forecast: demand.forecast.rate(),
            waiting: demand.waiting,
            demand: required,
            capacity,
            response_time_ms: demand.response_time_ms,
            runners: runner_quotas.len(),
            seats: runner_quotas
                .iter()
                .map(|runner_quota| runner_quota.quota)
                .sum(),
            reason: String::new(),
        };
        let previous = self.decision(&function_spec.name);
        *previous = FunctionDecision {
            reason: std::mem::take(&mut previous.reason),
            ..decision
        };
        if runner_quotas.is_empty() {
            return;
        }
        if required > capacity * bounds.alpha {
            let gap = required - capacity * bounds.alpha;
            let unmet = grow(&mut runner_quotas, gap);
            set_quotas(plan, &runner_quotas);
            let (started, lacks_memory) =
                self.start_runners(observation, plan, function_spec, unmet, seat_rate);
            let will_have_memory = lacks_memory
                && memory.reserve(observation, plan, function_spec, &self.runner_states);
            let memory_remark = match (lacks_memory, will_have_memory) {
                (true, true) => "; others give way",
                (true, false) => "; no memory",
                _ => "",
            };
            self.set_below_beta_since(&function_spec.name, None);
            self.decision(&function_spec.name).reason = format!(
                "grew: demand {required:.1}/s is over alpha of {capacity:.1}/s; quotas first, \
                 {started} new runners for {:.1}/s{memory_remark}",
                unmet.max(0.0)
            );
        } else if required < capacity * bounds.beta {
            self.shrink_after_cooldown(observation, plan, function_spec, runner_quotas, required);
        } else {
            self.set_below_beta_since(&function_spec.name, None);
        }
    }

    /// Sets since when the demand has been below `beta` times the capacity; none if it is not.
    fn set_below_beta_since(&mut self, function: &str, since: Option<u64>) {
        if let Some(demand) = self.demand.functions.get_mut(function) {
            demand.below_beta_since = since;
        }
    }

    /// Starts runners for a gap in requests per second. Returns how many, and whether memory was lacking.
    fn start_runners(
        &mut self,
        observation: &Observation,
        plan: &mut Plan,
        function_spec: &FunctionSpec,
        mut gap: f64,
        seat_rate: f64,
    ) -> (usize, bool) {
        let mut started = 0;
        while gap > 0.0 {
            let seats = (gap / seat_rate).ceil().max(1.0) as u32;
            let quota = seats.min(function_spec.concurrency);
            match self.start(observation, plan, function_spec, quota) {
                Ok(()) => started += 1,
                Err(PlacementError::Busy) => break,
                Err(PlacementError::NoMemory) => return (started, true),
            }
            gap -= f64::from(quota) * seat_rate;
        }
        (started, false)
    }

    fn shrink_after_cooldown(
        &mut self,
        observation: &Observation,
        plan: &mut Plan,
        function_spec: &FunctionSpec,
        mut runner_quotas: Vec<RunnerQuota>,
        required: f64,
    ) {
        let bounds = &observation.configuration.bounds;
        let Some(demand) = self.demand.functions.get_mut(&function_spec.name) else {
            return;
        };
        let since = *demand.below_beta_since.get_or_insert(observation.now);
        if observation.now < since + bounds.cooldown_ms {
            return;
        }
        demand.below_beta_since = Some(observation.now);
        let capacity: f64 = runner_quotas.iter().map(RunnerQuota::capacity).sum();
        let slowest = runner_quotas
            .iter()
            .map(|runner_quota| runner_quota.seat_rate);
        let min_demand = slowest.fold(f64::INFINITY, f64::min) * bounds.alpha;
        // The remaining capacity has to cover the demand without triggering growth at once.
        let surplus = capacity - required.max(min_demand) / bounds.alpha;
        if !shrink(&mut runner_quotas, surplus) {
            return;
        }
        set_quotas(plan, &runner_quotas);
        let drained = runner_quotas
            .iter()
            .filter(|runner_quota| runner_quota.quota == 0)
            .count();
        self.decision(&function_spec.name).reason = format!(
            "shrank after a calm cooldown: demand {required:.1}/s is under beta of \
             {capacity:.1}/s; {drained} runners drain"
        );
    }

    fn start(
        &mut self,
        observation: &Observation,
        plan: &mut Plan,
        function_spec: &FunctionSpec,
        quota: u32,
    ) -> Result<(), PlacementError> {
        // Within one run memory and start slots are only used up, so a size that could not be placed stays unplaceable.
        if let Some(reason) = self.placement_errors.get(&function_spec.memory_mb) {
            return Err(*reason);
        }
        let runner_states = &self.runner_states;
        let is_warm = |id: &str| runner_states.is_warm(id);
        let placement = place(observation, plan, function_spec.memory_mb, is_warm);
        if let Err(reason) = &placement {
            self.placement_errors
                .insert(function_spec.memory_mb, *reason);
        }
        let placement = placement?;
        let Some(owner) = choose_owner(observation, plan, &placement.worker.zone) else {
            return Err(PlacementError::Busy);
        };
        self.seq += 1;
        let indices = self.indices.entry(function_spec.name.clone());
        indices.or_default().push(plan.runners.len());
        plan.runners.push(RunnerEntry {
            id: format!("{}.{}.{}", function_spec.name, observation.term, self.seq),
            function: function_spec.name.clone(),
            worker: placement.worker.name.clone(),
            zone: placement.worker.zone.clone(),
            address: format!("{}:{}", placement.worker.host, placement.port),
            key: (self.generate_key)(),
            memory_mb: function_spec.memory_mb,
            quota,
            response_time_ms: 0,
            owner: owner.peer.clone(),
            owner_epoch: 1,
            owner_since: observation.next,
            state: RunnerState::Wanted,
        });
        Ok(())
    }

    /// Capacity and demand of each function, for dividing scarce memory.
    fn shares(&self, observation: &Observation, plan: &Plan) -> BTreeMap<String, MemoryShare> {
        let function_specs = observation.configuration.function_specs.iter();
        let mut shares: BTreeMap<String, MemoryShare> = function_specs
            .filter_map(|function_spec| {
                let demand = self.demand.functions.get(&function_spec.name)?;
                let share = MemoryShare {
                    priority: observation.priority_of(function_spec),
                    demand: demand.required_rate(&observation.configuration.bounds),
                    is_idle: demand.waiting == 0 && demand.measured < MIN_DEMAND_RATE,
                    last_arrival: demand.last_arrival,
                    ..MemoryShare::default()
                };
                Some((function_spec.name.clone(), share))
            })
            .collect();
        for entry in &plan.runners {
            if entry.state != RunnerState::Wanted || !self.runner_states.counts(observation, entry)
            {
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
