//! The scaler role: which one controller scales functions, as this controller's lease and its voter's vote decide it.

use crate::role_register::term_of;
use crate::snapshot::RegisterSnapshot;
use register::VoterSet;
use std::collections::{BTreeMap, VecDeque};

/// Most heartbeats whose sending is remembered.
const MAX_SENT_HEARTBEATS: usize = 64;

/// Another controller's lease on the role, as this controller's voter heard it claimed last.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ObservedLease {
    /// Address of the holder.
    pub holder: String,
    /// The holder's incarnation.
    pub incarnation: u64,
    /// Number of the heartbeat that claimed it; 0 for a lease that was restored at the start.
    pub number: u64,
    /// The term that was claimed.
    pub term: u64,
    /// When it was claimed.
    pub received_at: u64,
}

/// This controller's own lease on the role, won in the register.
///
/// It is counted from the sending of the heartbeats that a majority of voters acknowledged.
#[derive(Clone, Debug)]
struct RoleLease {
    version: u64,
    term: u64,
    won_at: u64,
    held_until: u64,
    is_announced: bool,
    /// Number and time of sending of heartbeats that claimed the role.
    sent: VecDeque<(u64, u64)>,
    /// When the newest acknowledged heartbeat was sent, by the voter's disk.
    acknowledged: BTreeMap<u64, u64>,
}

impl RoleLease {
    fn new(now: u64, epoch: u64, version: u64) -> Self {
        Self {
            version,
            term: term_of(epoch, version),
            won_at: now,
            held_until: 0,
            is_announced: false,
            sent: VecDeque::new(),
            acknowledged: BTreeMap::new(),
        }
    }

    fn record_sent(&mut self, now: u64, number: u64) {
        self.sent.push_back((number, now));
        if self.sent.len() > MAX_SENT_HEARTBEATS {
            self.sent.pop_front();
        }
    }

    fn record_ack(&mut self, set: &VoterSet, disk: u64, number: u64, lease_ms: u64) {
        let sent = self.sent.iter().find(|(one, _)| *one == number);
        let Some((_, sent_at)) = sent else {
            return;
        };
        let newest = self.acknowledged.entry(disk).or_default();
        *newest = (*newest).max(*sent_at);
        let voters = set.voters.iter();
        let mut times: Vec<u64> = voters
            .filter_map(|voter| self.acknowledged.get(&voter.disk).copied())
            .collect();
        times.sort_unstable_by(|one, other| other.cmp(one));
        // A fifth is left for clocks that run apart.
        if let Some(sent_at) = times.get(set.majority() - 1) {
            self.held_until = self.held_until.max(sent_at + lease_ms * 4 / 5);
        }
    }

    /// A lease that was just won is left half of its span to be backed by a majority.
    fn is_over(&self, now: u64, lease_ms: u64) -> bool {
        let is_young = !self.is_announced && now < self.won_at + lease_ms / 2;
        now >= self.held_until && !is_young
    }
}

/// A lease that this controller gave up or lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EndedLease {
    /// Its term.
    pub term: u64,
    /// Whether the daemon was notified that it holds the role.
    pub was_announced: bool,
}

/// One controller's part in who has the scaler role.
///
/// A voter backs a lease only where it accepted the holder's value and has promised nothing since, and promises
/// something only when it has heard no lease claimed for the span of a lease. Both last on the disk, but for when a
/// lease was heard: after a start that counts as just now.
#[derive(Clone, Debug, Default)]
pub(crate) struct ScalerRole {
    lease_ms: u64,
    observed: Option<ObservedLease>,
    own: Option<RoleLease>,
    /// This controller's voter promises nothing about the role before.
    promises_from: u64,
    /// This controller does not campaign before.
    campaigns_from: u64,
    campaign_at: Option<u64>,
    is_resigned: bool,
    was_free: bool,
    /// Rounds over the role's register that the disk has not ended yet.
    pending_rounds: usize,
}

impl ScalerRole {
    /// After a start, from what the own voter holds in the role's register.
    pub fn restored(
        now: u64,
        lease_ms: u64,
        epoch: u64,
        accepted: Option<&RegisterSnapshot>,
    ) -> Self {
        let accepted = accepted.filter(|accepted| accepted.version > 0);
        let observed = accepted.map(|accepted| {
            let holder = accepted.role_holder();
            ObservedLease {
                holder: holder.address,
                incarnation: holder.incarnation,
                number: 0,
                term: term_of(epoch, accepted.version),
                received_at: now,
            }
        });
        Self {
            lease_ms,
            observed,
            ..Self::default()
        }
    }

    /// Whether this controller's voter may promise the role to a controller now. A holder that campaigns anew has
    /// dropped its lease, or was started anew.
    pub fn may_promise(&self, now: u64, to: &str) -> bool {
        let is_leased = self
            .observed
            .as_ref()
            .is_some_and(|lease| lease.holder != to && now < lease.received_at + self.lease_ms);
        self.own.is_none() && now >= self.promises_from && !is_leased
    }

    /// This controller's voter promises nothing about the role until a lease from now is over, since it may have
    /// backed one that it does not know any more.
    pub fn withhold_promises(&mut self, now: u64) {
        self.promises_from = self.promises_from.max(now + self.lease_ms);
    }

