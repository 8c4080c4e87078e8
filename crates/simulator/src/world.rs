use crate::config::{Config, Verdict};
use crate::core_node::CoreNode;
use crate::faults::FaultPlan;
use crate::front_node::FrontNode;
use crate::net::{CallerRequest, Clock, Event, Net, Packet, ScheduledEvent};
use crate::oracle::Oracle;
use crate::platform::SimulatedPlatform;
use crate::start::{initial_configuration, zone};
use configuration::{Configuration, PeerRef};
use journal::MemoryFolder;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use register::{Ballot, VersionedValue, VoterOperation, VoterRef, VoterRequest, VoterSet};
use scaler::Worker;
use std::collections::BTreeMap;

use transport::PeerMessage;

const TICK_MS: u64 = 100;
/// Some callers' clocks are wrong by this much.
const HOUR_MS: i64 = 3_600_000;
/// Limit of clock drift, in parts per million.
const MAX_DRIFT_PPM: i64 = 1_000;
/// More events than this in one second indicate an event loop that feeds itself.
const MAX_EVENTS: u32 = 50_000;

pub(crate) struct RunningNode {
    number: u64,
    pub is_up: bool,
    pub frozen_until: u64,
    /// Until then the disk does not respond, so the voter cannot either.
    pub stalled_until: u64,
}

/// A simulated fleet on virtual time.
pub struct World {
    config: Config,
    pub(crate) net: Net,
    pub(crate) oracle: Oracle,
    pub(crate) platform: SimulatedPlatform,
    pub(crate) fronts: BTreeMap<String, FrontNode>,
    pub(crate) cores: BTreeMap<String, CoreNode>,
    pub(crate) running_nodes: BTreeMap<String, RunningNode>,
    pub(crate) clocks: BTreeMap<String, Clock>,
    faults: FaultPlan,
    seed: u64,
    call_count: u64,
}

impl World {
    /// Creates a fleet whose entire run is determined by the seed.
    pub fn new(config: Config, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let core_names: Vec<String> = (0..3).map(|index| format!("core-{index}")).collect();
        let front_names: Vec<String> = (0..config.fronts)
            .map(|index| format!("front-{index}"))
            .collect();
        let workers: Vec<Worker> = (0..6)
            .map(|index| Worker {
                name: format!("worker-{index}"),
                zone: zone(index),
                host: format!("10.0.0.{index}"),
                memory_mb: 2_000,
                first_port: 1_000,
                ports: 200,
                is_leaving: false,
            })
            .collect();
        let worker_names: Vec<String> = workers.iter().map(|worker| worker.name.clone()).collect();
        let (from, until) = config.fault_window_ms;
        let mut faults = FaultPlan::random(
            &mut random,
            from,
            until,
            &front_names,
            &core_names,
            &worker_names,
        );
        if let Some(scripted) = &config.scripted_faults {
            faults.faults = scripted.clone();
        }
        let configuration = initial_configuration(&config);
        let text = serde_json::to_string(&configuration).unwrap_or_default();
        let voters = core_names.iter().enumerate().map(|(index, name)| VoterRef {
            disk: index as u64 + 1,
            address: name.clone(),
        });
        let set = VoterSet {
            epoch: 1,
            number: 1,
            voters: voters.collect(),
        };
        let initial_write = VoterRequest {
            set_version: set.version(),
            operation: VoterOperation::Accept {
                key: "blueprint".into(),
                ballot: Ballot {
                    counter: 1,
                    proposer: 1,
                },
                value: VersionedValue {
                    version: 1,
                    tag: 1,
                    bytes: text.into_bytes(),
                },
            },
        };
        let concurrency = configuration.function_specs.iter();
        let concurrency = concurrency
            .map(|function_spec| (function_spec.name.clone(), function_spec.concurrency))
            .collect();
        let mut world = Self {
            net: Net::new(random),
            oracle: Oracle::default(),
            platform: SimulatedPlatform::new(
                workers,
                concurrency,
                config.response_time_ms,
                config.response_loss,
            ),
            fronts: BTreeMap::new(),
            cores: BTreeMap::new(),
            running_nodes: BTreeMap::new(),
            clocks: BTreeMap::new(),
            faults,
            seed,
            call_count: 0,
            config,
        };
        world.platform.runner_fault_share = world.config.runner_fault_share;
        let names = worker_names.into_iter();
        world.platform.slowness = names.zip(world.config.slowness.clone()).collect();
        for name in core_names.iter().chain(&front_names) {
            let random = &mut world.net.random;
            let clock = Clock {
                boot_offset_ms: random.random_range(0..1_000_000),
                drift_ppm: random.random_range(-MAX_DRIFT_PPM..=MAX_DRIFT_PPM),
                wall_offset_ms: random.random_range(-200..=200),
            };
            world.clocks.insert(name.clone(), clock);
        }
        for (index, name) in core_names.iter().enumerate() {
            let peer = world.new_incarnation(name);
            let folder = MemoryFolder::default();
            let now = world.clocks[name].now(0);
            let mut core = CoreNode::new(peer, folder, index as u64 + 1, core_names.clone(), now);
            core.voter.bootstrap(set.clone(), 0);
            core.voter.handle(initial_write.clone());
            core.voter.sync();
            core.set = set.clone();
            world.cores.insert(name.clone(), core);
        }
        for (index, name) in front_names.iter().enumerate() {
            let peer = world.new_incarnation(name);
            let front = FrontNode::new(peer, &zone(index), core_names.clone());
            world.fronts.insert(name.clone(), front);
        }
        world.net.schedule(0, ScheduledEvent::PlatformTick);
        world.net.schedule(3_000, ScheduledEvent::Caller);
        for (time, fault) in world.faults.faults.clone() {
            world.net.schedule(time, ScheduledEvent::Fault(fault));
        }
        world
    }

