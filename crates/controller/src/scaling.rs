use crate::controller::Controller;
use crate::options::FencingToken;
use crate::scaling_calls::PlatformCalls;
use autoscaler::{Autoscaler, AutoscalerOptions, RunnerCommand, RunnerListing};
use protocol::{frame, FunctionReport, Member, Message};
use std::collections::{BTreeMap, BTreeSet};

/// What the holder of the duty to scale knows. All of it is learnt anew by the next holder.
#[derive(Default)]
pub(crate) struct Scaling {
    pub term: u64,
    pub autoscaler: Option<Autoscaler>,
    pub calls: PlatformCalls,
    pub pages: Vec<RunnerListing>,
    pub listed_at: u64,
    pub is_listing: bool,
    pub workers_at: u64,
    pub stopping: BTreeSet<String>,
    roster: Vec<Member>,
    roster_no: u64,
    untold: BTreeSet<String>,
    keepers: BTreeMap<String, String>,
    began_at: u64,
}

impl Scaling {
    /// A gateway that came anew is told the roster with the next turn.
    pub fn tell_roster_to(&mut self, name: &str) {
        self.untold.insert(name.into());
    }

    pub fn forget_gateway(&mut self, name: &str) {
        if let Some(autoscaler) = self.autoscaler.as_mut() {
            autoscaler.remove_owner(name);
        }
    }
}

impl Controller {
    /// Takes up or lays down the duty, and does what it asks for.
    pub fn tend_scaling(&mut self) {
        let term = self.consensus.role_term(self.now);
        let Some(term) = term else {
            if self.scaling.autoscaler.is_some() {
                log::info!("scaler: laid down, term {} is over", self.scaling.term);
                self.lay_down();
            }
            return;
        };
        if term != self.scaling.term || self.scaling.autoscaler.is_none() {
            self.take_up(term);
        }
        self.tend_roster();
        self.tend_lists();
        if let Some(autoscaler) = self.scaling.autoscaler.as_mut() {
            autoscaler.tick(self.now);
        }
        self.carry_out();
        self.tend_calls();
    }

    fn lay_down(&mut self) {
        self.scaling.autoscaler = None;
        self.scaling.pages.clear();
        self.scaling.is_listing = false;
        self.scaling.stopping.clear();
        self.drop_calls();
    }

    fn take_up(&mut self, term: u64) {
        self.lay_down();
        let options = AutoscalerOptions {
            list_lag_ms: self.options.list_lag_ms,
            drain_ms: self.options.drain_ms,
            commands_per_s: self.options.starts_per_second,
            nonce_prefix: format!("{term:x}"),
            term,
            ..AutoscalerOptions::default()
        };
        self.scaling.term = term;
        self.scaling.autoscaler = Some(Autoscaler::new(options, self.now));
        self.scaling.roster.clear();
        self.scaling.roster_no = 0;
        self.scaling.listed_at = 0;
        self.scaling.workers_at = 0;
        self.scaling.began_at = self.now;
        self.describe_scaling();
        self.close_scaling();
        self.heartbeat_gateways(true);
    }

    /// The description is another one than before.
    pub fn describe_scaling(&mut self) {
        let Some(autoscaler) = self.scaling.autoscaler.as_mut() else {
            return;
        };
        if self.kept.version > 0 {
            let documents = self.options.operator_codec.documents();
            match documents.parse(&self.kept.document().unwrap_or_default()) {
                Ok(description) => autoscaler.apply_configuration(self.now, &description),
                Err(fault) => log::error!("scaler: the description cannot be read: {fault}"),
            }
        }
    }

    /// The closed districts may be others than before.
    pub fn close_scaling(&mut self) {
        if let Some(autoscaler) = self.scaling.autoscaler.as_mut() {
            let closed = self.closures.zones.iter().cloned().collect();
            autoscaler.set_evacuated_zones(self.now, &closed);
        }
        self.carry_out();
    }

