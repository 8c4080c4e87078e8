//! How many runners functions have, and where each starts.

use crate::options::policy_options;

policy_options! {
    /// How many runners functions have, and where each starts. Ratios that docs/source.md marks as ours are not in the
    /// design's paper.
    ScalingPolicy, "scaling";
    /// Share of the capacity above which a demand asks for more (the design's alpha).
    alpha: f64 = 0.8, 0.1 => 1.0;
    /// Share of the capacity below which quotas fall after the cooldown (the design's beta).
    beta: f64 = 0.5, 0.0 => 1.0;
    /// Multiples of a function's start time below beta after which quotas fall (ours).
    cooldown_starts: f64 = 4.0, 0.0 => 1_000.0;
    /// Multiples of a function's start time without requests after which its last runner ends, where retention does not adapt.
    retention_starts: f64 = 3.0, 0.0 => 1_000.0;
    /// Whether the last runner of a function is retained by how often the function is called (ours).
    adapts_retention: bool = true, false => true;
    /// Multiples of a function's start time for which an idle runner costs as much as another start.
    break_even_starts: f64 = 3.5, 0.0 => 1_000.0;
    /// The same multiples for which a function is retained that is called less than once in the break-even time.
    rare_retention_starts: f64 = 0.2, 0.0 => 1_000.0;
    /// The same multiples for which a function is retained that is called more often.
    frequent_retention_starts: f64 = 7.0, 0.0 => 1_000.0;
    /// Share of a runner's seats that the calls of one region must fill so that the region gets a runner of its own; 0 for never.
    region_share: f64 = 0.15, 0.0 => 100.0;
    /// Part of that share below which the region loses it again.
    region_kept_part: f64 = 0.6, 0.0 => 1.0;
    /// Whether the Kalman filter's forecast is part of the demand.
    forecasts: bool = true, false => true;
    /// Whether a burst that the filter has not followed yet is part of the demand.
    follows_bursts: bool = true, false => true;
    /// Whether quotas are raised before runners are started.
    raises_quotas_first: bool = true, false => true;
    /// Whether idle runners of other functions end where a start finds no room.
    evicts: bool = true, false => true;
    /// Whether a runner is placed in the callers' zone where the function has none there (ours). It goes before the design's
    /// least-occupied worker and keeps calls inside a zone.
    prefers_callers_zone: bool = true, false => true;
}
