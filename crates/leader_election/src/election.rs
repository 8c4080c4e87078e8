//! One candidate's view of one election. It performs no I/O; times are milliseconds of the caller's boot-time clock.

use configuration::PeerRef;
use speedy::{Readable, Writable};

/// The low bits of a term hold the register's version, the bits above them the epoch. At one write per second, 40 bits last
/// for more than thirty thousand years.
const EPOCH_SHIFT: u32 = 40;
/// Renewals within one lease; several, so that some writes may fail without losing it.
const RENEWALS_PER_LEASE: u64 = 5;

/// The value of the election's register.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct Leadership {
    /// The current leader.
    pub leader: PeerRef,
    /// Epoch and register version at which this leader won; a fencing token for everything that it does.
    pub term: u64,
}

/// The next action for the caller of an election.
#[derive(Clone, Debug, PartialEq)]
pub enum ElectionStep {
    /// Do nothing yet.
    Wait,
    /// Read the register and pass the result to [`LeaderElection::observe`].
    Read,
    /// Write this leadership with this expected version, and pass a committed write to [`LeaderElection::on_elected`].
    Write(u64, Leadership),
}

/// One candidate's view of one election. A leader leads from a committed write until four fifths of the lease that began
/// before that write have passed; others contend only after they have seen no new version for a whole lease.
#[derive(Debug)]
pub struct LeaderElection {
    local_peer: PeerRef,
    /// Duration of the lease.
    lease_ms: u64,
    /// Register version at which `leadership` was read.
    version: u64,
    leadership: Leadership,
    last_change_at: u64,
    leads_until: u64,
    next_step_at: u64,
    epoch: u64,
}

impl LeaderElection {
    /// Creates an election with no known leader. The lease is in milliseconds.
    pub fn new(local_peer: PeerRef, lease_ms: u64, now: u64) -> Self {
        Self {
            local_peer,
            lease_ms,
            version: 0,
            leadership: Leadership::default(),
            last_change_at: now,
            leads_until: 0,
            next_step_at: now,
            epoch: 0,
        }
    }

    /// Sets the voters' epoch; called before the register is read or written. Terms of a later epoch are higher, although
    /// register versions start again from zero in it.
    pub fn enter_epoch(&mut self, epoch: u64) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.version = 0;
            self.leadership = Leadership::default();
            self.leads_until = 0;
        }
    }

    /// The most recently seen leadership.
    pub fn leadership(&self) -> &Leadership {
        &self.leadership
    }

    /// The term under which this candidate leads now, or `None` if it does not lead.
    pub fn term(&self, now: u64) -> Option<u64> {
        let is_leader = self.leadership.leader == self.local_peer && now < self.leads_until;
        is_leader.then_some(self.leadership.term)
    }

    /// The action due now.
    pub fn next_step(&mut self, now: u64) -> ElectionStep {
        if now < self.next_step_at {
            return ElectionStep::Wait;
        }
        self.next_step_at = now + self.lease_ms / RENEWALS_PER_LEASE;
        if self.leadership.leader == self.local_peer {
            return ElectionStep::Write(self.version, self.leadership.clone());
        }
        if now < self.last_change_at + self.lease_ms || self.epoch == 0 {
            return ElectionStep::Read;
        }
        let won = Leadership {
            leader: self.local_peer.clone(),
            term: (self.epoch << EPOCH_SHIFT) | (self.version + 1),
        };
        ElectionStep::Write(self.version, won)
    }

    /// Records a value that was read from a majority.
    pub fn observe(&mut self, now: u64, version: u64, leadership: Leadership) {
        if version > self.version {
            self.version = version;
            self.leadership = leadership;
            self.last_change_at = now;
        }
    }

    /// Records a committed write of this candidate that was started at `began`.
    pub fn on_elected(&mut self, now: u64, began: u64, version: u64, leadership: Leadership) {
        self.observe(now, version, leadership);
        // The last fifth of the lease is a margin for clocks that run at different speeds.
        self.leads_until = began + self.lease_ms * 4 / 5;
    }

    /// Gives up the leadership. Another candidate can win it after the lease.
    pub fn step_down(&mut self, now: u64) {
        self.leads_until = 0;
        self.leadership.leader = PeerRef::default();
        self.last_change_at = now;
    }
}
