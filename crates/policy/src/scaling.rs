//! Options for the number of runners and their placement.

use crate::options::policy_options;

policy_options! {
    /// Options for the number of runners and their placement. Options marked "not in the paper" are additions to the paper that
    /// the design follows; see docs/source.md.
    ScalingPolicy, "scaling";
    /// Utilisation above which the demand requires more capacity (alpha in the paper).
    alpha: f64 = 0.8, 0.1 => 1.0;
    /// Utilisation below which quotas are lowered after the cooldown (beta in the paper).
    beta: f64 = 0.5, 0.0 => 1.0;
    /// Cooldown: time below beta after which quotas are lowered, as a multiple of the function's start time (not in the paper).
    cooldown_starts: f64 = 4.0, 0.0 => 1_000.0;
    /// Time without requests after which a function's last runner is stopped, as a multiple of the function's start time. Used if
    /// adaptive retention is disabled, or while the call rate is unknown.
    retention_starts: f64 = 3.0, 0.0 => 1_000.0;
    /// Whether the retention of a function's last runner depends on its call rate (not in the paper).
    adapts_retention: bool = true, false => true;
    /// Break-even time: idle time for which a runner costs as much as a new start, as a multiple of the function's start time.
    break_even_starts: f64 = 3.5, 0.0 => 1_000.0;
    /// Retention of functions that are called less than once per break-even time, as a multiple of the start time.
    rare_retention_starts: f64 = 0.2, 0.0 => 1_000.0;
    /// Retention of functions that are called more often, as a multiple of the start time.
    frequent_retention_starts: f64 = 7.0, 0.0 => 1_000.0;
    /// Share of a runner's seats that the calls of a region must fill for the region to get its own runner; 0 disables regional
    /// runners.
    region_share: f64 = 0.15, 0.0 => 100.0;
    /// Fraction of `region_share` below which a region loses its own runner again (hysteresis).
    region_kept_part: f64 = 0.6, 0.0 => 1.0;
    /// Whether the demand includes the Kalman filter's forecast.
    forecasts: bool = true, false => true;
    /// Whether the demand includes bursts that the filter has not caught up with yet.
    follows_bursts: bool = true, false => true;
    /// Whether quotas of existing runners are raised before new runners are started.
    raises_quotas_first: bool = true, false => true;
    /// Whether idle runners of other functions are evicted if no worker has capacity for a new runner.
    evicts: bool = true, false => true;
    /// Whether a new runner is preferably placed in a zone with callers but no runner of the function, to keep calls within the
    /// zone (not in the paper). This takes precedence over the paper's choice of the least occupied worker.
    prefers_callers_zone: bool = true, false => true;
}
