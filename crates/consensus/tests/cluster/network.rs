use super::SimulatedCluster;

impl SimulatedCluster {
    /// Cuts the link between two controllers in both directions.
    pub fn part(&mut self, one: usize, other: usize) {
        self.cuts.insert((one, other));
        self.cuts.insert((other, one));
    }

    /// Restores the link between two controllers.
    pub fn join(&mut self, one: usize, other: usize) {
        self.cuts.remove(&(one, other));
        self.cuts.remove(&(other, one));
    }

    /// The controller that holds the scaler role, and two others.
    pub fn holder(&self) -> Option<(usize, usize, usize)> {
        let mut nodes = self.nodes.iter();
        let holder = nodes.position(|node| node.term(self.now).is_some())?;
        let mut others = (0..self.nodes.len()).filter(|place| *place != holder);
        Some((holder, others.next()?, others.next()?))
    }

    /// Runs until the condition holds, and returns the elapsed time.
    pub fn until(&mut self, span: u64, is_so: impl Fn(&SimulatedCluster) -> bool) -> Option<u64> {
        let began = self.now;
        while self.now <= began + span {
            if is_so(self) {
                return Some(self.now - began);
            }
            self.run(10);
        }
        None
    }
}
