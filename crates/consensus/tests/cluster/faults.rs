use super::{Event, SimulatedCluster};
use journal::FaultKind;
use rand::Rng;

impl SimulatedCluster {
    fn live(&self) -> Vec<usize> {
        let live = self.nodes.iter().enumerate();
        live.filter(|(_, node)| !node.is_gone)
            .map(|(place, _)| place)
            .collect()
    }

    fn any(&mut self) -> usize {
        let live = self.live();
        live[self.random.random_range(0..live.len())]
    }

    /// Whether all members of the newest set have installed it, so that one more disk may be lost.
    pub fn has_all_members(&self) -> bool {
        let sets = self.nodes.iter().filter_map(|node| node.consensus.as_ref());
        let newest = sets
            .map(|consensus| consensus.voter_set())
            .max_by_key(|set| set.version());
        let Some(newest) = newest.filter(|set| set.epoch > 0) else {
            return false;
        };
        newest.voters.iter().all(|voter| {
            let mut nodes = self.nodes.iter();
            nodes.any(|node| node.disk == voter.disk && node.set_version() == newest.version())
        })
    }

    /// Injects a random fault.
    pub fn inject_fault(&mut self) {
        match self.random.random_range(0..12) {
            0 | 1 => self.cut_link(),
            2 => self.cut_off(),
            3 => self.cuts.clear(),
            4 | 5 => self.freeze(),
            6 | 7 => {
                let place = self.any();
                self.restart(place);
            }
            8 => self.lose_power(None),
            9 => self.lose_disk(false),
            10 => self.lose_disk(true),
            _ => self.replace(),
        }
    }

    fn cut_link(&mut self) {
        let (one, other) = (self.any(), self.any());
        self.cuts.insert((one, other));
        if self.random.random_bool(0.5) {
            self.cuts.insert((other, one));
        }
    }

    fn cut_off(&mut self) {
        let one = self.any();
        for other in self.live() {
            self.cuts.insert((one, other));
            self.cuts.insert((other, one));
        }
    }

    fn freeze(&mut self) {
        let place = self.any();
        if self.nodes[place].is_frozen {
            return;
        }
        self.nodes[place].is_frozen = true;
        let span = self.random.random_range(100..4_000);
        self.later(span, Event::Thaw(place));
    }

    fn restart(&mut self, place: usize) {
        self.kill(place);
        let delay = self.random.random_range(10..3_000);
        self.later(delay, Event::Boot(place));
    }

    fn lose_power(&mut self, wiped: Option<usize>) {
        for place in self.live() {
            if wiped == Some(place) {
                self.wipe(place);
            } else {
                self.nodes[place].disk_work.clear();
                self.kill(place);
                self.nodes[place].folder.inject(FaultKind::PowerLoss(0));
            }
            let delay = self.random.random_range(10..1_000);
            self.later(delay, Event::Boot(place));
        }
    }

    fn lose_disk(&mut self, is_power_lost: bool) {
        if !self.has_all_members() {
            return;
        }
        let place = self.any();
        if is_power_lost {
            return self.lose_power(Some(place));
        }
        self.wipe(place);
        let delay = self.random.random_range(10..3_000);
        self.later(delay, Event::Boot(place));
    }

    /// Removes a machine permanently, and adds another at a new address.
    pub fn replace(&mut self) {
        if !self.has_all_members() {
            return;
        }
        let place = self.any();
        self.kill(place);
        self.nodes[place].is_gone = true;
        let live = self.live();
        let seeds = live.iter().map(|place| format!("at-{place}"));
        let mut seeds: Vec<String> = seeds.take(2).collect();
        seeds.push(format!("at-{place}"));
        self.add(seeds, false);
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.loss = 0.0;
        for place in self.live() {
            if self.nodes[place].is_frozen {
                self.thaw(place);
            }
            self.later(0, Event::Boot(place));
        }
    }
}
