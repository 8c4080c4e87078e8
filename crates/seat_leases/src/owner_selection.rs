//! Which gateway owns a function: rendezvous hashing (highest random weight), so that all daemons with the same
//! membership select the same owner without a message, and a member that goes moves only its own functions.

use protocol::Member;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// Selects the owner of a function among the members that may own one; none where no member may.
pub fn select_owner<'a>(
    function: &str,
    members: &'a [Member],
    may_own: impl Fn(&Member) -> bool,
) -> Option<&'a Member> {
    // Both names are hashed and mixed, so that each function orders the members in its own way.
    let function_hash = fnv1a(FNV_OFFSET, function.bytes().chain([0]));
    let candidates = members.iter().filter(|member| may_own(member));
    candidates.max_by_key(|member| mix(fnv1a(function_hash, member.name.bytes())))
}

/// FNV-1a over bytes, from the hash of what came before them.
fn fnv1a(seed: u64, bytes: impl Iterator<Item = u8>) -> u64 {
    bytes.fold(seed, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// The finalizer of MurmurHash3, by which each bit of the hash depends on all.
fn mix(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
