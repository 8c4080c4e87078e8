//! The median and spread of paired differences, and whether chance alone explains them.

/// Chance of a false alarm below which a difference counts as beyond the noise.
pub const SIGNIFICANCE: f64 = 0.1;
/// Most pairs whose signs are enumerated; of more the first ones are judged.
const ENUMERATED_MAX: usize = 16;
/// Differences below this are rounding.
const ROUNDING: f64 = 1e-9;

/// What a set of paired differences shows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// Their number.
    pub pairs: usize,
    /// The middle one.
    pub median: f64,
    /// The least.
    pub least: f64,
    /// The greatest.
    pub greatest: f64,
    /// Chance that random signs give a sum as far from zero as theirs.
    pub chance: f64,
}

impl Summary {
    /// Summarizes differences; none where there are none.
    #[must_use]
    pub fn of(differences: &[f64]) -> Option<Self> {
        let mut sorted = differences.to_vec();
        sorted.sort_by(f64::total_cmp);
        let (least, greatest) = (*sorted.first()?, *sorted.last()?);
        Some(Self {
            pairs: sorted.len(),
            median: median_of_sorted(&sorted),
            least,
            greatest,
            chance: chance_of_signs(differences),
        })
    }

    /// Whether the difference lies beyond the noise.
    #[must_use]
    pub fn is_beyond_noise(&self) -> bool {
        self.chance <= SIGNIFICANCE
    }
}

fn median_of_sorted(sorted: &[f64]) -> f64 {
    let middle = sorted.len() / 2;
    if sorted.len() % 2 == 1 {
        return sorted[middle];
    }
    (sorted[middle - 1] + sorted[middle]) / 2.0
}

/// The exact sign-flip test: had the change no effect, each difference would as likely have had the other sign.
fn chance_of_signs(differences: &[f64]) -> f64 {
    let judged = &differences[..differences.len().min(ENUMERATED_MAX)];
    let observed = judged.iter().sum::<f64>().abs();
    if observed < ROUNDING {
        return 1.0;
    }
    let flips = 1_u32 << judged.len();
    let is_as_far = |signs: &u32| signed_sum(judged, *signs).abs() + ROUNDING >= observed;
    let as_far = (0..flips).filter(is_as_far).count();
    as_far as f64 / f64::from(flips)
}

/// The sum in which the differences of the set bits are flipped.
fn signed_sum(differences: &[f64], signs: u32) -> f64 {
    let flipped = differences.iter().enumerate().map(|(place, difference)| {
        if signs & (1 << place) == 0 {
            *difference
        } else {
            -difference
        }
    });
    flipped.sum()
}
