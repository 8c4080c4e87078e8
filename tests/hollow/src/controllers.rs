//! The consensus in virtual time, without faults.

use crate::meter::{timed, Markdown};
use consensus::{
    execute_batch, Consensus, ConsensusAction, ConsensusMessage, ConsensusOptions, DiskWork,
    VoterSnapshot, CONFIGURATION_KEY,
};
use journal::MemoryFolder;
use protocol::frame;
use register::ChangeOutcome;
use std::collections::VecDeque;
use voter::Voter;

const HEARTBEAT_MS: u64 = 550;
const LEASE_MS: u64 = 4_400;
const TICK_MS: u64 = 50;
const WAY_MS: u64 = 5;

struct Controller {
    consensus: Consensus,
    voter: Voter,
    works: Vec<DiskWork>,
    cpu: u64,
    bytes: u64,
    messages: u64,
    done: Option<(u64, ChangeOutcome)>,
}

struct World {
    now: u64,
    controllers: Vec<Controller>,
    ways: VecDeque<(u64, usize, usize, ConsensusMessage)>,
}

fn address(place: usize) -> String {
    format!("10.16.{place}.2:7002")
}

impl World {
    fn new(count: usize) -> Self {
        let controller = |place: usize| {
            let voter = Voter::open(Box::new(MemoryFolder::default())).expect("an empty voter");
            let options = ConsensusOptions {
                name: format!("controller-{place}"),
                address: address(place),
                seeds: (0..count).map(address).collect(),
                is_first_start: true,
                disk_id: 1_000 + place as u64,
                lease_ms: LEASE_MS,
                heartbeat_interval_ms: HEARTBEAT_MS,
                replacement_timeout_ms: 2_000,
                seed: place as u64,
                target_voter_count: 5,
            };
            Controller {
                consensus: Consensus::new(options, 0, VoterSnapshot::of(&voter)),
                voter,
                works: Vec::new(),
                cpu: 0,
                bytes: 0,
                messages: 0,
                done: None,
            }
        };
        Self {
            now: 0,
            controllers: (0..count).map(controller).collect(),
            ways: VecDeque::new(),
        }
    }

    fn step(&mut self) {
        self.now += 1;
        while self.ways.front().is_some_and(|(at, ..)| *at <= self.now) {
            let Some((_, from, to, message)) = self.ways.pop_front() else {
                break;
            };
            let controller = &mut self.controllers[to];
            timed(&mut controller.cpu, || {
                controller
                    .consensus
                    .on_message(self.now, &address(from), message)
            });
            self.drain(to);
        }
        for place in 0..self.controllers.len() {
            if (self.now + 7 * place as u64).is_multiple_of(TICK_MS) {
                let controller = &mut self.controllers[place];
                timed(&mut controller.cpu, || controller.consensus.tick(self.now));
                self.drain(place);
            }
            let controller = &mut self.controllers[place];
            let works = std::mem::take(&mut controller.works);
            if !works.is_empty() {
                for done in execute_batch(&mut controller.voter, works) {
                    timed(&mut controller.cpu, || {
                        controller.consensus.on_disk(self.now, done)
                    });
                }
                self.drain(place);
            }
        }
    }

    fn drain(&mut self, from: usize) {
        let now = self.now;
        let controller = &mut self.controllers[from];
        for action in controller.consensus.take_actions() {
            match action {
                ConsensusAction::Send { to, message } => {
                    let bytes = timed(&mut controller.cpu, || frame(&message).len() as u64);
                    controller.bytes += bytes;
                    controller.messages += 1;
                    let to = to
                        .strip_prefix("10.16.")
                        .and_then(|rest| rest.split('.').next());
                    let to = to.and_then(|text| text.parse().ok()).unwrap_or(from);
                    self.ways.push_back((now + WAY_MS, from, to, message));
                }
                ConsensusAction::Disk(work) => controller.works.push(work),
                ConsensusAction::RequestCompleted { token, outcome } => {
                    controller.done = Some((token, outcome))
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, ms: u64) {
        (0..ms).for_each(|_| self.step());
    }

    fn forget(&mut self) {
        for controller in &mut self.controllers {
            (controller.cpu, controller.bytes, controller.messages) = (0, 0, 0);
        }
    }

    fn holder(&self) -> usize {
        let holds = |controller: &Controller| controller.consensus.role_term(self.now).is_some();
        self.controllers
            .iter()
            .position(holds)
            .expect("one holds the duty")
    }

    /// Writes a value at a controller and gives the milliseconds that it took.
    fn write(&mut self, place: usize, size: usize) -> u64 {
        let began = self.now;
        let version = self.controllers[place]
            .consensus
            .committed(CONFIGURATION_KEY)
            .map_or(0, |one| one.0);
        // Of bytes that no deflating makes smaller.
        let bytes = (0..size).map(|at| (at * 31 % 251) as u8).collect();
        let controller = &mut self.controllers[place];
        controller.done = None;
        controller
            .consensus
            .write(self.now, 1, CONFIGURATION_KEY, version, bytes);
        self.drain(place);
        while self.controllers[place].done.is_none() {
            self.step();
            assert!(self.now < began + 20_000, "the write ends");
        }
        let done = self.controllers[place].done.take();
        assert!(
            matches!(done, Some((1, ChangeOutcome::Committed(_)))),
            "{done:?}"
        );
        self.now - began
    }
}

pub fn run() {
    let columns = [
        "controllers",
        "messages/s of the holder",
        "KB/s",
        "us of processor a s",
        "of another: KB/s",
    ];
    let table = Markdown::head(
        "A quiet consensus (heartbeat 550 ms, 5 voters wanted)",
        &columns,
    );
    for count in [3, 5, 8] {
        let mut world = World::new(count);
        world.run(20_000);
        world.forget();
        world.run(60_000);
        let holder = &world.controllers[world.holder()];
        let others: u64 = world
            .controllers
            .iter()
            .map(|controller| controller.bytes)
            .sum::<u64>()
            - holder.bytes;
        table.row(&[
            count as f64,
            holder.messages as f64 / 60.0,
            holder.bytes as f64 / 60e3,
            holder.cpu as f64 / 60e3,
            others as f64 / 60e3 / (count - 1) as f64,
        ]);
    }
    let columns = [
        "KB of the value",
        "controllers",
        "KB sent by the writer",
        "KB sent by all",
        "ms of processor, all",
        "ms in virtual time",
    ];
    let table = Markdown::head("One write of the description's register", &columns);
    for (size, count) in [(10, 5), (100, 5), (700, 5), (700, 8)] {
        let mut world = World::new(count);
        world.run(20_000);
        let place = world.holder();
        world.write(place, size << 10);
        world.run(5_000);
        world.forget();
        let ms = world.write(place, size << 10);
        world.run(3_000);
        let sum = |of: fn(&Controller) -> u64| world.controllers.iter().map(of).sum::<u64>() as f64;
        table.row(&[
            size as f64,
            count as f64,
            world.controllers[place].bytes as f64 / 1e3,
            sum(|controller| controller.bytes) / 1e3,
            sum(|controller| controller.cpu) / 1e6,
            ms as f64,
        ]);
    }
}
