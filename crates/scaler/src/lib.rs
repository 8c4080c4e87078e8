//! The scaler's decisions after HAS-GPU: forecast, quotas first, least-occupied used worker, fresh
//! worker, calm shrinking. A pure state machine that turns what is seen into the next plan.
#![warn(missing_docs)]

mod demand;
mod forecast;
mod keepers;
mod life;
mod orders;
mod placing;
mod room;
mod scaler;
mod sight;
mod steps;

pub use forecast::Forecast;
pub use keepers::tend_keepers;
pub use orders::{Order, OrderResult, Orders};
pub use scaler::{FunctionNote, Scaler};
pub use sight::{FrontSight, ListedRunner, ListedState, Sight, Worker};
pub use steps::{grow, shrink, Pod};
