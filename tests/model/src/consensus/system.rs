use super::fault::Fault;
use super::history::History;
use super::node::{address, index_of, Node};
use super::STEP_MS;
use crate::fingerprint::Fingerprinter;
use consensus::{ConsensusAction, ConsensusMessage, CONFIGURATION_KEY};
use std::collections::VecDeque;
use std::sync::Arc;

/// Maximum number of messages in one round; more are treated as an endless exchange of messages.
const MAX_MESSAGES_PER_ROUND: usize = 5_000;
/// Clients send requests in every round whose number is a multiple of this.
const REQUEST_INTERVAL_ROUNDS: u64 = 2;

/// A message in transit.
#[derive(Clone, Debug)]
struct Envelope {
    from: usize,
    to: usize,
    message: ConsensusMessage,
}

/// A fault in effect until the beginning of a round.
#[derive(Clone, Debug)]
struct ActiveFault {
    fault: Fault,
    until: u64,
}

/// The controllers with their disks, the network between them and the history of client requests.
#[derive(Clone)]
pub struct System {
    /// The machines; clones of a state share those that have not changed.
    pub nodes: Vec<Arc<Node>>,
    /// Client requests and their responses.
    pub history: History,
    /// Number of faults that may still be injected.
    pub faults_left: usize,
    /// Number of rounds since the start.
    pub round: u64,
    active_faults: Vec<ActiveFault>,
    delayed: Vec<Envelope>,
    queue: VecDeque<Envelope>,
    handled: Vec<usize>,
    changed: Vec<bool>,
}

impl System {
    /// Creates members that start for the first time, and newcomers that are not among the seed addresses.
    pub fn new(members: usize, newcomers: usize, faults_left: usize) -> Self {
        let count = members + newcomers;
        let seeds: Vec<String> = (0..members).map(address).collect();
        let mut system = Self {
            nodes: (0..count)
                .map(|index| Arc::new(Node::new(index, index < members)))
                .collect(),
            history: History::default(),
            faults_left,
            round: 0,
            active_faults: Vec::new(),
            delayed: Vec::new(),
            queue: VecDeque::new(),
            handled: vec![0; count],
            changed: vec![true; count],
        };
        for index in 0..count {
            let now = system.now();
            system.node(index).boot(now, &seeds, members);
        }
        system.update_digests();
        system
    }

    /// Returns the model time in milliseconds. The clocks of all machines run at the same rate.
    pub fn now(&self) -> u64 {
        (self.round + 1) * STEP_MS
    }

    /// Whether a fault may be injected now: its machines are running and not already affected by a fault of the same kind.
    pub fn can_occur(&self, fault: Fault) -> bool {
        let runs = |index: usize| self.nodes[index].consensus.is_some();
        let mut active_faults = self.active_faults.iter();
        match fault {
            Fault::Crash { index, .. } | Fault::Wipe { index } | Fault::Lose { index } => {
                runs(index)
            }
            Fault::Isolate { index, .. } => {
                let is_lasting = active_faults.any(
                    |active| matches!(active.fault, Fault::Isolate { index: cut, .. } if cut == index),
                );
                runs(index) && !is_lasting
            }
            Fault::Freeze { index, .. } => runs(index) && !self.is_frozen(index),
            Fault::CutLink { from, to, .. } | Fault::Delay { from, to, .. } => {
                runs(from) && runs(to) && !self.is_cut(from, to) && !self.is_delayed(from, to)
            }
        }
    }

    /// Runs one round: injects the fault if there is one, ends expired faults, sends client requests, advances the clock of
    /// every controller, and delivers all messages that are neither lost nor delayed.
    pub fn run_round(&mut self, fault: Option<Fault>, members: usize) -> Result<(), String> {
        self.round += 1;
        self.handled = vec![0; self.nodes.len()];
        self.changed = vec![false; self.nodes.len()];
        if let Some(fault) = fault {
            self.faults_left -= 1;
            self.inject_fault(fault)?;
        }
        self.end_active_faults(members)?;
        self.send_requests()?;
        for index in 0..self.nodes.len() {
            self.tick(index)?;
        }
        self.deliver_all()?;
        self.update_digests();
        Ok(())
    }

    fn node(&mut self, index: usize) -> &mut Node {
        self.changed[index] = true;
        Arc::make_mut(&mut self.nodes[index])
    }

