use protocol::Member;

fn digest(from: u64, bytes: impl Iterator<Item = u8>) -> u64 {
    // FNV-1a.
    bytes.fold(from, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    })
}

fn mixed(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// The member that owns a function: of those that pass, the one that weighs most for it. All daemons with the same
/// roster elect the same one, and where a member goes only its own functions move.
pub fn select_owner<'a>(
    function: &str,
    members: &'a [Member],
    passes: impl Fn(&Member) -> bool,
) -> Option<&'a Member> {
    // Both names are digested and mixed, so that each function orders the members in its own way.
    let begun = digest(0xcbf2_9ce4_8422_2325, function.bytes().chain([0]));
    let able = members.iter().filter(|member| passes(member));
    able.max_by_key(|member| mixed(digest(begun, member.name.bytes())))
}
