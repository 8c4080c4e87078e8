//! Which request gets which seat.

use crate::options::policy_options;

policy_options! {
    /// Which request gets which seat. Costs are in mean response times of the function.
    LeasingPolicy, "leasing";
    /// Cost of a runner in another zone of the same region.
    other_zone_cost: f64 = 0.5, 0.0 => 100.0;
    /// Cost of a runner in another region.
    other_region_cost: f64 = 2.0, 0.0 => 100.0;
    /// Cost of a runner whose quota is all leased, in its own mean response times.
    full_cost: f64 = 0.5, 0.0 => 100.0;
    /// Whether a runner that rejects requests gets fewer for a while.
    backs_off_after_rejections: bool = true, false => true;
    /// Milliseconds between two reports of a function to the scaler, where nothing is urgent.
    report_interval_ms: u64 = 200, 15 => 2_000;
    /// Part of the expected start, in percent, after which a runner is first probed.
    first_probe_percent: u64 = 60, 0 => 100;
}
