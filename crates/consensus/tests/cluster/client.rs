use super::{Event, SimulatedCluster};
use consensus::{CONFIGURATION_KEY, EVACUATIONS_KEY};
use rand::Rng;

impl SimulatedCluster {
    /// Reads or writes at one controller, and schedules the next request.
    pub fn client(&mut self, place: usize) {
        let delay = self.random.random_range(40..240);
        self.later(delay, Event::Client(place));
        if !self.is_writing || self.nodes[place].is_frozen {
            return;
        }
        let key = if self.random.random_bool(0.5) {
            CONFIGURATION_KEY
        } else {
            EVACUATIONS_KEY
        };
        let is_write = self.random.random_bool(0.6);
        self.change(place, key, is_write);
    }

    pub fn change(&mut self, place: usize, key: &str, is_write: bool) {
        let local = self.nodes[place].clock(self.now);
        let Some(consensus) = self.nodes[place].consensus.as_mut() else {
            return;
        };
        if is_write {
            let expected = consensus.committed(key).map_or(0, |(version, _)| version);
            let bytes = self.random.random::<u64>().to_le_bytes().to_vec();
            let token = self
                .oracle
                .begin_request(key, Some((expected, bytes.clone())));
            consensus.write(local, token, key, expected, bytes);
        } else {
            let token = self.oracle.begin_request(key, None);
            consensus.read(local, token, key);
        }
        self.drain(place);
    }
}
