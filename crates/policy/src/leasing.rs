//! Options for leasing seats to requests.

use crate::options::policy_options;

policy_options! {
    /// Options for leasing seats to requests. Costs are multiples of the function's mean response time, unless stated otherwise.
    LeasingPolicy, "leasing";
    /// Cost of using a runner in another zone of the same region.
    other_zone_cost: f64 = 0.5, 0.0 => 100.0;
    /// Cost of using a runner in another region.
    other_region_cost: f64 = 2.0, 0.0 => 100.0;
    /// Cost of using a runner whose quota is fully leased, as a multiple of the runner's own mean response time. It is
    /// proportional to the runner's utilisation.
    full_cost: f64 = 0.5, 0.0 => 100.0;
    /// Whether a runner that rejects requests temporarily gets fewer requests.
    backs_off_after_rejections: bool = true, false => true;
    /// Interval in milliseconds between non-urgent reports about a function to the scaler.
    report_interval_ms: u64 = 200, 15 => 2_000;
    /// Percentage of the expected start time after which a runner is first probed.
    first_probe_percent: u64 = 60, 0 => 100;
}
