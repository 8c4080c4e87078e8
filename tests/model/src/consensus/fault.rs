/// A fault that is injected at the beginning of a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A controller crashes within the round, after it has handled a given number of messages, and loses unsynced data.
    Crash {
        /// Index of the machine.
        index: usize,
        /// Number of messages that it handles in the round before it crashes.
        after: usize,
        /// Rounds until it restarts.
        rounds: u64,
    },
    /// A machine loses its disk and restarts with an empty one.
    Wipe {
        /// Index of the machine.
        index: usize,
    },
    /// A machine is lost permanently.
    Lose {
        /// Index of the machine.
        index: usize,
    },
    /// A machine is partitioned from all others.
    Isolate {
        /// Index of the machine.
        index: usize,
        /// Rounds until the partition heals.
        rounds: u64,
    },
    /// Messages from one machine to another are lost; the opposite direction is unaffected.
    CutLink {
        /// Index of the sender.
        from: usize,
        /// Index of the receiver.
        to: usize,
        /// Rounds until the link works again.
        rounds: u64,
    },
    /// Messages from one machine to another are held back and delivered together, after newer messages of other links.
    Delay {
        /// Index of the sender.
        from: usize,
        /// Index of the receiver.
        to: usize,
        /// Rounds until they are delivered.
        rounds: u64,
    },
    /// A controller is paused; messages that arrive meanwhile are handled when it resumes.
    Freeze {
        /// Index of the machine.
        index: usize,
        /// Rounds until it resumes.
        rounds: u64,
    },
}

/// The faults that an exploration injects.
#[derive(Clone, Debug)]
pub struct FaultScope {
    /// Durations of an interruption, in rounds.
    pub spans: Vec<u64>,
    /// Numbers of messages that a controller handles in a round before it crashes.
    pub crash_points: Vec<usize>,
    /// Whether faults of single links (cut, delayed) are included.
    pub has_links: bool,
}

impl FaultScope {
    /// Returns all faults of the scope for a number of machines.
    pub fn faults(&self, machines: usize) -> Vec<Fault> {
        let mut faults = Vec::new();
        for index in 0..machines {
            faults.extend([Fault::Wipe { index }, Fault::Lose { index }]);
            let points = self.crash_points.iter();
            faults.extend(points.map(|after| Fault::Crash {
                index,
                after: *after,
                rounds: 1,
            }));
            for rounds in self.spans.iter().copied() {
                faults.push(Fault::Isolate { index, rounds });
                faults.push(Fault::Freeze { index, rounds });
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
