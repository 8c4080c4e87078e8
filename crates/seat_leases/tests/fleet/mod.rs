//! A simulated fleet of gateways in virtual time. The owners' state machines are the real ones. The gateways around them,
//! the scaler that publishes ownership tables, the network and the runners are simulated. Runners count their requests in
//! flight.
#![allow(dead_code)]

mod faults;
mod gateway;
mod network;
mod scaler;

use gateway::Gateway;
use network::{Event, Network};
use protocol::Message;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use scaler::Scaler;
use std::collections::BTreeMap;

pub const BUSY_FUNCTIONS: usize = 12;
pub const REGIONS: usize = 3;
/// Interval of a gateway's periodic work in milliseconds.
const TICK_MS: u64 = 50;
/// Range of processing times at a runner in milliseconds.
const WORK_MS: std::ops::Range<u64> = 5..90;
/// Milliseconds after the scaler starts draining a runner from which on no request should reach it.
const LATE_MS: u64 = 500;
/// Request timeout in milliseconds.
const TIMEOUT_MS: u64 = 3_000;

/// Size and configuration of the fleet.
pub struct FleetOptions {
    pub seed: u64,
    pub gateways: usize,
    pub functions: usize,
    /// Whether the ownership table is binding. Otherwise each gateway treats the members it can reach as owners.
    pub is_agreed: bool,
}

/// A runner. It accepts every request and records if its quota is exceeded.
pub struct Runner {
    pub quota: u32,
    pub in_flight: u32,
    /// Time at which the scaler started draining it; `None` while it is serving.
    pub draining_since: Option<u64>,
}

/// Counts of request outcomes.
#[derive(Debug, Default)]
pub struct Outcomes {
    pub arrived: u64,
    pub served: u64,
    pub rejected: u64,
    pub timed_out: u64,
    /// Requests sent to a runner that had already reached its quota.
    pub over_quota: u64,
    /// Requests that a gateway relayed to the owner for another gateway.
    pub relayed: u64,
    /// Requests sent to a runner more than `LATE_MS` after it started draining.
    pub late: u64,
    /// Latest arrival time of a request that timed out.
    pub last_timed_out_arrival: u64,
}

pub struct Fleet {
    pub now: u64,
    pub random: StdRng,
    pub outcomes: Outcomes,
    pub network: Network,
    pub scaler: Scaler,
    pub gateways: Vec<Gateway>,
    pub runners: BTreeMap<String, Runner>,
    functions: usize,
}

impl Fleet {
    pub fn new(options: &FleetOptions) -> Self {
        let mut random = StdRng::seed_from_u64(options.seed);
        let gateways = (0..options.gateways).map(Gateway::new).collect();
        let mut runners = BTreeMap::new();
        for function in 0..options.functions {
            let is_busy = function < BUSY_FUNCTIONS;
            let count = if is_busy {
                3
            } else {
                random.random_range(1..=3)
            };
            for number in 0..count {
                // Functions that get most of the requests have enough seats for them.
                let quota = match is_busy {
                    true => 16,
                    false => [1, 1, 2, 4, 8][random.random_range(0..5)],
                };
                let runner = Runner {
                    quota,
                    in_flight: 0,
                    draining_since: None,
                };
                runners.insert(runner_id(function, number), runner);
            }
        }
        let mut fleet = Self {
            now: 0,
            random,
            outcomes: Outcomes::default(),
            network: Network::default(),
            scaler: Scaler::new(options.gateways, options.is_agreed),
            gateways,
            runners,
            functions: options.functions,
        };
        for index in 0..options.gateways {
            let at = fleet.random.random_range(0..TICK_MS);
            fleet.network.schedule(at, Event::Tick(index, 1));
        }
        fleet.publish();
        fleet
    }

    /// Runs the fleet until a given time, with this rate of client requests over all gateways.
    pub fn run_until(&mut self, until: u64, requests_per_second: f64) {
        let mut next_arrival = self.now as f64;
        loop {
            next_arrival += self.random.random_range(0.0..2.0) * 1_000.0 / requests_per_second;
            let arrives_at = next_arrival as u64;
            self.handle_events(arrives_at.min(until));
            if arrives_at >= until {
                self.now = until;
                return;
            }
            self.now = arrives_at;
            self.client_request();
        }
    }

    fn handle_events(&mut self, until: u64) {
        while let Some((at, event)) = self.network.pop_until(until) {
            self.now = self.now.max(at);
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(index, incarnation) => self.tick(index, incarnation),
            Event::Deliver {
                from,
                to,
                link,
                message,
            } => self.deliver(from, to, link, message),
            Event::Table {
                to,
                incarnation,
                table,
            } => self.table_received(to, incarnation, table),
            Event::Update {
                to,
                incarnation,
                update,
            } => self.update_received(to, incarnation, update),
            Event::WorkDone {
                runner,
                gateway,
                incarnation,
                request,
            } => self.work_done(&runner, gateway, incarnation, request),
            Event::LinkLost {
                at,
                peer,
                incarnation,
            } => {
                if self.gateways[at].incarnation == incarnation {
                    self.link_lost(at, peer);
                }
            }
            Event::ScalerLink { gateway, is_linked } => self.set_linked(gateway, is_linked),
            Event::Suspicion { gateway } => self.check_suspicion(gateway),
        }
    }

    /// Numbers of leases and waiting requests at all owners that are up.
    pub fn usage(&self) -> (u64, u64) {
        let up = self.gateways.iter();
        let up = up.filter(|gateway| gateway.health == gateway::Health::Up);
        let usages = up.map(|gateway| gateway.owner.usage());
        usages.fold((0, 0), |(leased, waiting), usage| {
            (leased + usage.leased, waiting + usage.waiting)
        })
    }

    fn client_request(&mut self) {
        let index = self.random.random_range(0..self.gateways.len());
        // A few functions get most of the requests.
        let skewed = self.random.random_range(0.0..1.0f64).powi(3);
        let function = (skewed * self.functions as f64) as usize;
        if self.gateways[index].serves_clients() {
            self.outcomes.arrived += 1;
            self.admit(index, function);
        }
    }

    /// Sends a message to another gateway. If the recipient is down, the sender learns that the link is lost.
    pub fn send(&mut self, from: usize, to: usize, message: Message) {
        let delay = self.delay(from, to);
        if self.gateways[to].health == gateway::Health::Down {
            let incarnation = self.gateways[from].incarnation;
            let event = Event::LinkLost {
                at: from,
                peer: to,
                incarnation,
            };
            self.network.schedule(self.now + delay, event);
            return;
        }
        self.network.send(self.now, delay, from, to, message);
    }

    fn delay(&mut self, from: usize, to: usize) -> u64 {
        let is_near = from % REGIONS == to % REGIONS;
        match is_near {
            true => self.random.random_range(1..4),
            false => self.random.random_range(8..40),
        }
    }
}

pub fn runner_id(function: usize, number: usize) -> String {
    format!("r{function}-{number}")
}

pub fn function_name(function: usize) -> String {
    format!("f{function}")
}

pub fn gateway_name(index: usize) -> String {
    format!("gw-{index:03}")
}

pub fn index_of(name: &str) -> usize {
    name.trim_start_matches("gw-").parse().unwrap()
}
