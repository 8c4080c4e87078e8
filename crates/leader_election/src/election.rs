//! One candidate's view of one election. A pure machine: times are milliseconds of the caller's boot-time clock.

use configuration::PeerRef;
use speedy::{Readable, Writable};

/// Bits of a term that count versions of the register; the epoch stands above them. At a write each second they last for
/// longer than thirty thousand years.
const EPOCH_SHIFT: u32 = 40;
/// A leader renews its lease this many times within one lease, so that some writes may fail.
const RENEWALS_PER_LEASE: u64 = 5;

/// What the election's register holds.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct Leadership {
    /// Who leads.
    pub leader: PeerRef,
    /// Epoch and version of the register at which this leader won; a fencing token for all that it does.
    pub term: u64,
}

/// What the driver of an election does next.
#[derive(Clone, Debug, PartialEq)]
pub enum ElectionStep {
    /// Nothing yet.
    Wait,
    /// Read the register, and tell the result with [`LeaderElection::observe`].
    Read,
    /// Write this leadership with this expected version, and tell a committed write with [`LeaderElection::on_elected`].
    Write(u64, Leadership),
}

/// One candidate's view of one election. A leader leads from a committed write until the lease that began before that write is
/// over; others contend only after they saw nothing new for the whole lease.
#[derive(Debug)]
pub struct LeaderElection {
    me: PeerRef,
    /// Length of the lease in milliseconds.
    lease: u64,
    /// Version of the register at which `leadership` was seen.
    version: u64,
    leadership: Leadership,
    changed_at: u64,
    leads_until: u64,
    next_step_at: u64,
    epoch: u64,
}

impl LeaderElection {
    /// An election that nothing is known of yet, with a lease in milliseconds.
    pub fn new(me: PeerRef, lease: u64, now: u64) -> Self {
        Self {
            me,
            lease,
            version: 0,
            leadership: Leadership::default(),
            changed_at: now,
            leads_until: 0,
            next_step_at: now,
            epoch: 0,
        }
    }

    /// Tells the voters' epoch, as the register is read or written. Terms of a later epoch are higher, though its registers
    /// count anew.
    pub fn enter_epoch(&mut self, epoch: u64) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.version = 0;
            self.leadership = Leadership::default();
            self.leads_until = 0;
        }
    }

    /// The leadership that was seen last.
    pub fn leadership(&self) -> &Leadership {
        &self.leadership
    }

    /// The term under which this candidate leads now, if it does.
    pub fn term(&self, now: u64) -> Option<u64> {
        let is_leader = self.leadership.leader == self.me && now < self.leads_until;
        is_leader.then_some(self.leadership.term)
    }

    /// What to do now.
    pub fn next_step(&mut self, now: u64) -> ElectionStep {
        if now < self.next_step_at {
            return ElectionStep::Wait;
        }
        self.next_step_at = now + self.lease / RENEWALS_PER_LEASE;
        if self.leadership.leader == self.me {
            return ElectionStep::Write(self.version, self.leadership.clone());
        }
        if now < self.changed_at + self.lease || self.epoch == 0 {
            return ElectionStep::Read;
        }
        let won = Leadership {
            leader: self.me.clone(),
            term: (self.epoch << EPOCH_SHIFT) | (self.version + 1),
        };
        ElectionStep::Write(self.version, won)
    }

    /// Takes what was read at a majority.
    pub fn observe(&mut self, now: u64, version: u64, leadership: Leadership) {
        if version > self.version {
            self.version = version;
            self.leadership = leadership;
            self.changed_at = now;
        }
    }

    /// Takes a write that was begun at `began` and is committed.
    pub fn on_elected(&mut self, now: u64, began: u64, version: u64, leadership: Leadership) {
        self.observe(now, version, leadership);
        // A fifth of the lease is left for clocks that run at different speeds.
        self.leads_until = began + self.lease * 4 / 5;
    }

    /// Gives the leadership up; another candidate wins it after the lease.
    pub fn step_down(&mut self, now: u64) {
        self.leads_until = 0;
        self.leadership.leader = PeerRef::default();
        self.changed_at = now;
    }
}
