use dispatch::Member;

fn weigh(function: &str, member: &str) -> u64 {
    // FNV-1a over both names, then mixed, so that each function orders the members in its own way.
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in function.bytes().chain([0]).chain(member.bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    }
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// The member that keeps a function: of those that pass, the one that weighs most for it. All daemons with the same
/// roster elect the same one, and where a member goes only its own functions move.
pub fn elect<'a>(
    function: &str,
    members: &'a [Member],
    passes: impl Fn(&Member) -> bool,
) -> Option<&'a Member> {
    let able = members.iter().filter(|member| passes(member));
    able.max_by_key(|member| weigh(function, &member.name))
}
