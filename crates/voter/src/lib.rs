//! A voter with its disk, and an empty voter's way into the set. No threads and no clock: the core
//! daemon and the simulator run the same code.
#![warn(missing_docs)]

mod bootstrap;
mod membership_change;
mod voter;
mod voter_disk;

pub use bootstrap::{median_wall_clock, Bootstrap, BootstrapStep, GatewayEvidence, PeerStatus};
pub use membership_change::{MembershipChange, MembershipStep};
pub use voter::{Installation, Voter, VoterError};
pub use voter_disk::{OpenFolder, VoterDisk};
