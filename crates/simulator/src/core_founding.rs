use crate::core_node::{CoreNode, Purpose};
use crate::net::Net;
use crate::oracle::Oracle;
use configuration::Version;
use register::Change;
use speedy::Writable;
use std::collections::BTreeMap;
use transport::{ConfigurationUpdate, PeerMessage, PlanUpdate, StateUpdate};
use voter::{
    median_wall_clock, Bootstrap, BootstrapStep, BootstrapView, GatewayEvidence, PeerStatus,
};

/// Numbers of questions for what fronts hold.
pub(crate) const GATHER: u64 = 3;

/// An epoch's beginning at a core, as far as it has come.
#[derive(Default)]
pub(crate) struct FoundingDecision {
    founding: Bootstrap,
    configuration: Option<ConfigurationUpdate>,
    plan: Option<PlanUpdate>,
    /// How far each front's wall clock is ahead of this core's.
    ahead: BTreeMap<String, i64>,
}

impl FoundingDecision {
    /// A front reported its wall clock.
    pub fn note_clock(&mut self, front: &str, ahead: i64) {
        self.ahead.insert(front.to_string(), ahead);
    }
}

/// A front and the version that it holds.
type Holder = (String, Version);

impl CoreNode {
    /// What fronts said lately: who holds the newest configuration, who the newest plan, and how many spoke.
    fn holders(&self, now: u64) -> Option<(Holder, Holder, usize)> {
        let lease = self.in_force.configuration.bounds.lease_ms();
        let fresh = self
            .fronts
            .values()
            .filter(|front| !front.report.is_witness && now < front.heard_at + lease);
        let holders: Vec<_> = fresh.collect();
        let by_configuration = holders
            .iter()
            .max_by_key(|front| front.report.configuration)?;
        let by_plan = holders.iter().max_by_key(|front| front.report.plan)?;
        Some((
            (
                by_configuration.peer.name.clone(),
                by_configuration.report.configuration,
            ),
            (by_plan.peer.name.clone(), by_plan.report.plan),
            holders.len(),
        ))
    }

    /// The newest epoch of which a front reported that it holds a value.
    pub fn fronts_epoch(&self) -> u64 {
        let fronts = self.fronts.values();
        let notified = fronts.filter(|front| !front.report.is_witness);
        let epochs = notified.map(|front| {
            front
                .report
                .configuration
                .epoch
                .max(front.report.plan.epoch)
        });
        epochs.max().unwrap_or(0)
    }

    /// What fronts hold of earlier epochs; `Err` where they hold something that was not reported yet.
    fn gather(&mut self, net: &mut Net) -> Result<Option<GatewayEvidence>, ()> {
        let Some((configuration, plan, count)) = self.holders(net.now) else {
            return Ok(None);
        };
        let epoch = configuration.1.epoch.max(plan.1.epoch);
        if epoch == 0 {
            return Ok(None);
        }
        let found = &self.found;
        let has_configuration = found
            .configuration
            .as_ref()
            .is_some_and(|update| update.version >= configuration.1);
        let has_plan = found
            .plan
            .as_ref()
            .is_some_and(|update| update.version >= plan.1);
        if !has_configuration || !has_plan {
            for name in [configuration.0, plan.0] {
                let ask = PeerMessage::AwaitUpdate {
                    configuration: Version::default(),
                    plan: Version::default(),
                    wants_certain: false,
                };
                let packet = self.packet(GATHER, ask);
                net.send(&self.peer.name, &name, packet);
            }
            return Err(());
        }
        let membership = found
            .plan
            .as_ref()
            .map_or(0, |update| update.plan.membership.len());
        let is_majority = GatewayEvidence::is_sufficient(count, membership, self.seeds.len());
        Ok(Some(GatewayEvidence { epoch, is_majority }))
    }

    /// A front tells what it holds.
    pub fn on_update(&mut self, update: StateUpdate) {
        let found = &mut self.found;
        let known = found
            .configuration
            .as_ref()
            .map_or(Version::default(), |update| update.version);
        if update
            .configuration
            .as_ref()
            .is_some_and(|update| update.version > known)
        {
            found.configuration = update.configuration;
        }
        let known = found
            .plan
            .as_ref()
            .map_or(Version::default(), |update| update.version);
        if update
            .plan
            .as_ref()
            .is_some_and(|update| update.version > known)
        {
            found.plan = update.plan;
        }
    }

    /// Takes the next step of an epoch's founding.
    pub fn advance_founding(&mut self, net: &mut Net, oracle: &mut Oracle, heard: &[PeerStatus]) {
        let is_empty = heard.iter().all(|one| one.set.epoch == 0);
        let held = if is_empty {
            match self.gather(net) {
                Ok(held) => held,
                Err(()) => return,
            }
        } else {
            None
        };
        let bounds = self.in_force.configuration.bounds.clone();
        let is_first = self.seeds[0] == self.peer.name;
        let wall = median_wall_clock(net.wall, self.found.ahead.values().copied());
        let view = BootstrapView {
            now: net.now,
            wall,
            bounds: &bounds,
            own_disk: self.disk,
            is_first_seed: is_first,
            seeds: self.seeds.len(),
            peers: heard,
            evidence: held,
        };
        match self.found.founding.decide(&view) {
            BootstrapStep::Wait => {}
            BootstrapStep::Form {
                set,
                refused_before: floor,
            } => {
                oracle.count_case("eras founded");
                self.voter.bootstrap(set.clone(), floor);
                if !self.voter.sync() {
                    return;
                }
                for voter in &set.voters {
                    let packet = self.packet(0, PeerMessage::Form(set.clone(), floor));
                    net.send(&self.peer.name, &voter.address, packet);
                }
                self.learn_set(&set);
            }
            BootstrapStep::Resend { set, addresses } => {
                let floor = self.voter.acceptor().claim_floors().refused_before;
                for address in addresses {
                    let packet = self.packet(0, PeerMessage::Form(set.clone(), floor));
                    net.send(&self.peer.name, &address, packet);
                }
            }
        }
        let is_member = self.voter.acceptor().set().epoch == self.set.epoch;
        if is_member && self.is_blank() {
            self.start_from_fronts(net);
        }
    }

    /// Whether an epoch after a loss has not got its values back yet.
    pub fn is_blank(&self) -> bool {
        self.set.epoch > 1 && self.in_force.configuration_version.epoch < self.set.epoch
    }

    /// Gives the values that fronts hold of an earlier epoch to this one.
    fn start_from_fronts(&mut self, net: &mut Net) {
        let Ok(Some(held)) = self.gather(net) else {
            return;
        };
        let bounds = self.in_force.configuration.bounds.clone();
        let founding = &mut self.found.founding;
        if !founding.may_restore_values(net.now, &bounds, held.is_majority) {
            return;
        }
        let configuration = self.found.configuration.as_ref();
        let configuration =
            configuration.map(|update| ("blueprint", update.text.clone().into_bytes()));
        let plan = self.found.plan.as_ref();
        let plan = plan.map(|update| ("plan", update.plan.write_to_vec().unwrap_or_default()));
        for (key, bytes) in configuration.into_iter().chain(plan) {
            let change = Change::Write { expected: 0, bytes };
            self.propose(net, key, change, Purpose::Refresh);
        }
    }
}