    fn inject_fault(&mut self, fault: Fault) -> Result<(), String> {
        let until = match fault {
            Fault::Crash {
                index,
                after,
                rounds,
            } => {
                if after == 0 {
                    self.node(index).crash();
                }
                self.round + rounds
            }
            Fault::Wipe { index } => {
                self.node(index).wipe();
                self.round + 1
            }
            Fault::Lose { index } => {
                self.node(index).wipe();
                u64::MAX
            }
            Fault::Isolate { rounds, .. }
            | Fault::CutLink { rounds, .. }
            | Fault::Delay { rounds, .. }
            | Fault::Freeze { rounds, .. } => self.round + rounds,
        };
        self.active_faults.push(ActiveFault { fault, until });
        Ok(())
    }

    fn end_active_faults(&mut self, members: usize) -> Result<(), String> {
        let round = self.round;
        let all = std::mem::take(&mut self.active_faults);
        let (ended, remaining): (Vec<ActiveFault>, _) =
            all.into_iter().partition(|active| active.until <= round);
        self.active_faults = remaining;
        let seeds: Vec<String> = (0..members).map(address).collect();
        for active in ended {
            match active.fault {
                Fault::Crash { index, .. } | Fault::Wipe { index } => {
                    let now = self.now();
                    if self.nodes[index].consensus.is_none() && !self.is_lost(index) {
                        self.node(index).boot(now, &seeds, members);
                    }
                }
                Fault::Delay { .. } | Fault::Freeze { .. } => {
                    let delayed = std::mem::take(&mut self.delayed);
                    self.queue.extend(delayed);
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn is_lost(&self, index: usize) -> bool {
        let mut active_faults = self.active_faults.iter();
        active_faults.any(|active| active.fault == Fault::Lose { index })
    }

    /// Whether a machine is paused.
    pub fn is_frozen(&self, index: usize) -> bool {
        let mut active_faults = self.active_faults.iter();
        active_faults.any(
            |active| matches!(active.fault, Fault::Freeze { index: frozen, .. } if frozen == index),
        )
    }

    /// Sends client requests: machines 0 and 1 write concurrently, the others read.
    fn send_requests(&mut self) -> Result<(), String> {
        if !self.round.is_multiple_of(REQUEST_INTERVAL_ROUNDS) {
            return Ok(());
        }
        let (now, round) = (self.now(), self.round);
        for index in 0..self.nodes.len() {
            let Some(consensus) = self.nodes[index].consensus.as_ref() else {
                continue;
            };
            if self.is_frozen(index) || consensus.voter_set().epoch == 0 {
                continue;
            }
            if index >= 2 {
                let token = self.history.begin(CONFIGURATION_KEY, None);
                if let Some(consensus) = self.node(index).consensus.as_mut() {
                    consensus.read(now, token, CONFIGURATION_KEY);
                }
                continue;
            }
            let committed = consensus.committed(CONFIGURATION_KEY);
            let expected = committed.map_or(0, |(version, _)| version);
            let bytes = vec![round as u8, index as u8];
            let write = Some((expected, bytes.clone()));
            let token = self.history.begin(CONFIGURATION_KEY, write);
            if let Some(consensus) = self.node(index).consensus.as_mut() {
                consensus.write(now, token, CONFIGURATION_KEY, expected, bytes);
            }
        }
        for index in 0..self.nodes.len() {
            self.drain(index)?;
        }
        Ok(())
    }

    fn tick(&mut self, index: usize) -> Result<(), String> {
        let now = self.now();
        if self.is_frozen(index) || self.nodes[index].consensus.is_none() {
            return Ok(());
        }
        if let Some(consensus) = self.node(index).consensus.as_mut() {
            consensus.tick(now);
        }
        self.drain(index)
    }

    fn deliver_all(&mut self) -> Result<(), String> {
        let mut count = 0;
        while let Some(envelope) = self.queue.pop_front() {
            count += 1;
            if count > MAX_MESSAGES_PER_ROUND {
                return Err("the controllers exchange messages endlessly".into());
            }
            self.deliver(envelope)?;
        }
        Ok(())
    }

    fn deliver(&mut self, envelope: Envelope) -> Result<(), String> {
        let (from, to) = (envelope.from, envelope.to);
        if self.is_cut(from, to) || self.nodes[to].consensus.is_none() {
            return Ok(());
        }
        if self.is_delayed(from, to) || self.is_frozen(to) {
            self.delayed.push(envelope);
            return Ok(());
        }
        let now = self.now();
        if let Some(consensus) = self.node(to).consensus.as_mut() {
            consensus.on_message(now, &address(from), envelope.message);
        }
        self.handled[to] += 1;
        self.drain(to)?;
        if self.is_crash_due(to) {
            self.node(to).crash();
        }
        Ok(())
    }

    fn is_crash_due(&self, index: usize) -> bool {
        let handled = self.handled[index];
        let mut active_faults = self.active_faults.iter();
        active_faults.any(|active| {
            matches!(active.fault, Fault::Crash { index: crashed, after, .. }
                if crashed == index && after == handled)
        })
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        let mut active_faults = self.active_faults.iter();
        active_faults.any(|active| match active.fault {
            Fault::Isolate { index, .. } => index == one || index == other,
            Fault::CutLink { from, to, .. } => (from, to) == (one, other),
            _ => false,
        })
    }

    fn is_delayed(&self, one: usize, other: usize) -> bool {
        let mut active_faults = self.active_faults.iter();
        active_faults.any(|active| {
            matches!(active.fault, Fault::Delay { from, to, .. } if (from, to) == (one, other))
        })
    }

    /// Executes the actions of a controller until none are left.
    fn drain(&mut self, index: usize) -> Result<(), String> {
        loop {
            if self.nodes[index].consensus.is_none() {
                return Ok(());
            }
            let actions = self.node(index).take_actions();
            if actions.is_empty() {
                return self.check_role_holders();
            }
            let mut work = Vec::new();
            for action in actions {
                match action {
                    ConsensusAction::Send { to, message } => self.send(index, &to, message),
                    ConsensusAction::Disk(task) => work.push(task),
                    ConsensusAction::RequestCompleted { token, outcome } => {
                        self.history.end(token, &outcome)?
                    }
                    ConsensusAction::ValueCommitted { key, version } => {
                        self.learn(index, &key, version)?
                    }
                    ConsensusAction::RoleAcquired { term } => self.record_term(index, term)?,
                    ConsensusAction::RoleLost => {}
                }
            }
            if !work.is_empty() {
                let now = self.now();
                self.node(index).execute(now, work);
            }
        }
    }

    fn send(&mut self, from: usize, to: &str, message: ConsensusMessage) {
        if let Some(to) = index_of(to).filter(|to| *to < self.nodes.len()) {
            self.queue.push_back(Envelope { from, to, message });
        }
    }

    fn learn(&mut self, index: usize, key: &str, version: u64) -> Result<(), String> {
        let consensus = self.nodes[index].consensus.as_ref();
        let committed = consensus.and_then(|consensus| consensus.committed(key));
        let Some((newest, bytes)) = committed else {
            return Ok(());
        };
        if newest < version {
            return Err(format!(
                "{key} went back from version {version} to {newest}"
            ));
        }
        let bytes = bytes.to_vec();
        self.history.record_committed(key, newest, &bytes)
    }

    fn record_term(&mut self, index: usize, term: u64) -> Result<(), String> {
        self.history
            .record_term(term, index, self.nodes[index].incarnation())
    }

    /// Checks that at most one controller holds the scaler role.
    fn check_role_holders(&self) -> Result<(), String> {
        let now = self.now();
        let holders = self.nodes.iter().filter(|node| node.term(now).is_some());
        let holders: Vec<usize> = holders.map(|node| node.index).collect();
        if holders.len() <= 1 {
            return Ok(());
        }
        Err(format!(
            "controllers {holders:?} hold the scaler role at {now} ms"
        ))
    }

    fn update_digests(&mut self) {
        for index in 0..self.nodes.len() {
            if self.changed[index] {
                Arc::make_mut(&mut self.nodes[index]).update_digest();
            }
        }
    }

    /// Replaces the journals of all machines by snapshots.
    pub fn compact(&mut self) {
        for node in &mut self.nodes {
            Arc::make_mut(node).compact();
        }
    }

    /// Returns a hash of everything that determines the system's future.
    pub fn fingerprint(&self) -> u128 {
        let mut fingerprinter = Fingerprinter::default();
        for node in &self.nodes {
            fingerprinter.number(node.digest());
        }
        fingerprinter.number(u128::from(self.round) << 64 | self.faults_left as u128);
        fingerprinter.debug(&self.active_faults);
        fingerprinter.debug(&self.delayed);
        fingerprinter.debug(&self.history);
        fingerprinter.finish()
    }
}
