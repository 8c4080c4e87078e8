/// Number of ranges into which keys are split by their hash.
pub const RANGE_COUNT: usize = 256;

/// Version of a key's value. Replicas with the same version of a key have the same value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryVersion {
    /// Increases with each write of the key.
    pub counter: u64,
    /// Id of the writer, which distinguishes writes with the same counter.
    pub writer: u64,
}

/// One digest per range of keys: the XOR of the hashes of its (key, version) pairs, so that their order does not matter and
/// updating one key takes constant time.
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

/// FNV-1a followed by part of the finalizer of MurmurHash3, so that similar keys fall into different ranges. Replicas compare
/// its values over the wire, so it must not change.
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

/// The range of a key.
pub fn range_of(key: &str) -> u16 {
    (hash(&[key.as_bytes()]) % RANGE_COUNT as u64) as u16
}

fn entry_hash(key: &str, version: EntryVersion) -> u64 {
    let counter = version.counter.to_le_bytes();
    let writer = version.writer.to_le_bytes();
    hash(&[key.as_bytes(), &counter, &writer])
}

impl RangeDigests {
    /// Digests as received from another replica.
    pub fn from_ranges(ranges: &[u64]) -> Self {
        let mut digests = ranges.to_vec();
        digests.resize(RANGE_COUNT, 0);
        Self { ranges: digests }
    }

    /// Updates the digests for a change of one key. Without an old version it is created, without a new one removed.
    pub fn update(&mut self, key: &str, old: Option<EntryVersion>, new: Option<EntryVersion>) {
        let range = &mut self.ranges[usize::from(range_of(key))];
        for version in [old, new].into_iter().flatten() {
            *range ^= entry_hash(key, version);
        }
    }

    /// The digests, indexed by range.
    pub fn as_slice(&self) -> &[u64] {
        &self.ranges
    }

    /// Ranges in which another replica's digests differ.
    pub fn differing_ranges(&self, other: &[u64]) -> Vec<u16> {
        let pairs = self.ranges.iter().zip(other).enumerate();
        pairs
            .filter(|(_, (mine, theirs))| mine != theirs)
            .map(|(range, _)| range as u16)
            .collect()
    }
}
