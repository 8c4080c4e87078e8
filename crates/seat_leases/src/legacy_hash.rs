//! Rendezvous-hashing weights of daemons that predate agreed ownership tables. They must not change while such daemons may
//! be part of a cluster.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// Hash of a function's name.
pub(crate) fn function_hash(function: &str) -> u64 {
    fnv1a(FNV_OFFSET, function.bytes().chain([0]))
}

/// Weight of a gateway for a function.
pub(crate) fn weight(function_hash: u64, gateway: &str) -> u64 {
    // Hashing and mixing both names gives each function an independent order of the gateways.
    mix(fnv1a(function_hash, gateway.bytes()))
}

/// FNV-1a over bytes, continuing from the hash of the preceding bytes.
fn fnv1a(seed: u64, bytes: impl Iterator<Item = u8>) -> u64 {
    bytes.fold(seed, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// The finalizer of MurmurHash3: every output bit depends on all input bits.
fn mix(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
