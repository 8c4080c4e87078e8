use super::SimulatedCluster;

impl SimulatedCluster {
    /// Cuts the link between two controllers in both directions.
    pub fn partition(&mut self, one: usize, other: usize) {
        self.cut_links.insert((one, other));
        self.cut_links.insert((other, one));
    }

    /// Restores the link between two controllers.
    pub fn reconnect(&mut self, one: usize, other: usize) {
        self.cut_links.remove(&(one, other));
        self.cut_links.remove(&(other, one));
    }

    /// The controller that holds the scaler role, and two others.
    pub fn holder(&self) -> Option<(usize, usize, usize)> {
        let mut nodes = self.nodes.iter();
        let holder = nodes.position(|node| node.term(self.now).is_some())?;
        let mut others = (0..self.nodes.len()).filter(|index| *index != holder);
        Some((holder, others.next()?, others.next()?))
    }

    /// Runs until the condition holds, and returns the elapsed time.
    pub fn run_until(
        &mut self,
        duration: u64,
        condition: impl Fn(&SimulatedCluster) -> bool,
    ) -> Option<u64> {
        let started_at = self.now;
        while self.now <= started_at + duration {
            if condition(self) {
                return Some(self.now - started_at);
            }
            self.run(10);
        }
        None
    }
}
