use std::collections::HashSet;
use std::fmt;
use std::time::{Duration, Instant};

/// States that are expanded before the results are merged; it bounds the memory of one batch.
const BATCH: usize = 1024;

/// A system whose reachable states are explored.
pub trait Model: Sync {
    /// One state of the whole system.
    type State: Send + Sync;
    /// One step that the system or its surroundings may take.
    type Action: Clone + fmt::Debug + Send + Sync;

    /// States in which an exploration begins.
    fn initial_states(&self) -> Vec<Self::State>;
    /// Steps that are possible in a state.
    fn actions(&self, state: &Self::State) -> Vec<Self::Action>;
    /// The state after a step; an error tells which invariant the step broke.
    fn apply(&self, state: &Self::State, action: &Self::Action) -> Result<Self::State, String>;
    /// Checks the invariants of a state.
    fn check(&self, state: &Self::State) -> Result<(), String>;
    /// Hash by which states are told apart.
    fn fingerprint(&self, state: &Self::State) -> u128;
    /// Situations that must be reached at all, since invariants that hold where nothing happens mean little.
    fn milestones(&self) -> &'static [&'static str] {
        &[]
    }
    /// Which of the milestones a state shows, in their order.
    fn reached(&self, _state: &Self::State) -> Vec<bool> {
        Vec::new()
    }
}

/// How far an exploration goes.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most steps from an initial state.
    pub depth: usize,
    /// Most distinct states.
    pub states: usize,
    /// Threads that expand states; the result does not depend on their number.
    pub threads: usize,
}

/// A broken invariant and the steps that lead to it.
#[derive(Clone, Debug)]
pub struct Counterexample {
    /// What is broken.
    pub reason: String,
    /// The steps, in their order.
    pub actions: Vec<String>,
}

/// What came of an exploration.
#[derive(Clone, Debug)]
pub struct Report {
    /// Distinct states that were visited.
    pub states: usize,
    /// Steps that were taken.
    pub transitions: usize,
    /// Steps of the longest of the shortest paths to any state.
    pub depth: usize,
    /// Whether every state within the depth was visited.
    pub is_exhausted: bool,
    /// Whether no state had a step left, so that a greater depth would find nothing new.
    pub is_closed: bool,
    /// Time that it took.
    pub elapsed: Duration,
    /// Milestones, and how many distinct states show each.
    pub milestones: Vec<(&'static str, usize)>,
    /// The first broken invariant.
    pub counterexample: Option<Counterexample>,
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let scope = match (self.is_closed, self.is_exhausted) {
            (true, _) => "all reachable states",
            (false, true) => "all states within the depth",
            (false, false) => "not exhausted",
        };
        write!(
            formatter,
            "{} states, {} transitions, depth {}, {scope}, {:.1} s",
            self.states,
            self.transitions,
            self.depth,
            self.elapsed.as_secs_f64()
        )?;
        for (milestone, states) in &self.milestones {
            write!(formatter, "\n  {states} states: {milestone}")?;
        }
        let Some(counterexample) = &self.counterexample else {
            return Ok(());
        };
        write!(formatter, "\nbroken: {}", counterexample.reason)?;
        for (number, action) in counterexample.actions.iter().enumerate() {
            write!(formatter, "\n  {}. {action}", number + 1)?;
        }
        Ok(())
    }
}

/// The step that first led to a state.
struct Origin<A> {
    parent: usize,
    action: Option<A>,
}

struct Successor<M: Model> {
    parent: usize,
    action: M::Action,
    result: Result<Reached<M>, String>,
}

struct Reached<M: Model> {
    state: M::State,
    fingerprint: u128,
    milestones: Vec<bool>,
}

/// Visits every state within the limits, breadth first.
pub fn explore<M: Model>(model: &M, limits: Limits) -> Report {
    Exploration::new(model, limits).run()
}

struct Exploration<'a, M: Model> {
    model: &'a M,
    limits: Limits,
    visited: HashSet<u128>,
    origins: Vec<Origin<M::Action>>,
    transitions: usize,
    milestones: Vec<(&'static str, usize)>,
    counterexample: Option<Counterexample>,
}

