use configuration::PeerRef;
use speedy::{Readable, Writable};

/// What a duty's register holds.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct Leadership {
    /// Who holds the election.
    pub leader: PeerRef,
    /// Version of the register at which this holder won it; it fences all that the holder does.
    pub term: u64,
}

const EPOCH_SHIFT: u32 = 40;

/// What to do about a duty now.
#[derive(Clone, Debug, PartialEq)]
pub enum ElectionStep {
    /// Nothing yet.
    Wait,
    /// Read the register.
    Read,
    /// Write this leadership with this expected version.
    Write(u64, Leadership),
}

/// One daemon's view of one election. It is held from a settled write until the lease that began
/// before that write is over; others contend only after seeing nothing new for the whole lease.
#[derive(Debug)]
pub struct LeaderElection {
    me: PeerRef,
    lease: u64,
    version: u64,
    leadership: Leadership,
    changed_at: u64,
    held_until: u64,
    next_at: u64,
    epoch: u64,
}

impl LeaderElection {
    /// A duty that nothing is known of yet.
    pub fn new(me: PeerRef, lease: u64, now: u64) -> Self {
        Self {
            me,
            lease,
            version: 0,
            leadership: Leadership::default(),
            changed_at: now,
            held_until: 0,
            next_at: now,
            epoch: 0,
        }
    }

    /// The voters' epoch, as the register is read or written. Terms of a later epoch are higher, though
    /// its registers count anew.
    pub fn enter_epoch(&mut self, epoch: u64) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.version = 0;
            self.leadership = Leadership::default();
            self.held_until = 0;
        }
    }

    /// The leadership that was seen last.
    pub fn leadership(&self) -> &Leadership {
        &self.leadership
    }

    /// The term under which this daemon holds the duty now, if it does.
    pub fn term(&self, now: u64) -> Option<u64> {
        (self.leadership.leader == self.me && now < self.held_until).then_some(self.leadership.term)
    }

    /// What to do now.
    pub fn next_step(&mut self, now: u64) -> ElectionStep {
        if now < self.next_at {
            return ElectionStep::Wait;
        }
        self.next_at = now + self.lease / 5;
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

    /// The register was seen at a majority.
    pub fn observe(&mut self, now: u64, version: u64, leadership: Leadership) {
        if version > self.version {
            self.version = version;
            self.leadership = leadership;
            self.changed_at = now;
        }
    }

    /// A write that was begun at `began` is settled.
    pub fn on_elected(&mut self, now: u64, began: u64, version: u64, leadership: Leadership) {
        self.observe(now, version, leadership);
        // A fifth is left for clocks that run apart.
        self.held_until = began + self.lease * 4 / 5;
    }

    /// Gives the duty up; another daemon wins it after the lease.
    pub fn step_down(&mut self, now: u64) {
        self.held_until = 0;
        self.leadership.leader = PeerRef::default();
        self.changed_at = now;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn peer(name: &str) -> PeerRef {
        PeerRef {
            name: name.into(),
            incarnation: 1,
        }
    }

    #[test]
    fn a_vacant_duty_is_contended_for_only_after_the_lease() {
        let mut election = LeaderElection::new(peer("a"), 1_000, 0);
        election.enter_epoch(1);
        assert_eq!(election.next_step(0), ElectionStep::Read);
        election.observe(
            0,
            7,
            Leadership {
                leader: peer("b"),
                term: 3,
            },
        );
        assert_eq!(election.next_step(500), ElectionStep::Read);
        let ElectionStep::Write(7, won) = election.next_step(1_000) else {
            panic!("no write after the lease");
        };
        assert_eq!(won.term, (1 << 40) | 8);
        election.on_elected(1_010, 1_000, 8, won);
        assert_eq!(election.term(1_799), Some((1 << 40) | 8));
    }

    #[test]
    fn a_holder_that_was_frozen_does_not_hold_any_more() {
        let mut election = LeaderElection::new(peer("a"), 1_000, 0);
        election.on_elected(
            10,
            0,
            1,
            Leadership {
                leader: peer("a"),
                term: 1,
            },
        );
        assert_eq!(election.term(799), Some(1));
        assert_eq!(election.term(800), None);
        election.observe(
            5_000,
            2,
            Leadership {
                leader: peer("b"),
                term: 2,
            },
        );
        assert_eq!(election.term(5_001), None);
        assert_eq!(election.next_step(5_001), ElectionStep::Read);
    }
}
