/// A fault that occurs at the beginning of a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A controller ends within the round, after it has handled so many messages, and loses what was not synced.
    Crash {
        /// The machine.
        place: usize,
        /// Messages that it handles before.
        after: usize,
        /// Rounds until it starts again.
        rounds: u64,
    },
    /// A machine loses its disk and starts again with an empty one.
    Wipe {
        /// The machine.
        place: usize,
    },
    /// A machine is gone for good.
    Lose {
        /// The machine.
        place: usize,
    },
    /// Nothing reaches a machine or leaves it.
    Isolate {
        /// The machine.
        place: usize,
        /// Rounds until it is reached again.
        rounds: u64,
    },
    /// Messages one way between two machines are lost.
    CutLink {
        /// Sender.
        from: usize,
        /// Receiver.
        to: usize,
        /// Rounds until they arrive again.
        rounds: u64,
    },
    /// Messages one way between two machines arrive late, all at once, after newer ones of other links.
    Delay {
        /// Sender.
        from: usize,
        /// Receiver.
        to: usize,
        /// Rounds until they arrive.
        rounds: u64,
    },
    /// A controller stands still, and handles what came meanwhile when it goes on.
    Freeze {
        /// The machine.
        place: usize,
        /// Rounds until it goes on.
        rounds: u64,
    },
}

/// Which faults an exploration draws on.
#[derive(Clone, Debug)]
pub struct FaultScope {
    /// Rounds for which an interruption lasts, short and long.
    pub spans: Vec<u64>,
    /// Messages handled before a crash within a round.
    pub crash_points: Vec<usize>,
    /// Whether single links are cut and delayed too.
    pub has_links: bool,
}

impl FaultScope {
    /// All faults of the scope on so many machines.
    pub fn faults(&self, machines: usize) -> Vec<Fault> {
        let mut faults = Vec::new();
        for place in 0..machines {
            faults.extend([Fault::Wipe { place }, Fault::Lose { place }]);
            let points = self.crash_points.iter();
            faults.extend(points.map(|after| Fault::Crash {
                place,
                after: *after,
                rounds: 1,
            }));
            for rounds in self.spans.iter().copied() {
                faults.push(Fault::Isolate { place, rounds });
                faults.push(Fault::Freeze { place, rounds });
            }
        }
        if self.has_links {
            faults.extend(self.link_faults(machines));
        }
        faults
    }

    fn link_faults(&self, machines: usize) -> Vec<Fault> {
        let mut faults = Vec::new();
        for from in 0..machines {
            for to in (0..machines).filter(|to| *to != from) {
                for rounds in self.spans.iter().copied() {
                    faults.push(Fault::CutLink { from, to, rounds });
                    faults.push(Fault::Delay { from, to, rounds });
                }
            }
        }
        faults
    }
}
