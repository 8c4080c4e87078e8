//! Model of the consensus controller: whole controllers' consensus with their voters and disks, under every schedule of a few
//! faults.
//!
//! What runs is the product's own code: `consensus::Consensus` (registers, membership, installing, catching up, the lease on the
//! scaling duty), `consensus::execute_batch` over `voter::Voter` and `journal`. The model adds the network, the clock, crashes
//! that lose what was not synced, and callers.
//!
//! A step of the exploration is one round of [`STEP_MS`], at whose beginning a fault may come. Reductions:
//!
//! * Within a round messages are handled in the order in which they were sent, and the disk's work at once. Other
//!   orders are brought about by faults alone: delayed links, frozen machines, crashes after any of some number of
//!   messages. Orders that need more than the scope's faults are not visited.
//! * All random numbers come from generators with fixed seeds, and their position is no part of a state: they decide
//!   identities, which are compared for equality only, and pauses below two rounds. Schedules under other pauses are not
//!   visited.
//! * A message that is lost and one that is never handled within the depth are the same to every invariant, which are
//!   all about what has happened.

mod fault;
mod history;
mod invariants;
mod node;
mod system;

pub use fault::{Fault, FaultScope};
pub use system::System;

use crate::explorer::Model;

/// Model time of one round.
pub const STEP_MS: u64 = 100;
/// Time after the last heartbeat of a holder at which its role is vacant.
pub const LEASE_MS: u64 = 500;
/// Time between heartbeats.
pub const HEARTBEAT_INTERVAL_MS: u64 = 100;
/// Silence after which a newcomer may take a member's place.
pub const REPLACEMENT_TIMEOUT_MS: u64 = 200;
/// Rounds without faults within which the controllers must have formed a set and a holder.
const BOOTSTRAP_ROUNDS: usize = 40;

/// Controllers of which some are members and others wait for a place.
pub struct Consensus {
    /// Members of the first set.
    pub members: usize,
    /// Controllers outside it.
    pub newcomers: usize,
    /// Most faults of one schedule.
    pub faults: usize,
    /// Faults that are drawn on.
    pub scope: FaultScope,
}

/// One round.
#[derive(Clone, Debug)]
pub struct Round {
    /// The fault that begins with it.
    pub fault: Option<Fault>,
}

impl Model for Consensus {
    type State = System;
    type Action = Round;

    fn initial_states(&self) -> Vec<System> {
        let mut system = System::new(self.members, self.newcomers, self.faults);
        for _ in 0..BOOTSTRAP_ROUNDS {
            let passed = system.pass_round(None, self.members);
            passed.expect("a round without faults broke an invariant");
        }
        system.compact();
        vec![system]
    }

    fn actions(&self, state: &System) -> Vec<Round> {
        let mut rounds = vec![Round { fault: None }];
        if state.faults_left > 0 {
            let faults = self.scope.faults(state.nodes.len()).into_iter();
            let possible = faults.filter(|fault| state.can_occur(*fault));
            rounds.extend(possible.map(|fault| Round { fault: Some(fault) }));
        }
        rounds
    }

    fn apply(&self, state: &System, round: &Round) -> Result<System, String> {
        let mut next = state.clone();
        next.pass_round(round.fault, self.members)?;
        Ok(next)
    }

    fn check(&self, state: &System) -> Result<(), String> {
        invariants::check(state)
    }

    fn fingerprint(&self, state: &System) -> u128 {
        state.fingerprint()
    }

    fn milestones(&self) -> &'static [&'static str] {
        &invariants::MILESTONES
    }

    fn reached(&self, state: &System) -> Vec<bool> {
        invariants::reached(state)
    }
}
