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

/// Packet number of the requests for the values that fronts hold.
pub(crate) const EVIDENCE_REQUEST: u64 = 3;

/// A core's progress in bootstrapping an epoch.
#[derive(Default)]
pub(crate) struct BootstrapState {
    decision: Bootstrap,
    configuration: Option<ConfigurationUpdate>,
    plan: Option<PlanUpdate>,
    /// How far each front's wall clock is ahead of this core's, in milliseconds.
    clock_offsets_ms: BTreeMap<String, i64>,
}

impl BootstrapState {
    /// Records how far a front's reported wall clock is ahead of this core's.
    pub fn record_clock_offset(&mut self, front: &str, clock_offset_ms: i64) {
        self.clock_offsets_ms
            .insert(front.to_string(), clock_offset_ms);
    }
}

/// A front and the version that it holds.
type Holder = (String, Version);

impl CoreNode {
    /// From the fronts' recent reports: the holder of the newest configuration, the holder of the newest plan,
    /// and the number of fronts that reported.
    fn newest_holders(&self, now: u64) -> Option<(Holder, Holder, usize)> {
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

    /// The newest epoch of any value that a front has reported to hold.
    pub fn fronts_epoch(&self) -> u64 {
        let fronts = self.fronts.values();
        let reporting_fronts = fronts.filter(|front| !front.report.is_witness);
        let epochs = reporting_fronts.map(|front| {
            front
                .report
                .configuration
                .epoch
                .max(front.report.plan.epoch)
        });
        epochs.max().unwrap_or(0)
    }

    /// The fronts' evidence of earlier epochs. Returns `Err` while values that fronts hold are still to be fetched.
    fn gather_evidence(&mut self, net: &mut Net) -> Result<Option<GatewayEvidence>, ()> {
        let Some((configuration, plan, count)) = self.newest_holders(net.now) else {
            return Ok(None);
        };
        let epoch = configuration.1.epoch.max(plan.1.epoch);
        if epoch == 0 {
            return Ok(None);
        }
        let state = &self.bootstrap;
        let has_configuration = state
            .configuration
            .as_ref()
            .is_some_and(|update| update.version >= configuration.1);
        let has_plan = state
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
                let packet = self.packet(EVIDENCE_REQUEST, ask);
                net.send(&self.peer.name, &name, packet);
            }
            return Err(());
        }
        let membership = state
            .plan
            .as_ref()
            .map_or(0, |update| update.plan.membership.len());
        let is_majority = GatewayEvidence::is_sufficient(count, membership, self.seeds.len());
        Ok(Some(GatewayEvidence { epoch, is_majority }))
    }

    /// Keeps the newest configuration and plan that fronts have sent.
    pub fn on_update(&mut self, update: StateUpdate) {
        let state = &mut self.bootstrap;
        let known = state
            .configuration
            .as_ref()
            .map_or(Version::default(), |update| update.version);
        if update
            .configuration
            .as_ref()
            .is_some_and(|update| update.version > known)
        {
            state.configuration = update.configuration;
        }
        let known = state
            .plan
            .as_ref()
            .map_or(Version::default(), |update| update.version);
        if update
            .plan
            .as_ref()
            .is_some_and(|update| update.version > known)
        {
            state.plan = update.plan;
        }
    }

    /// Takes the next step in bootstrapping an epoch.
    pub fn advance_bootstrap(
        &mut self,
        net: &mut Net,
        oracle: &mut Oracle,
        peer_statuses: &[PeerStatus],
    ) {
        let is_empty = peer_statuses.iter().all(|one| one.set.epoch == 0);
        let gateway_evidence = if is_empty {
            match self.gather_evidence(net) {
                Ok(gateway_evidence) => gateway_evidence,
                Err(()) => return,
            }
        } else {
            None
        };
        let bounds = self.in_force.configuration.bounds.clone();
        let is_first = self.seeds[0] == self.peer.name;
        let wall = median_wall_clock(net.wall, self.bootstrap.clock_offsets_ms.values().copied());
        let view = BootstrapView {
            now: net.now,
            wall,
            bounds: &bounds,
            own_disk: self.disk,
            is_first_seed: is_first,
            seeds: self.seeds.len(),
            peers: peer_statuses,
            evidence: gateway_evidence,
        };
        match self.bootstrap.decision.decide(&view) {
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
        if is_member && self.awaits_restored_values() {
            self.restore_values_from_fronts(net);
        }
    }

    /// Whether a new epoch has started after a loss of all disks and its values are not restored yet.
    pub fn awaits_restored_values(&self) -> bool {
        self.set.epoch > 1 && self.in_force.configuration_version.epoch < self.set.epoch
    }

    /// Writes the values that fronts hold from an earlier epoch into this one.
    fn restore_values_from_fronts(&mut self, net: &mut Net) {
        let Ok(Some(gateway_evidence)) = self.gather_evidence(net) else {
            return;
        };
        let bounds = self.in_force.configuration.bounds.clone();
        let decision = &mut self.bootstrap.decision;
        if !decision.may_restore_values(net.now, &bounds, gateway_evidence.is_majority) {
            return;
        }
        let configuration = self.bootstrap.configuration.as_ref();
        let configuration =
            configuration.map(|update| ("blueprint", update.text.clone().into_bytes()));
        let plan = self.bootstrap.plan.as_ref();
        let plan = plan.map(|update| ("plan", update.plan.write_to_vec().unwrap_or_default()));
        for (key, bytes) in configuration.into_iter().chain(plan) {
            let change = Change::Write { expected: 0, bytes };
            self.propose(net, key, change, Purpose::Refresh);
        }
    }
}