impl<'a, M: Model> Exploration<'a, M> {
    fn new(model: &'a M, limits: Limits) -> Self {
        Self {
            model,
            limits,
            visited: HashSet::new(),
            origins: Vec::new(),
            transitions: 0,
            milestones: model.milestones().iter().map(|name| (*name, 0)).collect(),
            counterexample: None,
        }
    }

    fn run(mut self) -> Report {
        let begun = Instant::now();
        let mut frontier = self.begin();
        let (mut depth, mut is_full) = (0, false);
        while depth < self.limits.depth && !frontier.is_empty() {
            let mut next = Vec::new();
            for batch in frontier.chunks(BATCH) {
                let successors = self.expand(batch);
                self.merge(successors, &mut next);
                is_full |= self.visited.len() >= self.limits.states;
                if is_full || self.counterexample.is_some() {
                    break;
                }
            }
            depth += usize::from(!next.is_empty() || self.counterexample.is_some());
            frontier = next;
            if is_full || self.counterexample.is_some() {
                break;
            }
        }
        let is_whole = !is_full && self.counterexample.is_none();
        Report {
            states: self.visited.len(),
            transitions: self.transitions,
            depth,
            is_exhausted: is_whole,
            is_closed: is_whole && frontier.is_empty(),
            elapsed: begun.elapsed(),
            milestones: self.milestones,
            counterexample: self.counterexample,
        }
    }

    fn begin(&mut self) -> Vec<(usize, M::State)> {
        let mut frontier = Vec::new();
        for state in self.model.initial_states() {
            if let Err(reason) = self.model.check(&state) {
                self.counterexample = Some(Counterexample {
                    reason,
                    actions: Vec::new(),
                });
            }
            if self.visited.insert(self.model.fingerprint(&state)) {
                let number = self.origins.len();
                self.origins.push(Origin {
                    parent: number,
                    action: None,
                });
                frontier.push((number, state));
            }
        }
        frontier
    }

    /// All successors of some states, in an order that does not depend on the threads.
    fn expand(&self, batch: &[(usize, M::State)]) -> Vec<Successor<M>> {
        let threads = self.limits.threads.max(1);
        let share = batch.len().div_ceil(threads).max(1);
        let model = self.model;
        std::thread::scope(|scope| {
            let workers: Vec<_> = batch
                .chunks(share)
                .map(|part| scope.spawn(move || successors_of(model, part)))
                .collect();
            let parts = workers.into_iter().map(|worker| worker.join());
            parts
                .flat_map(|part| part.expect("a product's state machine panicked"))
                .collect()
        })
    }

    fn merge(&mut self, successors: Vec<Successor<M>>, next: &mut Vec<(usize, M::State)>) {
        for successor in successors {
            if self.counterexample.is_some() {
                return;
            }
            self.transitions += 1;
            let reached = match successor.result {
                Ok(reached) => reached,
                Err(reason) => {
                    let mut actions = self.path_to(successor.parent);
                    actions.push(format!("{:?}", successor.action));
                    self.counterexample = Some(Counterexample { reason, actions });
                    return;
                }
            };
            if self.visited.insert(reached.fingerprint) {
                let shown = self.milestones.iter_mut().zip(reached.milestones);
                shown.for_each(|((_, states), is_shown)| *states += usize::from(is_shown));
                let number = self.origins.len();
                self.origins.push(Origin {
                    parent: successor.parent,
                    action: Some(successor.action),
                });
                next.push((number, reached.state));
            }
        }
    }

    fn path_to(&self, mut number: usize) -> Vec<String> {
        let mut actions = Vec::new();
        while let Some(action) = &self.origins[number].action {
            actions.push(format!("{action:?}"));
            number = self.origins[number].parent;
        }
        actions.reverse();
        actions
    }
}

fn successors_of<M: Model>(model: &M, states: &[(usize, M::State)]) -> Vec<Successor<M>> {
    let mut successors = Vec::new();
    for (parent, state) in states {
        for action in model.actions(state) {
            let reached = model.apply(state, &action).and_then(|state| {
                model.check(&state)?;
                Ok(Reached {
                    fingerprint: model.fingerprint(&state),
                    milestones: model.reached(&state),
                    state,
                })
            });
            successors.push(Successor {
                parent: *parent,
                action,
                result: reached,
            });
        }
    }
    successors
}
