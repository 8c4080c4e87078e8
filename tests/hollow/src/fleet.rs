//! Keepers and scaler together in virtual time: what each role spends and sends at a size.

use crate::fleet_tables::print_figures;
use crate::meter::{cpu_ns, timed};
use crate::scaler;
use crate::synthetic_site::{self, Mix};
use autoscaler::{Autoscaler, RunnerCommand, RunnerListing, StartedRunner};
use protocol::{
    frame, FrameReader, LeaseOutcome, LeaseRelease, LeaseRequest, Member, Message, RequestId,
    UpdateVersion,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use seat_leases::{LeaseAction, LeaseOwner};
use std::collections::{BTreeMap, HashMap};

const STEP_MS: u64 = 50;
const LIST_MS: u64 = 1_250;

#[derive(Clone, Copy, Default)]
pub(crate) struct Flow {
    pub messages: u64,
    pub bytes: u64,
}

#[derive(Default)]
pub(crate) struct Gateway {
    pub owner: LeaseOwner,
    pub cpu: u64,
    pub in_bytes: u64,
    pub report_bytes: u64,
    pub lease_requests: u64,
    inbox: Vec<(usize, Message)>,
}

#[derive(Default)]
pub(crate) struct Sums {
    pub flows: BTreeMap<&'static str, Flow>,
    pub electing: u64,
    pub ticking: u64,
    pub longest_tick: u64,
    pub reporting: u64,
    pub listing: u64,
    pub carrying_out: u64,
    pub calls: u64,
    pub refused: u64,
    pub starts: u64,
    pub stops: u64,
}

impl Sums {
    fn count(&mut self, name: &'static str, message: &Message) -> u64 {
        let bytes = frame(message).len() as u64;
        let flow = self.flows.entry(name).or_default();
        flow.messages += 1;
        flow.bytes += bytes;
        bytes
    }
}

pub(crate) struct SimulatedFleet {
    now: u64,
    random: StdRng,
    pub mix: Mix,
    pub service_time_ms: u64,
    members: Vec<Member>,
    places: HashMap<String, usize>,
    pub gateways: Vec<Gateway>,
    pub autoscaler: Autoscaler,
    pub listed: BTreeMap<String, RunnerListing>,
    last_runner_index: usize,
    last_request_id: u64,
    held: BTreeMap<u64, Vec<(usize, usize, u64)>>,
    pub sums: Sums,
}

impl SimulatedFleet {
    fn new(gateways: usize, functions: usize, instances: usize, calls: f64) -> Self {
        let members = synthetic_site::members(gateways);
        let names = members.iter().enumerate();
        let mix = Mix::new(functions, calls);
        let workers = synthetic_site::workers(instances);
        let mut listed = BTreeMap::new();
        let mut last_runner_index = 0;
        for function in 0..mix.hot {
            let share = instances as f64 * mix.rate(function) / calls;
            for _ in 0..(share.round() as usize).max(1) {
                let listing = synthetic_site::listing(last_runner_index, function, &workers);
                listed.insert(listing.id.clone(), listing);
                last_runner_index += 1;
            }
        }
        let mut autoscaler = Autoscaler::new(scaler::options(), 0);
        autoscaler.apply_configuration(0, &synthetic_site::configuration_of(functions));
        autoscaler.update_workers(0, workers);
        autoscaler.update_runners(0, listed.values().cloned().collect());
        Self {
            now: 0,
            random: StdRng::seed_from_u64(7),
            service_time_ms: (650.0 * instances as f64 / calls) as u64,
            places: names
                .map(|(place, one)| (one.name.clone(), place))
                .collect(),
            gateways: (0..gateways).map(|_| Gateway::default()).collect(),
            members,
            mix,
            autoscaler,
            listed,
            last_runner_index,
            last_request_id: 0,
            held: BTreeMap::new(),
            sums: Sums::default(),
        }
    }

    fn elect(&mut self, function: usize) -> usize {
        let name = synthetic_site::function_name(function);
        let member = timed(&mut self.sums.electing, || {
            seat_leases::select_owner(&name, &self.members, |_| true)
        });
        member.map_or(0, |member| self.places[&member.name])
    }

    /// Carriers: seats given back, and bids for calls that come in within a step.
    fn carry(&mut self) {
        let later = self.held.split_off(&(self.now + 1));
        for (carrier, owner, request_id) in std::mem::replace(&mut self.held, later)
            .into_values()
            .flatten()
        {
            let took_ms = self.service_time_ms as u32;
            let message = Message::LeaseRelease(LeaseRelease {
                request_id: RequestId(request_id),
                outcome: LeaseOutcome::Succeeded,
                duration_ms: took_ms,
            });
            self.gateways[owner].in_bytes += self.sums.count("Release", &message);
            self.gateways[owner].inbox.push((carrier, message));
        }
        let calls = self.mix.calls_per_s * STEP_MS as f64 / 1e3;
        let calls = calls as u64 + u64::from(self.random.random::<f64>() < calls.fract());
        for _ in 0..calls {
            let function = self.mix.draw(self.random.random());
            let carrier = self.random.random_range(0..self.gateways.len());
            let owner = self.elect(function);
            self.last_request_id += 1;
            let message = Message::LeaseRequest(LeaseRequest {
                request_id: RequestId(self.last_request_id),
                function: synthetic_site::function_name(function),
                priority: 1,
                timeout_ms: 6_000,
                excluded_runners: Vec::new(),
                job: None,
            });
            self.gateways[owner].in_bytes += self.sums.count("Bid", &message);
            self.gateways[owner].lease_requests += 1;
            self.gateways[owner].inbox.push((carrier, message));
            self.sums.calls += 1;
        }
    }

    /// Keepers take what came, tick and say what is to be done.
    fn keep(&mut self) {
        let now = self.now;
        for place in 0..self.gateways.len() {
            let gateway = &mut self.gateways[place];
            let inbox: Vec<(usize, Vec<u8>)> = std::mem::take(&mut gateway.inbox)
                .into_iter()
                .map(|(from, message)| (from, frame(&message)))
                .collect();
            let members = &self.members;
            let owner = &mut gateway.owner;
            let actions = timed(&mut gateway.cpu, || {
                for (from, bytes) in inbox {
                    let member = &members[from];
                    match FrameReader::new(&bytes).read() {
                        Ok(Some(Message::LeaseRequest(lease_request))) => {
                            owner.request_lease(now, &member.name, &member.zone, lease_request);
                        }
                        Ok(Some(Message::LeaseRelease(release))) => {
                            owner.release(now, &member.name, &release);
                        }
                        _ => {}
                    }
                }
                owner.tick(now);
                owner.take_actions()
            });
            self.run_actions(place, actions);
        }
    }

    fn run_actions(&mut self, owner: usize, actions: Vec<LeaseAction>) {
        for action in actions {
            match action {
                LeaseAction::Lease {
                    gateway,
                    lease: grant,
                } => {
                    let ends_at = self.now + self.service_time_ms.max(1);
                    let held = (self.places[&gateway], owner, grant.request_id.0);
                    self.held.entry(ends_at).or_default().push(held);
                    let message = Message::SeatLease(grant);
                    timed(&mut self.gateways[owner].cpu, || frame(&message).len());
                    self.sums.count("Grant", &message);
                }
                LeaseAction::Reject {
                    request_id,
                    retry_after_ms,
                    ..
                } => {
                    self.sums.refused += 1;
                    let message = Message::Reject {
                        request_id,
                        retry_after_ms,
                    };
                    self.sums.count("Refuse", &message);
                }
                LeaseAction::Probe {
                    function, runner, ..
                } => {
                    let now = self.now;
                    let gateway = &mut self.gateways[owner];
                    timed(&mut gateway.cpu, || {
                        gateway.owner.record_probe(now, &function, &runner, true)
                    });
                }
            }
        }
    }

    fn report(&mut self, is_all: bool) {
        let now = self.now;
        for place in 0..self.gateways.len() {
            let gateway = &mut self.gateways[place];
            let owner = &mut gateway.owner;
            let (reports, bytes) = timed(&mut gateway.cpu, || {
                let reports = owner.reports(now, is_all);
                let message = Message::FunctionReports(reports);
                let bytes = frame(&message);
                let Message::FunctionReports(reports) = message else {
                    return (Vec::new(), bytes);
                };
                (reports, bytes)
            });
            if reports.is_empty() {
                continue;
            }
            gateway.report_bytes += bytes.len() as u64;
            let flow = self.sums.flows.entry("Report").or_default();
            flow.messages += 1;
            flow.bytes += bytes.len() as u64;
            let name = self.members[place].name.clone();
            self.take_reports(place, &name, &bytes);
        }
    }

    fn take_reports(&mut self, place: usize, name: &str, bytes: &[u8]) {
        let now = self.now;
        let autoscaler = &mut self.autoscaler;
        let update = timed(&mut self.sums.reporting, || {
            let mut notified = Vec::new();
            let read: Option<Message> = FrameReader::new(bytes).read().ok().flatten();
            let Some(Message::FunctionReports(reports)) = read else {
                return notified;
            };
            for report in &reports {
                autoscaler.handle_report(now, name, report);
                let UpdateVersion { term, number } = autoscaler.update_version(&report.function);
                if term > 0 && number != report.update_number {
                    notified.push(autoscaler.update_for(&report.function, now));
                }
            }
            notified
        });
        for one in update {
            self.notify(place, one);
        }
        self.carry_out();
    }

    fn notify(&mut self, place: usize, update: protocol::FunctionUpdate) {
        let message = Message::FunctionUpdates(vec![update]);
        self.sums.count("Runners", &message);
        let Message::FunctionUpdates(update) = message else {
            return;
        };
        let now = self.now;
        let gateway = &mut self.gateways[place];
        timed(&mut gateway.cpu, || {
            update
                .into_iter()
                .for_each(|one| gateway.owner.update_runners(now, one));
        });
    }

    /// The platform does commands at once; owners hear updates.
    fn carry_out(&mut self) {
        let autoscaler = &mut self.autoscaler;
        let members = &self.members;
        let (commands, update) = timed(&mut self.sums.carrying_out, || {
            let commands = autoscaler.take_commands();
            let update = autoscaler.take_updates().into_iter();
            let update = update.map(|one| {
                let owner = seat_leases::select_owner(&one.function, members, |_| true);
                (owner.map_or(String::new(), |owner| owner.name.clone()), one)
            });
            (commands, update.collect::<Vec<_>>())
        });
        for command in commands {
            self.obey(command);
        }
        for (owner, one) in update {
            if let Some(place) = self.places.get(&owner).copied() {
                self.notify(place, one);
            }
        }
    }

    fn obey(&mut self, command: RunnerCommand) {
        let now = self.now;
        match command {
            RunnerCommand::Start {
                function,
                worker,
                nonce,
            } => {
                self.sums.starts += 1;
                let (id, address) = (
                    synthetic_site::instance_id(self.last_runner_index),
                    synthetic_site::address(self.last_runner_index),
                );
                self.last_runner_index += 1;
                let listing = RunnerListing {
                    id: id.clone(),
                    function,
                    address: address.clone(),
                    zone: synthetic_site::zone(self.last_runner_index).to_string(),
                    worker,
                    capacity: 1,
                    is_terminating: false,
                };
                self.listed.insert(id.clone(), listing);
                self.autoscaler
                    .handle_start_result(now, &nonce, Ok(StartedRunner { id, address }));
            }
            RunnerCommand::Stop { id } => {
                self.sums.stops += 1;
                self.listed.remove(&id);
                self.autoscaler.handle_stop_result(now, &id, true);
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        self.carry();
        self.keep();
        self.report(false);
        let before = cpu_ns();
        self.autoscaler.tick(self.now);
        let spent = cpu_ns() - before;
        self.sums.ticking += spent;
        self.sums.longest_tick = self.sums.longest_tick.max(spent);
        self.carry_out();
        if self.now.is_multiple_of(LIST_MS) {
            let listings: Vec<RunnerListing> = self.listed.values().cloned().collect();
            let (now, autoscaler) = (self.now, &mut self.autoscaler);
            timed(&mut self.sums.listing, || {
                autoscaler.update_runners(now, listings)
            });
        }
    }
}

pub fn run(gateways: usize, functions: usize, instances: usize, calls: f64, seconds: u64) {
    let mut fleet = SimulatedFleet::new(gateways, functions, instances, calls);
    fleet.carry_out();
    fleet.report(true);
    (0..seconds * 1_000 / STEP_MS).for_each(|_| fleet.step());
    fleet.sums = Sums::default();
    for gateway in &mut fleet.gateways {
        (
            gateway.cpu,
            gateway.lease_requests,
            gateway.in_bytes,
            gateway.report_bytes,
        ) = (0, 0, 0, 0);
    }
    (0..seconds * 1_000 / STEP_MS).for_each(|_| fleet.step());
    print_figures(fleet, seconds as f64);
}
