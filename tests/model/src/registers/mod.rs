//! Model of the registers and of a change of the voter set under every order of single messages.
//!
//! The code under test is the production code: `register` (`Proposal`, `Acceptor`, `VoterSet::with_replacement`,
//! `merge_replicas`), `voter::Voter` over `journal`, and `consensus::execute_batch`. The model adds proposers, the network,
//! crashes, and a new member that collects copies and installs them once it has them from a majority of the set's other members.
//!
//! Reductions, none of which hides a state from the invariants:
//!
//! * The network is the set of all requests ever sent. Any voter may handle any of them at any time and repeatedly, which covers
//!   loss, delay, reordering and duplication. A response is dropped if its proposer has moved on to another request, as the
//!   production code does with a response whose request number differs.
//! * A crash may occur between any two steps, any number of times. If everything is synced before the response is sent, a crash
//!   does not change the state; the exploration verifies this.
//! * A change of the voter set is explored from the point at which the next set is committed, for each majority. The messages
//!   before that concern the register of voter sets. They commute with all steps on the value, because a voter handles
//!   different registers independently and adopts a set only after it is committed.
//! * Two journals that recover to the same state are treated as the same disk.

mod disk;
mod exploration;
mod proposer;
mod state;

pub use exploration::{Registers, RegistersAction};
pub use proposer::Proposer;
pub use state::System;
