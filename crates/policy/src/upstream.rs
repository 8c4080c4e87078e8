//! Connections to runners.

use crate::options::policy_options;

policy_options! {
    /// Connections to runners.
    UpstreamPolicy, "upstream";
    /// Most idle connections that a gateway keeps to one runner.
    idle_per_runner: u64 = 8, 0 => 64;
}