    pub(crate) fn new_incarnation(&mut self, name: &str) -> PeerRef {
        let number = self.net.random.random_range(1..u64::MAX);
        let running_node = RunningNode {
            number,
            is_up: true,
            frozen_until: 0,
            stalled_until: 0,
        };
        self.running_nodes.insert(name.to_string(), running_node);
        let time = self.net.random_time_within(TICK_MS);
        self.net
            .schedule_at_node(time, name, number, Event::Tick(number));
        PeerRef {
            name: name.to_string(),
            incarnation: number,
        }
    }

    /// Runs until the end time and returns the verdict.
    pub fn run(mut self) -> Verdict {
        let mut since = 0;
        let mut events = 0;
        while let Some((number, scheduled_event)) = self.net.pop() {
            if self.net.now > self.config.end_ms {
                break;
            }
            if self.net.now >= since + 1_000 {
                since = self.net.now;
                events = 0;
            }
            events += 1;
            if events > MAX_EVENTS {
                let text = format!("over {MAX_EVENTS} events in the second from {since} ms");
                self.oracle.violations.push(text);
                break;
            }
            self.dispatch(number, scheduled_event);
        }
        self.into_verdict()
    }

    fn dispatch(&mut self, number: u64, scheduled_event: ScheduledEvent) {
        let now = self.net.now;
        self.oracle.now = now;
        match scheduled_event {
            ScheduledEvent::AtNode(node, incarnation, event) => {
                self.dispatch_to_node(number, node, incarnation, event)
            }
            ScheduledEvent::RunnerRequest(request) => {
                self.platform
                    .request(&mut self.net, &mut self.oracle, *request);
            }
            ScheduledEvent::Probe(front, runner, address) => {
                let is_reachable = self.platform.is_reachable(now, &address);
                let event = Event::ProbeDone(runner, is_reachable);
                self.net.schedule_at_node(now + 1, &front, 0, event);
            }
            ScheduledEvent::RunDone(run) => self.platform.on_run_done(&mut self.net, run),
            ScheduledEvent::Platform(core, incarnation, command) => {
                let (command, term) = *command;
                let result = self.platform.command(now, &command, term);
                let time = self.net.random_time_within(20);
                self.net.schedule_at_node(
                    time,
                    &core,
                    incarnation,
                    Event::CommandDone(command, result),
                );
            }
            ScheduledEvent::PlatformTick => {
                self.platform.tick(now);
                self.net.schedule(now + 200, ScheduledEvent::PlatformTick);
            }
            ScheduledEvent::Fault(fault) => self.inject_fault(fault),
            ScheduledEvent::Caller => self.generate_request(),
        }
    }

