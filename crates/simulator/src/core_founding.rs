use crate::core_node::{CoreNode, Purpose};
use crate::net::Net;
use crate::oracle::Oracle;
use configuration::Version;
use register::Change;
use speedy::Writable;
use std::collections::BTreeMap;
use transport::{BlueprintNews, Message, News, PlanNews};
use voter::{median_wall_clock, Bootstrap, BootstrapStep, GatewayEvidence, PeerStatus};

/// Numbers of questions for what fronts hold.
pub(crate) const GATHER: u64 = 3;

/// An era's beginning at a core, as far as it has come.
#[derive(Default)]
pub(crate) struct Found {
    founding: Bootstrap,
    blueprint: Option<BlueprintNews>,
    plan: Option<PlanNews>,
    /// How far each front's wall clock is ahead of this core's.
    ahead: BTreeMap<String, i64>,
}

impl Found {
    /// A front told its wall clock.
    pub fn note_clock(&mut self, front: &str, ahead: i64) {
        self.ahead.insert(front.to_string(), ahead);
    }
}

/// A front and the version that it holds.
type Holder = (String, Version);

impl CoreNode {
    /// What fronts said lately: who holds the newest blueprint, who the newest plan, and how many spoke.
    fn holders(&self, now: u64) -> Option<(Holder, Holder, usize)> {
        let lease = self.in_force.blueprint.bounds.lease_ms();
        let fresh = self
            .fronts
            .values()
            .filter(|front| !front.report.is_witness && now < front.heard_at + lease);
        let holders: Vec<_> = fresh.collect();
        let by_blueprint = holders.iter().max_by_key(|front| front.report.blueprint)?;
        let by_plan = holders.iter().max_by_key(|front| front.report.plan)?;
        Some((
            (
                by_blueprint.peer.name.clone(),
                by_blueprint.report.blueprint,
            ),
            (by_plan.peer.name.clone(), by_plan.report.plan),
            holders.len(),
        ))
    }

    /// The newest era of which a front told this core that it holds a value.
    pub fn fronts_era(&self) -> u64 {
        let fronts = self.fronts.values();
        let told = fronts.filter(|front| !front.report.is_witness);
        let eras = told.map(|front| front.report.blueprint.era.max(front.report.plan.era));
        eras.max().unwrap_or(0)
    }

    /// What fronts hold of earlier eras; `Err` where they hold something that was not told yet.
    fn gather(&mut self, net: &mut Net) -> Result<Option<GatewayEvidence>, ()> {
        let Some((blueprint, plan, count)) = self.holders(net.now) else {
            return Ok(None);
        };
        let era = blueprint.1.era.max(plan.1.era);
        if era == 0 {
            return Ok(None);
        }
        let found = &self.found;
        let has_blueprint = found
            .blueprint
            .as_ref()
            .is_some_and(|news| news.version >= blueprint.1);
        let has_plan = found
            .plan
            .as_ref()
            .is_some_and(|news| news.version >= plan.1);
        if !has_blueprint || !has_plan {
            for name in [blueprint.0, plan.0] {
                let ask = Message::Ask {
                    blueprint: Version::default(),
                    plan: Version::default(),
                    wants_certain: false,
                };
                let parcel = self.parcel(GATHER, ask);
                net.send(&self.peer.name, &name, parcel);
            }
            return Err(());
        }
        let roster = found.plan.as_ref().map_or(0, |news| news.plan.roster.len());
        let is_majority = GatewayEvidence::is_sufficient(count, roster, self.seeds.len());
        Ok(Some(GatewayEvidence {
            epoch: era,
            is_majority,
        }))
    }

    /// A front tells what it holds.
    pub fn on_news(&mut self, news: News) {
        let found = &mut self.found;
        let known = found
            .blueprint
            .as_ref()
            .map_or(Version::default(), |news| news.version);
        if news
            .blueprint
            .as_ref()
            .is_some_and(|news| news.version > known)
        {
            found.blueprint = news.blueprint;
        }
        let known = found
            .plan
            .as_ref()
            .map_or(Version::default(), |news| news.version);
        if news.plan.as_ref().is_some_and(|news| news.version > known) {
            found.plan = news.plan;
        }
    }

    /// Takes the next step of an era's founding.
    pub fn tend_founding(&mut self, net: &mut Net, oracle: &mut Oracle, heard: &[PeerStatus]) {
        let is_empty = heard.iter().all(|one| one.set.epoch == 0);
        let held = if is_empty {
            match self.gather(net) {
                Ok(held) => held,
                Err(()) => return,
            }
        } else {
            None
        };
        let bounds = self.in_force.blueprint.bounds.clone();
        let is_first = self.seeds[0] == self.peer.name;
        let wall = median_wall_clock(net.wall, self.found.ahead.values().copied());
        let (now, seeds) = (net.now, self.seeds.len());
        let step = self
            .found
            .founding
            .decide(now, wall, &bounds, self.disk, is_first, seeds, heard, held);
        match step {
            BootstrapStep::Wait => {}
            BootstrapStep::Form(set, floor) => {
                oracle.look("eras founded");
                self.voter.bootstrap(set.clone(), floor);
                if !self.voter.sync() {
                    return;
                }
                for voter in &set.voters {
                    let parcel = self.parcel(0, Message::Form(set.clone(), floor));
                    net.send(&self.peer.name, &voter.address, parcel);
                }
                self.learn_set(&set);
            }
            BootstrapStep::Resend(set, addresses) => {
                let floor = self.voter.acceptor().claim_floors().refused_before;
                for address in addresses {
                    let parcel = self.parcel(0, Message::Form(set.clone(), floor));
                    net.send(&self.peer.name, &address, parcel);
                }
            }
        }
        let is_member = self.voter.acceptor().set().epoch == self.set.epoch;
        if is_member && self.is_blank() {
            self.start_from_fronts(net);
        }
    }

    /// Whether an era after a loss has not got its values back yet.
    pub fn is_blank(&self) -> bool {
        self.set.epoch > 1 && self.in_force.blueprint_version.era < self.set.epoch
    }

    /// Gives the values that fronts hold of an earlier era to this one.
    fn start_from_fronts(&mut self, net: &mut Net) {
        let Ok(Some(held)) = self.gather(net) else {
            return;
        };
        let bounds = self.in_force.blueprint.bounds.clone();
        let founding = &mut self.found.founding;
        if !founding.may_restore_values(net.now, &bounds, held.is_majority) {
            return;
        }
        let blueprint = self.found.blueprint.as_ref();
        let blueprint = blueprint.map(|news| ("blueprint", news.text.clone().into_bytes()));
        let plan = self.found.plan.as_ref();
        let plan = plan.map(|news| ("plan", news.plan.write_to_vec().unwrap_or_default()));
        for (key, bytes) in blueprint.into_iter().chain(plan) {
            let change = Change::Write { expected: 0, bytes };
            self.propose(net, key, change, Purpose::Refresh);
        }
    }
}
