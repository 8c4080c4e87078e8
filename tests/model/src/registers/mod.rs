//! Model of the registers and of a change of the voters' set: every order of single messages.
//!
//! What runs is the product's own code: `register` (`Proposal`, `Acceptor`, `replaced`, `merged`), `voter::Voter` over
//! `journal`, and `consensus::execute_batch`. The model adds callers that drive proposals, the network, crashes, and a new member
//! that asks for copies and installs them once a majority of the set's other members gave theirs.
//!
//! Reductions, none of which hides a state from the invariants:
//!
//! * The network is the set of all requests ever sent, of which any may be handled by any voter at any time, also
//!   again: loss, delay, reordering and duplication are all covered. An answer is dropped where its proposer has gone on to
//!   another request, as the product does with answers that bear another number.
//! * A crash may come between any two steps, any number of times: it changes no state where all was synced before the
//!   answer left, which is what it shows.
//! * A change of the set is explored from where the next set is committed, at any majority. What comes before are messages
//!   about the register of sets; a voter handles those of different registers independently, and follows into no set
//!   before it is committed, so that they commute with all steps about the value.
//! * Two journals that are read back alike are taken for the same disk.

mod disk;
mod exploration;
mod proposer;
mod state;

pub use exploration::{Registers, RegistersAction};
pub use proposer::Proposer;
pub use state::System;
