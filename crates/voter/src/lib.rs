//! A voter with its disk, and an empty voter's way into the set. No threads and no clock: the core
//! daemon and the simulator run the same code.
#![warn(missing_docs)]

mod founding;
mod joining;
mod keeper;
mod voter_disk;

pub use founding::{median_wall_clock, Bootstrap, BootstrapStep, GatewayEvidence, PeerStatus};
pub use joining::{MembershipChange, MembershipStep};
pub use keeper::{Installation, Voter, VoterError};
pub use voter_disk::{OpenFolder, VoterDisk};
