/// Number of ranges that the keys are split into, by their hash.
pub const RANGE_COUNT: usize = 256;

/// A digest for each range: all (key, stamp) pairs of the range, mixed so that order is no matter.
#[derive(Clone, Debug, PartialEq)]
pub struct RangeDigests {
    ranges: Vec<u64>,
}

impl Default for RangeDigests {
    fn default() -> Self {
        Self {
            ranges: vec![0; RANGE_COUNT],
        }
    }
}

// FNV-1a with a last stir, so that close keys do not share ranges.
fn hash(parts: &[&[u8]]) -> u64 {
    let mut state = 0xcbf2_9ce4_8422_2325_u64;
    for byte in parts.iter().flat_map(|part| part.iter()) {
        state ^= u64::from(*byte);
        state = state.wrapping_mul(0x0000_0100_0000_01b3);
    }
    state ^= state >> 33;
    state = state.wrapping_mul(0xff51_afd7_ed55_8ccd);
    state ^ (state >> 33)
}

/// The range that a key falls into.
pub fn range_of(key: &str) -> u16 {
    (hash(&[key.as_bytes()]) % RANGE_COUNT as u64) as u16
}

fn mark(key: &str, stamp: (u64, u64)) -> u64 {
    let (first, second) = (stamp.0.to_le_bytes(), stamp.1.to_le_bytes());
    hash(&[key.as_bytes(), &first, &second])
}

impl RangeDigests {
    /// RangeDigests as another copy told them.
    pub fn from_ranges(ranges: &[u64]) -> Self {
        let mut own = ranges.to_vec();
        own.resize(RANGE_COUNT, 0);
        Self { ranges: own }
    }

    /// A key's stamp changed; either may be missing.
    pub fn update(&mut self, key: &str, old: Option<(u64, u64)>, new: Option<(u64, u64)>) {
        let range = &mut self.ranges[usize::from(range_of(key))];
        for stamp in [old, new].into_iter().flatten() {
            *range ^= mark(key, stamp);
        }
    }

    /// The digests, range by range.
    pub fn as_slice(&self) -> &[u64] {
        &self.ranges
    }

    /// Ranges in which another copy differs.
    pub fn differing(&self, other: &[u64]) -> Vec<u16> {
        let pairs = self.ranges.iter().zip(other).enumerate();
        pairs
            .filter(|(_, (mine, theirs))| mine != theirs)
            .map(|(range, _)| range as u16)
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use fuzzing::seeded;
    use std::collections::BTreeMap;

    seeded! {
        fn digests_follow_any_course_of_changes(changes: Vec<(u8, Option<u64>)>) -> bool {
            let mut digests = RangeDigests::default();
            let mut copy: BTreeMap<String, u64> = BTreeMap::new();
            for (key, stamp) in changes {
                let key = format!("key-{key}");
                let old = match stamp {
                    Some(stamp) => copy.insert(key.clone(), stamp),
                    None => copy.remove(&key),
                };
                let pair = |stamp: u64| (stamp, 1);
                digests.update(&key, old.map(pair), stamp.map(pair));
            }
            let mut fresh = RangeDigests::default();
            for (key, stamp) in &copy {
                fresh.update(key, None, Some((*stamp, 1)));
            }
            fresh == digests
        }

        fn a_newer_key_shows_in_its_range_alone(keys: Vec<u16>, changed: u16) -> bool {
            let mut one = RangeDigests::default();
            for key in &keys {
                one.update(&key.to_string(), None, Some((1, 1)));
            }
            let mut other = one.clone();
            let name = format!("other-{changed}");
            other.update(&name, None, Some((2, 1)));
            one.differing(other.as_slice()) == vec![range_of(&name)]
        }
    }
}
