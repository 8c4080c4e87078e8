//! Which gateways are suspected to be dead, and for how long.

use protocol::Member;
use std::collections::HashMap;

/// Milliseconds for which a gateway that was taken for dead owns nothing.
const SUSPECT_MS: u64 = 1_500;
/// Most doublings of that time, where it was silent again after each.
const DOUBLINGS_MAX: u32 = 2;
/// Milliseconds after a suspicion within which another one is a repetition.
const REPEATED_WITHIN_MS: u64 = 3_000;

/// The suspicion of one gateway.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    /// Incarnation that was silent; none where it is not known.
    incarnation: Option<u64>,
    until: u64,
    repetitions: u32,
}

/// Gateways that were taken for dead lately. Each request that tries a dead owner again loses the time after which its silence is
/// noticed, so that one that stays silent is tried less and less often.
#[derive(Debug, Default)]
pub(crate) struct PeerSuspicions {
    suspicions: HashMap<String, Suspicion>,
}

impl PeerSuspicions {
    /// A gateway was taken for dead.
    pub fn suspect(&mut self, name: &str, incarnation: Option<u64>, now: u64) {
        let known = self.suspicions.get(name);
        let repetitions = known.map_or(0, |known| {
            let is_repeated =
                known.incarnation == incarnation && now < known.until + REPEATED_WITHIN_MS;
            if is_repeated {
                (known.repetitions + 1).min(DOUBLINGS_MAX)
            } else {
                0
            }
        });
        let suspicion = Suspicion {
            incarnation,
            until: now + (SUSPECT_MS << repetitions),
            repetitions,
        };
        self.suspicions.insert(name.into(), suspicion);
    }

    /// A gateway was heard from.
    pub fn clear(&mut self, name: &str) {
        self.suspicions.remove(name);
    }

    /// Whether a gateway was taken for dead lately.
    pub fn is_suspect(&self, name: &str, now: u64) -> bool {
        let suspicion = self.suspicions.get(name);
        suspicion.is_some_and(|suspicion| now < suspicion.until)
    }

    /// A new membership names the gateways. One that is in another incarnation than the silent one is alive; of the same incarnation
    /// the controller may not have noticed the silence yet.
    pub fn members_changed(&mut self, members: &[Member]) {
        self.suspicions.retain(|name, suspicion| {
            let member = members.iter().find(|member| member.name == *name);
            member.is_some_and(|member| Some(member.incarnation) == suspicion.incarnation)
        });
    }
}
