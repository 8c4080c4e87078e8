//! A voter with its disk, and an empty voter's way into the set. No threads and no clock: the core
//! daemon and the simulator run the same code.
#![warn(missing_docs)]

mod founding;
mod joining;
mod keeper;
mod voter_disk;

pub use founding::{agreed_wall, FoundStep, Founding, FrontsHold, HeardCore};
pub use joining::{JoinStep, Joining};
pub use keeper::{Installing, Voter, VoterError};
pub use voter_disk::{OpenFolder, VoterDisk};
