//! Median and range of paired differences, and a significance test.

/// Largest p-value at which a difference counts as significant.
pub const SIGNIFICANCE_LEVEL: f64 = 0.1;
/// Largest number of pairs whose sign patterns are enumerated (2^16 patterns); any further pairs are left out of the test.
const MAX_ENUMERATED_PAIRS: usize = 16;
/// Sums that differ by less than this count as equal.
const ROUNDING_ERROR: f64 = 1e-9;

/// Statistics of a set of paired differences.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// Number of pairs.
    pub pairs: usize,
    /// Median difference.
    pub median: f64,
    /// Smallest difference.
    pub min: f64,
    /// Largest difference.
    pub max: f64,
    /// p-value of the sign-flip test: probability that random signs give a sum at least as far from zero.
    pub p_value: f64,
}

impl Summary {
    /// Summarizes differences; `None` if there are none.
    #[must_use]
    pub fn of(differences: &[f64]) -> Option<Self> {
        let mut sorted = differences.to_vec();
        sorted.sort_by(f64::total_cmp);
        let (min, max) = (*sorted.first()?, *sorted.last()?);
        Some(Self {
            pairs: sorted.len(),
            median: median_of_sorted(&sorted),
            min,
            max,
            p_value: sign_flip_p_value(differences),
        })
    }

    /// Whether the differences are statistically significant.
    #[must_use]
    pub fn is_significant(&self) -> bool {
        self.p_value <= SIGNIFICANCE_LEVEL
    }
}

fn median_of_sorted(sorted: &[f64]) -> f64 {
    let middle = sorted.len() / 2;
    if sorted.len() % 2 == 1 {
        return sorted[middle];
    }
    (sorted[middle - 1] + sorted[middle]) / 2.0
}

/// p-value of the exact sign-flip test: without an effect, each difference is equally likely to have either sign.
fn sign_flip_p_value(differences: &[f64]) -> f64 {
    let tested = &differences[..differences.len().min(MAX_ENUMERATED_PAIRS)];
    let observed = tested.iter().sum::<f64>().abs();
    if observed < ROUNDING_ERROR {
        return 1.0;
    }
    let sign_patterns = 1_u32 << tested.len();
    let is_as_extreme = |signs: &u32| signed_sum(tested, *signs).abs() + ROUNDING_ERROR >= observed;
    let as_extreme = (0..sign_patterns).filter(is_as_extreme).count();
    as_extreme as f64 / f64::from(sign_patterns)
}

/// Sum of the differences after flipping the sign of those whose bit is set in `signs`.
fn signed_sum(differences: &[f64], signs: u32) -> f64 {
    let flipped = differences.iter().enumerate().map(|(index, difference)| {
        if signs & (1 << index) == 0 {
            *difference
        } else {
            -difference
        }
    });
    flipped.sum()
}
