//! Model of the controllers' consensus, including voters and disks, under every schedule of a bounded number of faults.
//!
//! The code under test is the production code: `consensus::Consensus` (registers, membership, installation, repair, the lease on
//! the scaler role) and `consensus::execute_batch` over `voter::Voter` and `journal`. The model adds the network, the clock,
//! crashes that lose unsynced data, and clients.
//!
//! A step of the exploration is one round of [`STEP_MS`]; a fault may be injected at its beginning. Reductions:
//!
//! * Within a round, messages are handled in the order in which they were sent, and disk work completes immediately. Other
//!   orders arise only from faults: delayed links, frozen machines, and crashes after the numbers of messages in the scope.
//!   Orders that need more faults than the scope allows are not visited.
//! * Random number generators have fixed seeds, and their positions are not part of a state. Random numbers determine
//!   identities, which are only compared for equality, and delays below two rounds. Schedules with other delays are not
//!   visited.
//! * The invariants refer only to past events, so they do not distinguish a lost message from one that is not handled within
//!   the depth.

mod fault;
mod history;
mod invariants;
mod node;
mod system;

pub use fault::{Fault, FaultScope};
pub use system::System;

use crate::explorer::Model;

/// Duration of one round in model time, in milliseconds.
pub const STEP_MS: u64 = 100;
/// Duration of the lease on the scaler role after the holder's last heartbeat, in milliseconds.
pub const LEASE_MS: u64 = 500;
/// Interval between heartbeats, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 100;
/// Time without a heartbeat after which a new member may replace a member, in milliseconds.
pub const REPLACEMENT_TIMEOUT_MS: u64 = 200;
/// Number of fault-free rounds in which the controllers must form a voter set and elect a holder of the scaler role.
const BOOTSTRAP_ROUNDS: usize = 40;

/// Scope of the consensus model: initial members and spare controllers.
pub struct Consensus {
    /// Number of members of the first voter set.
    pub members: usize,
    /// Number of controllers outside the first voter set.
    pub newcomers: usize,
    /// Maximum number of faults in one schedule.
    pub faults: usize,
    /// The faults to inject.
    pub scope: FaultScope,
}

/// A step of the model: one round.
#[derive(Clone, Debug)]
pub struct Round {
    /// The fault injected at its beginning.
    pub fault: Option<Fault>,
}

impl Model for Consensus {
    type State = System;
    type Action = Round;

    fn initial_states(&self) -> Vec<System> {
        let mut system = System::new(self.members, self.newcomers, self.faults);
        for _ in 0..BOOTSTRAP_ROUNDS {
            let result = system.run_round(None, self.members);
            result.expect("a fault-free round violated an invariant");
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
        next.run_round(round.fault, self.members)?;
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
