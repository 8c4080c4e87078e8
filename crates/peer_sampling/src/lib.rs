//! Peer sampling: each daemon keeps a small partial view of the other daemons and regularly exchanges a sample of it with
//! the oldest peer in the view (a shuffle). Every daemon learns of every other, and none keeps the complete membership.
#![warn(missing_docs)]

mod view;

pub use view::{PartialView, PeerDescriptor, MAX_VIEW_SIZE};
