//! Injected faults: restarts of members, lost voter disks and message loss.

use super::members::Member;
use super::{Cluster, CONFIGURATION, EVACUATIONS};
use rand::Rng;
use register::{Acceptor, ClaimFloors, RegisterState};

impl Cluster {
    pub fn inject_fault(&mut self) {
        match self.random.random_range(0..400) {
            0..=2 => self.restart_member(),
            3 => self.replace_voter(),
            4 => self.settings.loss = [0.0, 0.05, 0.3][self.random.random_range(0..3)],
            _ => {}
        }
    }

    /// Restarts a member. It loses its running commands, whose operators get no reply.
    fn restart_member(&mut self) {
        let index = self.random.random_range(0..self.members.len());
        self.last_incarnation += 1;
        self.members[index] = Member::new(self.last_incarnation);
    }

    /// Replaces a voter that lost its disk. The replacement gets the newest register states of the other two voters under a new
    /// voter set.
    fn replace_voter(&mut self) {
        let index = self.random.random_range(0..self.voters.len());
        let mut set = self.set.clone();
        set.number += 1;
        set.voters[index].disk = 1_000 + set.number;
        let others = (0..self.voters.len()).filter(|other| *other != index);
        let others: Vec<usize> = others.collect();
        let keys = [CONFIGURATION, EVACUATIONS].into_iter().filter_map(|key| {
            let states = others
                .iter()
                .filter_map(|other| self.voters[*other].register(key));
            let newest = states.max_by_key(|state| state.accepted)?;
            let newest = RegisterState {
                promised: newest.accepted,
                ..newest.clone()
            };
            Some((key.to_string(), newest))
        });
        let mut replacement = Acceptor::default();
        replacement.install(set.clone(), ClaimFloors::default(), keys.collect());
        for other in others {
            self.voters[other].adopt_set(set.clone());
        }
        self.voters[index] = replacement;
        self.set = set;
        self.oracle.observe(&self.voters);
    }
}
