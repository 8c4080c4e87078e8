use crate::consensus::SCALER_ROLE_KEY;
use crate::disk::{key_of, RegisterSnapshot};
use register::{VoterOperation, VoterSet};
use speedy::{Readable, Writable};
use std::collections::{BTreeMap, VecDeque};

const ERA_SHIFT: u32 = 40;
const SENT_MAX: usize = 64;

/// What the duty's register holds.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct RoleHolder {
    /// Address of the holder.
    pub address: String,
    /// Name of the holder.
    pub name: String,
    /// Random id of the holder's incarnation.
    pub incarnation: u64,
}

/// Whether a question promises or accepts something about the duty.
pub(crate) fn is_role_round(ask: &VoterOperation) -> bool {
    key_of(ask) == SCALER_ROLE_KEY && !matches!(ask, VoterOperation::Query { .. })
}

/// Number that fences a holder: the version at which it won, under the voters' era.
pub(crate) fn term_of(era: u64, version: u64) -> u64 {
    (era << ERA_SHIFT) | version
}

/// What this controller's voter grants the holder that it heard last.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Grant {
    pub holder: String,
    pub incarnation: u64,
    pub number: u64,
    pub term: u64,
    pub received: u64,
}

/// This controller's own claim to the duty, won in the register.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub version: u64,
    pub term: u64,
    pub won_at: u64,
    pub held_until: u64,
    pub is_announced: bool,
    sent: VecDeque<(u64, u64)>,
    acks: BTreeMap<u64, u64>,
}

impl Claim {
    pub fn new(now: u64, era: u64, version: u64) -> Self {
        Self {
            version,
            term: term_of(era, version),
            won_at: now,
            held_until: 0,
            is_announced: false,
            sent: VecDeque::new(),
            acks: BTreeMap::new(),
        }
    }

    /// A heartbeat that claims the duty leaves now.
    pub fn sending(&mut self, now: u64, number: u64) {
        self.sent.push_back((number, now));
        if self.sent.len() > SENT_MAX {
            self.sent.pop_front();
        }
    }

    /// A member's voter backs the claim of a heartbeat.
    pub fn on_ack(&mut self, set: &VoterSet, disk: u64, number: u64, lease: u64) {
        let sent = self.sent.iter().find(|(one, _)| *one == number);
        let Some((_, sent_at)) = sent else {
            return;
        };
        let newest = self.acks.entry(disk).or_default();
        *newest = (*newest).max(*sent_at);
        let members = set.voters.iter();
        let mut times: Vec<u64> = members
            .filter_map(|voter| self.acks.get(&voter.disk).copied())
            .collect();
        times.sort_unstable_by(|one, other| other.cmp(one));
        // A fifth is left for clocks that run apart.
        if let Some(sent_at) = times.get(set.majority() - 1) {
            self.held_until = self.held_until.max(sent_at + lease * 4 / 5);
        }
    }
}

/// One controller's part in who has the duty.
///
/// A member backs a claim only where its voter accepted the claim's value and has promised nothing
/// since, and lets its voter promise something only when it has heard no claim for a lease. Both last
/// on the disk, but for when a claim was heard: after a start that counts as just now.
#[derive(Clone, Debug, Default)]
pub(crate) struct Duty {
    pub grant: Option<Grant>,
    pub claim: Option<Claim>,
    /// This controller's voter promises nothing about the duty before.
    pub closed_until: u64,
    /// This controller does not contend before.
    pub quiet_until: u64,
    pub contend_at: Option<u64>,
    pub is_resigned: bool,
    pub was_free: bool,
}

impl Duty {
    /// As it is after a start, from what the voter holds.
    pub fn restored(now: u64, era: u64, held: Option<&RegisterSnapshot>) -> Self {
        let Some(held) = held.filter(|held| held.version > 0) else {
            return Self::default();
        };
        let bytes = held.bytes.as_ref().map_or(&[][..], |bytes| bytes);
        let term_holder = RoleHolder::read_from_buffer(bytes).unwrap_or_default();
        let grant = Grant {
            holder: term_holder.address,
            incarnation: term_holder.incarnation,
            number: 0,
            term: term_of(era, held.version),
            received: now,
        };
        Self {
            grant: Some(grant),
            ..Self::default()
        }
    }

    /// Whether this controller's voter may promise the duty to a controller now. A holder that contends anew has
    /// dropped its claim, or was started anew.
    pub fn may_promise(&self, now: u64, to: &str, lease: u64) -> bool {
        let is_granted = self
            .grant
            .as_ref()
            .is_some_and(|grant| grant.holder != to && now < grant.received + lease);
        self.claim.is_none() && now >= self.closed_until && !is_granted
    }

    /// A holder said that it holds.
    pub fn on_claim(&mut self, now: u64, grant: Grant, lease: u64) {
        let is_older = self
            .grant
            .as_ref()
            .is_some_and(|known| known.term > grant.term && now < known.received + lease);
        if !is_older {
            self.grant = Some(grant);
        }
    }

    /// A controller said that it does not hold: it has dropped its claim for good, if it ever had one.
    pub fn on_no_claim(&mut self, from: &str, incarnation: u64, number: u64) {
        let is_over = self.grant.as_ref().is_some_and(|grant| {
            grant.holder == from && grant.incarnation == incarnation && grant.number < number
        });
        if is_over {
            self.grant = None;
        }
    }
}
