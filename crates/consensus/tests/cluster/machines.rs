//! Adding and removing machines, and observing the voter sets meanwhile.

use super::{Event, SimulatedCluster};
use consensus::{ConsensusMessage, MembershipState, CONFIGURATION_KEY};
use register::{SetVersion, VoterOperation, VoterSet, VOTERS_KEY};

impl SimulatedCluster {
    /// Cuts a controller off from all others.
    pub fn isolate(&mut self, place: usize) {
        for other in 0..self.nodes.len() {
            if other != place {
                self.part(place, other);
            }
        }
    }

    /// Restores all links of a controller.
    pub fn rejoin(&mut self, place: usize) {
        for other in 0..self.nodes.len() {
            self.join(place, other);
        }
    }

    /// Removes a machine permanently, unless it is restored.
    pub fn lose(&mut self, place: usize) {
        self.kill(place);
        self.nodes[place].is_gone = true;
    }

    /// Adds an empty machine that may join.
    pub fn add_newcomer(&mut self) -> usize {
        let seeds = (0..self.nodes.len().min(3)).map(|place| format!("at-{place}"));
        self.add(seeds.collect(), false)
    }

    /// Removes a machine, and moves its disk to a new machine at another address.
    pub fn move_disk(&mut self, place: usize) -> usize {
        self.lose(place);
        self.moved.insert(place);
        let newcomer = self.add_newcomer();
        self.nodes[newcomer].folder = self.nodes[place].folder.clone();
        newcomer
    }

    /// Restores a removed machine with the disk it had.
    pub fn bring_back(&mut self, place: usize) {
        self.nodes[place].is_gone = false;
        self.later(0, Event::Boot(place));
    }

    /// Whether a controller that knows no set cannot contact anyone because none of its seeds exists any more.
    pub fn is_lost(&self, place: usize) -> bool {
        let node = &self.nodes[place];
        let is_live = |seed: &String| {
            let mut nodes = self.nodes.iter();
            nodes.any(|other| {
                other.address == *seed && !other.is_gone && other.address != node.address
            })
        };
        node.set_version() == SetVersion::new(0, 0) && !node.seeds.iter().any(is_live)
    }

    /// Relation of a controller to the voter set.
    pub fn membership_state(&self, place: usize) -> MembershipState {
        let consensus = self.nodes[place].consensus.as_ref();
        consensus.unwrap().membership_state()
    }

    /// The newest set known to any controller.
    pub fn newest_set(&self) -> VoterSet {
        let consensus = self.nodes.iter().filter_map(|node| node.consensus.as_ref());
        let sets = consensus.map(|consensus| consensus.voter_set().clone());
        sets.max_by_key(VoterSet::version).unwrap_or_default()
    }

    /// Describes the newest set and the state of each controller.
    pub fn describe(&self) -> String {
        let mut text = format!("{:?}", self.newest_set());
        for node in &self.nodes {
            let reason = node.consensus.as_ref().map(|consensus| consensus.status());
            let reason = reason.unwrap_or_else(|| format!("down, gone {}", node.is_gone));
            let line = format!(
                "\n{} disk {} {:?}: {reason}",
                node.address,
                node.disk,
                node.set_version()
            );
            text.push_str(&line);
        }
        text
    }

    /// Writes the next version at one controller. Panics if it is not acknowledged in time.
    pub fn must_write(&mut self, place: usize) {
        let newest = self.oracle.newest(CONFIGURATION_KEY);
        for _ in 0..20 {
            self.change(place, CONFIGURATION_KEY, true);
            self.run(200);
            if self.oracle.newest(CONFIGURATION_KEY) > newest {
                return;
            }
        }
        panic!("at {} controller {place} writes nothing", self.now);
    }

    /// Reads the newest version at one controller. Panics if that does not succeed in time.
    pub fn must_read(&mut self, place: usize) {
        for _ in 0..20 {
            let reads = self.oracle.reads;
            self.change(place, CONFIGURATION_KEY, false);
            self.run(200);
            if self.oracle.reads > reads {
                return;
            }
        }
        panic!("at {} controller {place} reads nothing", self.now);
    }

    pub fn record_proposal(&mut self, from: usize, message: &ConsensusMessage) {
        let ConsensusMessage::VoterRequest { request, .. } = message else {
            return;
        };
        if matches!(&request.operation, VoterOperation::Prepare { key, .. } if key == VOTERS_KEY) {
            self.set_proposals.push((self.now, from));
        }
    }
}
