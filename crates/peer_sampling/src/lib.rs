//! Peer sampling: each daemon keeps a small partial view of the others and exchanges a sample of it with its oldest
//! peer (a shuffle), so that every daemon learns of every other without anyone keeping a complete membership.
#![warn(missing_docs)]

mod view;

pub use view::{PartialView, PeerDescriptor, MAX_VIEW_SIZE};
