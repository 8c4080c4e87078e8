/// Number of ranges that the keys are split into, by their hash.
pub const RANGE_COUNT: usize = 256;

/// Version of what is held under a key. Two replicas that hold the same version of a key hold the same value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryVersion {
    /// Grows with each write of the key.
    pub counter: u64,
    /// Id of the writer, which tells writes of the same counter apart.
    pub writer: u64,
}

/// A digest for each range of keys: the exclusive or of the hashes of its (key, version) pairs, so that their order is no
/// matter and a change of one key takes constant time.
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

/// FNV-1a followed by part of the finalizer of MurmurHash3, so that close keys do not share ranges. Replicas compare its values over the
/// wire, so that it must stay as it is.
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

fn entry_hash(key: &str, version: EntryVersion) -> u64 {
    let counter = version.counter.to_le_bytes();
    let writer = version.writer.to_le_bytes();
    hash(&[key.as_bytes(), &counter, &writer])
}

impl RangeDigests {
    /// RangeDigests as another replica sent them.
    pub fn from_ranges(ranges: &[u64]) -> Self {
        let mut own = ranges.to_vec();
        own.resize(RANGE_COUNT, 0);
        Self { ranges: own }
    }

    /// Follows the change of one key; the old or the new version may be missing.
    pub fn update(&mut self, key: &str, old: Option<EntryVersion>, new: Option<EntryVersion>) {
        let range = &mut self.ranges[usize::from(range_of(key))];
        for version in [old, new].into_iter().flatten() {
            *range ^= entry_hash(key, version);
        }
    }

    /// The digests, range by range.
    pub fn as_slice(&self) -> &[u64] {
        &self.ranges
    }

    /// Ranges in which another replica differs.
    pub fn differing_ranges(&self, other: &[u64]) -> Vec<u16> {
        let pairs = self.ranges.iter().zip(other).enumerate();
        pairs
            .filter(|(_, (mine, theirs))| mine != theirs)
            .map(|(range, _)| range as u16)
            .collect()
    }
}