    fn dispatch_to_node(&mut self, number: u64, node: String, incarnation: u64, event: Box<Event>) {
        let now = self.net.now;
        let Some(current) = self.running_nodes.get(&node) else {
            return;
        };
        if !current.is_up || (incarnation != 0 && incarnation != current.number) {
            return;
        }
        let until = match *event {
            Event::Deliver(Packet {
                body: PeerMessage::Voter(_),
                ..
            }) => current.frozen_until.max(current.stalled_until),
            _ => current.frozen_until,
        };
        if now < until {
            let delayed = ScheduledEvent::AtNode(node, incarnation, event);
            return self.net.reschedule(until, number, delayed);
        }
        if let Event::Tick(incarnation) = *event {
            self.net
                .schedule_at_node(now + TICK_MS, &node, incarnation, Event::Tick(incarnation));
        }
        self.net.set_local_clock(self.clocks[&node]);
        if let Some(front) = self.fronts.get_mut(&node) {
            front.handle(&mut self.net, &mut self.oracle, *event);
        } else if let Some(core) = self.cores.get_mut(&node) {
            core.handle(&mut self.net, &mut self.oracle, &self.platform, *event);
        }
    }

    fn generate_request(&mut self) {
        let now = self.net.now;
        let random = &mut self.net.random;
        let interval_ms =
            (1_000.0 / self.config.requests_per_s * random.random_range(0.1..1.9)).max(1.0) as u64;
        let function = format!("f{}", random.random_range(0..self.config.functions));
        let is_once = random.random_bool(0.4);
        let front = format!("front-{}", random.random_range(0..self.config.fronts));
        let other = format!("front-{}", random.random_range(0..self.config.fronts));
        self.call_count += 1;
        let mut clock_offset_ms = self.net.random.random_range(-300..=300);
        if self.net.random.random_bool(0.01) {
            clock_offset_ms += [HOUR_MS, -HOUR_MS][self.net.random.random_range(0..2)];
        }
        self.net.set_local_clock(Clock {
            wall_offset_ms: clock_offset_ms,
            ..Clock::default()
        });
        let caller_request = CallerRequest {
            call: self.call_count * 2,
            function,
            kind: if is_once { "urgent" } else { "plain" }.into(),
            idempotency_key: is_once.then_some(self.net.wall * 1_000 + self.call_count % 1_000),
        };
        // Some callers send the same request, under the same idempotency key, to a second front.
        if is_once && self.net.random.random_bool(0.3) {
            let duplicate = CallerRequest {
                call: caller_request.call + 1,
                ..caller_request.clone()
            };
            let is_late = self.net.random.random_bool(0.3);
            let time = self
                .net
                .random_time_within(if is_late { 15_000 } else { 400 });
            self.net
                .schedule_at_node(time, &other, 0, Event::CallerRequest(duplicate));
        }
        self.net
            .schedule_at_node(now, &front, 0, Event::CallerRequest(caller_request));
        self.net.schedule(now + interval_ms, ScheduledEvent::Caller);
    }

    fn into_verdict(mut self) -> Verdict {
        let bounds = Configuration::empty().bounds;
        let floor = f64::from(bounds.retry_floor);
        self.oracle
            .check_retries(bounds.retry_window_ms, bounds.retry_share, floor);
        let recovered_by = self.faults.healed_at + bounds.return_ms;
        for number in 0..self.config.functions {
            let function = format!("f{number}");
            let answered = &self.oracle.answered;
            let serves = answered
                .iter()
                .any(|(at, name)| *at > recovered_by && *name == function);
            if !serves {
                let text = format!("{function} does not serve 12 s after the last fault");
                self.oracle.violations.push(text);
            }
        }
        for core in self.cores.values() {
            if core.voter.acceptor().set().version() != core.set.version() || !core.voter.is_open()
            {
                let text = format!("{} does not vote at the end", core.peer.name);
                self.oracle.violations.push(text);
            }
        }
        Verdict {
            seed: self.seed,
            violations: self.oracle.violations,
            runs: self.oracle.runs,
            puts: self.oracle.puts,
            outcomes: self.oracle.outcomes,
            faults: self.faults.faults,
            case_counts: self.oracle.case_counts,
            took_ms: self.oracle.took_ms,
        }
    }
}
