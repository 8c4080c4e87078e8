//! State of the scaler role: this controller's own lease, and what its voter may promise to others.

use crate::role_register::term_of;
use crate::snapshot::RegisterSnapshot;
use register::{Ballot, VoterSet};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of sent heartbeats that are remembered.
const MAX_SENT_HEARTBEATS: usize = 64;

/// Another controller's lease on the role, as last claimed in a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ObservedLease {
    /// Address of the holder.
    pub holder: String,
    /// The holder's incarnation.
    pub incarnation: u64,
    /// Number of the heartbeat that claimed the lease; 0 if it was restored at start.
    pub number: u64,
    /// The claimed term.
    pub term: u64,
    /// When the claim was received.
    pub received_at: u64,
}

/// This controller's own lease on the role, won in the register.
///
/// It is counted from the send times of heartbeats that a majority of voters acknowledged.
#[derive(Clone, Debug)]
struct RoleLease {
    version: u64,
    term: u64,
    won_at: u64,
    held_until: u64,
    is_announced: bool,
    /// Numbers and send times of heartbeats that claimed the role.
    sent: VecDeque<(u64, u64)>,
    /// Send time of the newest acknowledged heartbeat, by the voter's disk.
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
        let sent = self
            .sent
            .iter()
            .find(|(sent_number, _)| *sent_number == number);
        let Some((_, sent_at)) = sent else {
            return;
        };
        let newest = self.acknowledged.entry(disk).or_default();
        *newest = (*newest).max(*sent_at);
        let voters = set.voters.iter();
        let mut times: Vec<u64> = voters
            .filter_map(|voter| self.acknowledged.get(&voter.disk).copied())
            .collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        // One fifth of the lease is a margin for clock drift.
        if let Some(sent_at) = times.get(set.majority() - 1) {
            self.held_until = self.held_until.max(sent_at + lease_ms * 4 / 5);
        }
    }

    /// A newly won lease has half of its duration to be backed by a majority before it ends.
    fn is_over(&self, now: u64, lease_ms: u64) -> bool {
        let is_in_grace_period = !self.is_announced && now < self.won_at + lease_ms / 2;
        now >= self.held_until && !is_in_grace_period
    }
}

/// A lease that this controller has given up or lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EndedLease {
    /// Term of the lease.
    pub term: u64,
    /// Whether the daemon was told that it holds the role.
    pub was_announced: bool,
}

/// One controller's view of the scaler role.
///
/// A voter backs a lease only if it has accepted the holder's value and made no newer promise, other than to a campaign
/// of its own controller that has ended before it sent an accept request. It makes a promise only if no lease was
/// claimed for one lease duration. The disk preserves all of this except the time of the last claim, which is assumed to
/// be now after a restart.
#[derive(Clone, Debug, Default)]
pub(crate) struct ScalerRole {
    lease_ms: u64,
    observed: Option<ObservedLease>,
    own: Option<RoleLease>,
    /// The local voter makes no promise about the role before this time.
    promises_from: u64,
    /// This controller does not campaign before this time.
    next_campaign_allowed_at: u64,
    campaign_at: Option<u64>,
    is_resigned: bool,
    was_grantable: bool,
    /// Rounds on the role's register that the disk has not completed.
    pending_rounds: usize,
    /// Highest ballot under which this controller has sent an accept request for the role's register.
    highest_accept_request: Ballot,
}

impl ScalerRole {
    /// Restores the state after a start from the local voter's role register.
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

    /// Whether the local voter may promise the role to a controller now. A lease holder that campaigns again has
    /// dropped its lease or was restarted, so its own lease does not exclude it.
    pub fn may_promise(&self, now: u64, to: &str) -> bool {
        let is_leased = self
            .observed
            .as_ref()
            .is_some_and(|lease| lease.holder != to && now < lease.received_at + self.lease_ms);
        self.own.is_none() && now >= self.promises_from && !is_leased
    }

    /// Withholds promises about the role for one lease duration, because the local voter may have backed a lease that
    /// it no longer knows of.
    pub fn withhold_promises(&mut self, now: u64) {
        self.promises_from = self.promises_from.max(now + self.lease_ms);
    }

    /// Records a role claim from a heartbeat.
    pub fn observe_lease(&mut self, now: u64, lease: ObservedLease) {
        let is_older = self.observed.as_ref().is_some_and(|known| {
            known.term > lease.term && now < known.received_at + self.lease_ms
        });
        if !is_older {
            self.observed = Some(lease);
        }
    }

    /// Records a heartbeat without a role claim. If the sender held a lease, it has dropped it for good.
    pub fn observe_no_lease(&mut self, from: &str, incarnation: u64, number: u64) {
        let is_over = self.observed.as_ref().is_some_and(|lease| {
            lease.holder == from && lease.incarnation == incarnation && lease.number < number
        });
        if is_over {
            self.observed = None;
        }
    }

