use std::collections::HashSet;
use std::fmt;
use std::time::{Duration, Instant};

/// Number of states expanded before their successors are merged; bounds the memory used for unmerged successors.
const BATCH_SIZE: usize = 1024;

/// A system whose reachable states can be explored.
pub trait Model: Sync {
    /// A state of the whole system.
    type State: Send + Sync;
    /// A step of the system or of its environment.
    type Action: Clone + fmt::Debug + Send + Sync;

    /// States from which the exploration starts.
    fn initial_states(&self) -> Vec<Self::State>;
    /// Steps that are enabled in a state.
    fn actions(&self, state: &Self::State) -> Vec<Self::Action>;
    /// Returns the state after a step, or which invariant the step violated.
    fn apply(&self, state: &Self::State, action: &Self::Action) -> Result<Self::State, String>;
    /// Checks the invariants that every state must satisfy.
    fn check(&self, state: &Self::State) -> Result<(), String>;
    /// Hash that identifies a state.
    fn fingerprint(&self, state: &Self::State) -> u128;
    /// Situations that an exploration is expected to reach. They guard against a model in which the invariants hold only
    /// because nothing happens.
    fn milestones(&self) -> &'static [&'static str] {
        &[]
    }
    /// For each milestone, in order, whether the state satisfies it.
    fn reached(&self, _state: &Self::State) -> Vec<bool> {
        Vec::new()
    }
}

/// Bounds of an exploration.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of steps from an initial state.
    pub depth: usize,
    /// Maximum number of distinct states.
    pub states: usize,
    /// Number of threads that expand states; the result does not depend on it.
    pub threads: usize,
}

/// A violated invariant and the steps that lead to the violation.
#[derive(Clone, Debug)]
pub struct Counterexample {
    /// The violated invariant.
    pub reason: String,
    /// Debug output of the steps, in order.
    pub actions: Vec<String>,
}

/// Result of an exploration.
#[derive(Clone, Debug)]
pub struct Report {
    /// Number of distinct states visited.
    pub states: usize,
    /// Number of steps taken.
    pub transitions: usize,
    /// Greatest distance of a visited state from an initial state, in steps.
    pub depth: usize,
    /// Whether every state within the depth limit was visited.
    pub is_exhausted: bool,
    /// Whether no unexpanded state is left, so that a greater depth would find no further states.
    pub is_closed: bool,
    /// Wall-clock time of the exploration.
    pub elapsed: Duration,
    /// Milestones with the number of distinct states that satisfy each.
    pub milestones: Vec<(&'static str, usize)>,
    /// The first violation found.
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

/// The step by which a state was first reached.
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

/// Visits every state within the limits, breadth first, and stops at the first violated invariant.
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
        let started = Instant::now();
        let mut frontier = self.insert_initial_states();
        let (mut depth, mut is_full) = (0, false);
        while depth < self.limits.depth && !frontier.is_empty() {
            let mut next = Vec::new();
            for batch in frontier.chunks(BATCH_SIZE) {
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
        let is_complete = !is_full && self.counterexample.is_none();
        Report {
            states: self.visited.len(),
            transitions: self.transitions,
            depth,
            is_exhausted: is_complete,
            is_closed: is_complete && frontier.is_empty(),
            elapsed: started.elapsed(),
            milestones: self.milestones,
            counterexample: self.counterexample,
        }
    }

    fn insert_initial_states(&mut self) -> Vec<(usize, M::State)> {
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

    /// Returns the successors of a batch of states, in an order that does not depend on the number of threads.
    fn expand(&self, batch: &[(usize, M::State)]) -> Vec<Successor<M>> {
        let threads = self.limits.threads.max(1);
        let chunk_size = batch.len().div_ceil(threads).max(1);
        let model = self.model;
        std::thread::scope(|scope| {
            let workers: Vec<_> = batch
                .chunks(chunk_size)
                .map(|chunk| scope.spawn(move || successors_of(model, chunk)))
                .collect();
            let results = workers.into_iter().map(|worker| worker.join());
            results
                .flat_map(|result| result.expect("a state machine under test panicked"))
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
                let by_milestone = self.milestones.iter_mut().zip(reached.milestones);
                by_milestone
                    .for_each(|((_, states), is_satisfied)| *states += usize::from(is_satisfied));
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