    /// A controller claimed in a heartbeat that it holds the role.
    pub fn observe_lease(&mut self, now: u64, lease: ObservedLease) {
        let is_older = self.observed.as_ref().is_some_and(|known| {
            known.term > lease.term && now < known.received_at + self.lease_ms
        });
        if !is_older {
            self.observed = Some(lease);
        }
    }

    /// A controller said in a heartbeat that it does not hold the role: it has dropped its lease for good, if it ever
    /// had one.
    pub fn observe_no_lease(&mut self, from: &str, incarnation: u64, number: u64) {
        let is_over = self.observed.as_ref().is_some_and(|lease| {
            lease.holder == from && lease.incarnation == incarnation && lease.number < number
        });
        if is_over {
            self.observed = None;
        }
    }

    /// The disk is given a round over the role's register.
    pub fn start_round(&mut self) {
        self.pending_rounds += 1;
    }

    /// The disk has ended a round over the role's register.
    pub fn end_round(&mut self) {
        self.pending_rounds = self.pending_rounds.saturating_sub(1);
    }

    /// Whether the disk has not ended a round over the role's register.
    pub fn has_pending_rounds(&self) -> bool {
        self.pending_rounds > 0
    }

    /// The term under which this controller holds the role now.
    pub fn held_term(&self, now: u64) -> Option<u64> {
        let lease = self.own.as_ref();
        lease
            .filter(|lease| now < lease.held_until)
            .map(|lease| lease.term)
    }

    /// The term that this controller has won, whether a majority backs it yet or not.
    pub fn claimed_term(&self) -> Option<u64> {
        self.own.as_ref().map(|lease| lease.term)
    }

    /// The register's version at which this controller won the role.
    pub fn won_version(&self) -> Option<u64> {
        self.own.as_ref().map(|lease| lease.version)
    }

    /// Whether this controller's lease has run out.
    pub fn is_lease_over(&self, now: u64) -> bool {
        let lease = self.own.as_ref();
        lease.is_some_and(|lease| lease.is_over(now, self.lease_ms))
    }

    /// This controller won the role in the register, unless it has resigned. Returns whether it takes it.
    pub fn win(&mut self, now: u64, epoch: u64, version: u64) -> bool {
        if !self.is_resigned {
            self.own = Some(RoleLease::new(now, epoch, version));
        }
        !self.is_resigned
    }

    /// Ends this controller's lease, if it has one. Another campaign waits for a tenth of a lease.
    pub fn end_lease(&mut self, now: u64) -> Option<EndedLease> {
        let lease = self.own.take()?;
        self.delay_campaigns(now + self.lease_ms / 10);
        Some(EndedLease {
            term: lease.term,
            was_announced: lease.is_announced,
        })
    }

    /// This controller campaigns for the role no more.
    pub fn resign(&mut self) {
        self.is_resigned = true;
    }

    /// A heartbeat that claims the role leaves now.
    pub fn record_sent(&mut self, now: u64, number: u64) {
        if let Some(lease) = self.own.as_mut() {
            lease.record_sent(now, number);
        }
    }

    /// A voter backs the claim that a heartbeat made. The lease is counted from the heartbeat's sending, not from now.
    /// Returns the lease's term where a majority backs it for the first time, so that it is to be announced.
    #[must_use]
    pub fn record_ack(&mut self, now: u64, set: &VoterSet, disk: u64, number: u64) -> Option<u64> {
        let lease_ms = self.lease_ms;
        let lease = self.own.as_mut()?;
        lease.record_ack(set, disk, number, lease_ms);
        let is_new = now < lease.held_until && !lease.is_announced;
        lease.is_announced |= is_new;
        is_new.then_some(lease.term)
    }

    /// Notes whether the own voter would let this controller have the role. Returns whether that has just begun.
    pub fn record_free(&mut self, is_free: bool) -> bool {
        let has_begun = is_free && !self.was_free;
        self.was_free = is_free;
        has_begun
    }

    /// Whether this controller may campaign now, as far as its own pauses go.
    pub fn may_campaign(&self, now: u64) -> bool {
        !self.is_resigned && now >= self.campaigns_from
    }

    /// No campaign begins before.
    pub fn delay_campaigns(&mut self, until: u64) {
        self.campaigns_from = self.campaigns_from.max(until);
    }

    /// Another controller won the role. It is left time to claim it.
    pub fn yield_to_winner(&mut self, now: u64) {
        self.delay_campaigns(now + self.lease_ms / 2);
    }

    /// Whether a campaign begins now. Where none was planned, one is after the pause.
    pub fn poll_campaign(&mut self, now: u64, pause_ms: u64) -> bool {
        let at = *self.campaign_at.get_or_insert(now + pause_ms);
        let is_due = now >= at;
        if is_due {
            self.campaign_at = None;
        }
        is_due
    }

    /// Gives up a planned campaign.
    pub fn cancel_campaign(&mut self) {
        self.campaign_at = None;
    }

    /// When a planned campaign begins.
    pub fn next_campaign_at(&self) -> Option<u64> {
        self.campaign_at
    }
}
