//! Options for connections to runners.

use crate::options::policy_options;

policy_options! {
    /// Options for connections to runners.
    UpstreamPolicy, "upstream";
    /// Maximum number of idle connections that a gateway keeps open to one runner.
    idle_per_runner: u64 = 8, 0 => 64;
}
