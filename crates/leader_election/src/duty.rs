use configuration::PeerRef;
use speedy::{Readable, Writable};

/// What a duty's register holds.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct Tenure {
    /// Who holds the duty.
    pub holder: PeerRef,
    /// Version of the register at which this holder won it; it fences all that the holder does.
    pub term: u64,
}

const ERA_SHIFT: u32 = 40;

/// What to do about a duty now.
#[derive(Clone, Debug, PartialEq)]
pub enum Move {
    /// Nothing yet.
    Wait,
    /// Read the register.
    Look,
    /// Write this tenure with this expected version.
    Write(u64, Tenure),
}

/// One daemon's view of one duty. It is held from a settled write until the lease that began
/// before that write is over; others contend only after seeing nothing new for the whole lease.
#[derive(Debug)]
pub struct Duty {
    me: PeerRef,
    lease: u64,
    version: u64,
    tenure: Tenure,
    changed_at: u64,
    held_until: u64,
    next_at: u64,
    era: u64,
}

impl Duty {
    /// A duty that nothing is known of yet.
    pub fn new(me: PeerRef, lease: u64, now: u64) -> Self {
        Self {
            me,
            lease,
            version: 0,
            tenure: Tenure::default(),
            changed_at: now,
            held_until: 0,
            next_at: now,
            era: 0,
        }
    }

    /// The voters' era, as the register is read or written. Terms of a later era are higher, though
    /// its registers count anew.
    pub fn in_era(&mut self, era: u64) {
        if era > self.era {
            self.era = era;
            self.version = 0;
            self.tenure = Tenure::default();
            self.held_until = 0;
        }
    }

    /// The tenure that was seen last.
    pub fn tenure(&self) -> &Tenure {
        &self.tenure
    }

    /// The term under which this daemon holds the duty now, if it does.
    pub fn term(&self, now: u64) -> Option<u64> {
        (self.tenure.holder == self.me && now < self.held_until).then_some(self.tenure.term)
    }

    /// What to do now.
    pub fn next(&mut self, now: u64) -> Move {
        if now < self.next_at {
            return Move::Wait;
        }
        self.next_at = now + self.lease / 5;
        if self.tenure.holder == self.me {
            return Move::Write(self.version, self.tenure.clone());
        }
        if now < self.changed_at + self.lease || self.era == 0 {
            return Move::Look;
        }
        let won = Tenure {
            holder: self.me.clone(),
            term: (self.era << ERA_SHIFT) | (self.version + 1),
        };
        Move::Write(self.version, won)
    }

    /// The register was seen at a majority.
    pub fn seen(&mut self, now: u64, version: u64, tenure: Tenure) {
        if version > self.version {
            self.version = version;
            self.tenure = tenure;
            self.changed_at = now;
        }
    }

    /// A write that was begun at `began` is settled.
    pub fn won(&mut self, now: u64, began: u64, version: u64, tenure: Tenure) {
        self.seen(now, version, tenure);
        // A fifth is left for clocks that run apart.
        self.held_until = began + self.lease * 4 / 5;
    }

    /// Gives the duty up; another daemon wins it after the lease.
    pub fn step_down(&mut self, now: u64) {
        self.held_until = 0;
        self.tenure.holder = PeerRef::default();
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
        let mut duty = Duty::new(peer("a"), 1_000, 0);
        duty.in_era(1);
        assert_eq!(duty.next(0), Move::Look);
        duty.seen(
            0,
            7,
            Tenure {
                holder: peer("b"),
                term: 3,
            },
        );
        assert_eq!(duty.next(500), Move::Look);
        let Move::Write(7, won) = duty.next(1_000) else {
            panic!("no write after the lease");
        };
        assert_eq!(won.term, (1 << 40) | 8);
        duty.won(1_010, 1_000, 8, won);
        assert_eq!(duty.term(1_799), Some((1 << 40) | 8));
    }

    #[test]
    fn a_holder_that_was_frozen_does_not_hold_any_more() {
        let mut duty = Duty::new(peer("a"), 1_000, 0);
        duty.won(
            10,
            0,
            1,
            Tenure {
                holder: peer("a"),
                term: 1,
            },
        );
        assert_eq!(duty.term(799), Some(1));
        assert_eq!(duty.term(800), None);
        duty.seen(
            5_000,
            2,
            Tenure {
                holder: peer("b"),
                term: 2,
            },
        );
        assert_eq!(duty.term(5_001), None);
        assert_eq!(duty.next(5_001), Move::Look);
    }
}