    /// Records that this controller sends an accept request for the role's register.
    pub fn record_accept_request(&mut self, ballot: Ballot) {
        self.highest_accept_request = self.highest_accept_request.max(ballot);
    }

    /// Whether this controller has sent no accept request for the role's register under this ballot or a higher one.
    pub fn is_above_accept_requests(&self, ballot: Ballot) -> bool {
        ballot > self.highest_accept_request
    }

    /// Records that a round on the role's register was submitted to the disk.
    pub fn start_round(&mut self) {
        self.pending_rounds += 1;
    }

    /// Records that the disk has completed a round on the role's register.
    pub fn end_round(&mut self) {
        self.pending_rounds = self.pending_rounds.saturating_sub(1);
    }

    /// Whether the disk has not completed all rounds on the role's register.
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

    /// The term this controller has won, whether or not a majority backs it yet.
    pub fn claimed_term(&self) -> Option<u64> {
        self.own.as_ref().map(|lease| lease.term)
    }

    /// The register's version at which this controller won the role.
    pub fn won_version(&self) -> Option<u64> {
        self.own.as_ref().map(|lease| lease.version)
    }

    /// Whether this controller's lease has expired.
    pub fn is_lease_over(&self, now: u64) -> bool {
        let lease = self.own.as_ref();
        lease.is_some_and(|lease| lease.is_over(now, self.lease_ms))
    }

    /// Records that this controller won the role in the register. Returns whether it takes the role, which it does
    /// not after it resigned.
    pub fn record_win(&mut self, now: u64, epoch: u64, version: u64) -> bool {
        if !self.is_resigned {
            self.own = Some(RoleLease::new(now, epoch, version));
        }
        !self.is_resigned
    }

    /// Ends this controller's lease, if any. The next campaign is delayed by a tenth of the lease duration.
    pub fn end_lease(&mut self, now: u64) -> Option<EndedLease> {
        let lease = self.own.take()?;
        self.delay_campaigns(now + self.lease_ms / 10);
        Some(EndedLease {
            term: lease.term,
            was_announced: lease.is_announced,
        })
    }

    /// Stops all further campaigns for the role.
    pub fn resign(&mut self) {
        self.is_resigned = true;
    }

    /// Records that a heartbeat claiming the role is being sent.
    pub fn record_sent(&mut self, now: u64, number: u64) {
        if let Some(lease) = self.own.as_mut() {
            lease.record_sent(now, number);
        }
    }

    /// Records that a voter backs the claim in a heartbeat. The lease is counted from when the heartbeat was sent,
    /// not from now. Returns the term to announce when a majority backs the lease for the first time.
    #[must_use]
    pub fn record_ack(&mut self, now: u64, set: &VoterSet, disk: u64, number: u64) -> Option<u64> {
        let lease_ms = self.lease_ms;
        let lease = self.own.as_mut()?;
        lease.record_ack(set, disk, number, lease_ms);
        let is_new = now < lease.held_until && !lease.is_announced;
        lease.is_announced |= is_new;
        is_new.then_some(lease.term)
    }

    /// Records whether the local voter would grant the role to this controller. Returns whether this has just become
    /// true.
    pub fn record_grantable(&mut self, is_grantable: bool) -> bool {
        let has_become_grantable = is_grantable && !self.was_grantable;
        self.was_grantable = is_grantable;
        has_become_grantable
    }

    /// Whether the delays between campaigns allow one now.
    pub fn may_campaign(&self, now: u64) -> bool {
        !self.is_resigned && now >= self.next_campaign_allowed_at
    }

    /// Delays campaigns until the given time.
    pub fn delay_campaigns(&mut self, until: u64) {
        self.next_campaign_allowed_at = self.next_campaign_allowed_at.max(until);
    }

    /// Gives another controller that won the role time to claim it.
    pub fn yield_to_winner(&mut self, now: u64) {
        self.delay_campaigns(now + self.lease_ms / 2);
    }

    /// Whether a campaign is due now. If none is planned, one is planned after the pause.
    pub fn poll_campaign(&mut self, now: u64, pause_ms: u64) -> bool {
        let at = *self.campaign_at.get_or_insert(now + pause_ms);
        let is_due = now >= at;
        if is_due {
            self.campaign_at = None;
        }
        is_due
    }

    /// Cancels the planned campaign.
    pub fn cancel_campaign(&mut self) {
        self.campaign_at = None;
    }

    /// Time of the planned campaign, if any.
    pub fn next_campaign_at(&self) -> Option<u64> {
        self.campaign_at
    }
}
