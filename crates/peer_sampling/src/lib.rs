//! Who is about: each daemon keeps a small view of others and shuffles parts of it with its oldest
//! neighbour, so that all hear of all without anyone keeping a whole list.
#![warn(missing_docs)]

mod view;

pub use view::{PartialView, PeerDescriptor, MAX_VIEW_SIZE};