    /// Gateways that are there keep functions; who they are is told to all when it changes.
    fn tend_roster(&mut self) {
        // Gateways that have not found this controller yet are waited for a little while.
        let is_early = self.now < self.scaling.began_at + self.options.heartbeat_ms();
        let members = self.gateways.known.values();
        let members = members.map(|gateway| &gateway.member);
        let is_other = !members.clone().eq(&self.scaling.roster);
        if is_other && !(is_early && self.scaling.roster_no == 0) {
            self.scaling.roster = members.cloned().collect();
            self.scaling.roster_no += 1;
            self.scaling.untold = self.gateways.known.keys().cloned().collect();
        }
        if self.scaling.roster_no == 0 || self.scaling.untold.is_empty() {
            return;
        }
        let roster = frame(&Message::GatewayMembership {
            version: (self.scaling.term, self.scaling.roster_no),
            members: self.scaling.roster.clone(),
        });
        for name in std::mem::take(&mut self.scaling.untold) {
            self.gateways.tell_frame(&name, &roster);
        }
    }

    /// Keepers tell about their functions.
    pub fn take_reports(&mut self, name: &str, reports: &[FunctionReport]) {
        let incarnation = self
            .gateways
            .known
            .get(name)
            .map(|one| one.member.incarnation);
        let incarnation = format!("{:x}", incarnation.unwrap_or(0));
        let Some(autoscaler) = self.scaling.autoscaler.as_mut() else {
            return;
        };
        // Counters begin anew with each life of a keeper.
        let known = self
            .scaling
            .keepers
            .insert(name.into(), incarnation.clone());
        if known.is_some_and(|known| known != incarnation) {
            autoscaler.remove_owner(name);
        }
        for report in reports {
            autoscaler.handle_report(self.now, name, report);
            let (term, number) = autoscaler.update_version(&report.function);
            if term > 0 && number != report.update_number {
                let news = autoscaler.update_for(&report.function, self.now);
                self.gateways
                    .tell(name, &Message::FunctionUpdates(vec![news]));
            }
        }
        self.carry_out();
    }

    /// Gives the autoscaler's commands to the platform and its news to the keepers.
    pub fn carry_out(&mut self) {
        let Some(autoscaler) = self.scaling.autoscaler.as_mut() else {
            return;
        };
        let commands = autoscaler.take_commands();
        let news = autoscaler.take_updates();
        for command in commands {
            self.give(command);
        }
        let mut by_keeper: BTreeMap<String, Vec<protocol::FunctionUpdate>> = BTreeMap::new();
        for one in news {
            let keeper = seat_leases::select_owner(&one.function, &self.scaling.roster, |_| true);
            if let Some(keeper) = keeper {
                by_keeper.entry(keeper.name.clone()).or_default().push(one);
            }
        }
        for (name, news) in by_keeper {
            self.gateways.tell(&name, &Message::FunctionUpdates(news));
        }
    }

    fn give(&mut self, command: RunnerCommand) {
        let name = self.options.name.clone();
        let fence = FencingToken {
            holder: &name,
            term: self.scaling.term,
        };
        let codec = &self.options.platform_codec;
        match command {
            RunnerCommand::Start {
                function,
                worker,
                nonce,
            } => {
                let call = codec.start(&function, &worker, &nonce, fence);
                self.call_platform(call, crate::scaling_calls::Purpose::Start(nonce));
            }
            RunnerCommand::Stop { id } => {
                let call = codec.stop(&id, fence);
                self.call_platform(call, crate::scaling_calls::Purpose::Stop(id));
            }
        }
    }

    fn tend_lists(&mut self) {
        let every = self.options.list_every_ms();
        let now = self.now;
        let is_due = |at: u64| at == 0 || now >= at + every;
        if is_due(self.scaling.workers_at) {
            self.scaling.workers_at = self.now.max(1);
            let call = self.options.platform_codec.list_workers();
            self.call_platform(call, crate::scaling_calls::Purpose::Workers);
        }
        if is_due(self.scaling.listed_at) && !self.scaling.is_listing {
            self.scaling.listed_at = self.now.max(1);
            self.scaling.is_listing = true;
            self.scaling.pages.clear();
            let call = self.options.platform_codec.list_runners(None);
            self.call_platform(call, crate::scaling_calls::Purpose::Runners);
        }
    }
}
