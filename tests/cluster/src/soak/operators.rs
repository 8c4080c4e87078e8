//! Operators that change the configuration (sometimes concurrently) and evacuate zones, and a reader of the configuration.

use super::ledger::{ChangeOutcome, ChangeRecord, Ledger, ReadRecord};
use super::tenants::add_tenants;
use crate::operator::{call, call_following_redirects, route};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const REPLACE: (&str, &str) = ("POST", "/v1/Config.Replace");
const READ: (&str, &str) = ("GET", "/v1/Config.Read");
/// How long a change is resent while it gets no definite response.
const RESEND_TIMEOUT: Duration = Duration::from_secs(4);
const RESEND_PAUSE: Duration = Duration::from_millis(60);
/// Version of the first configuration of a run.
pub const FIRST_VERSION: u64 = 1;
const READ_SEED: u64 = 0x7265_6164;
/// Difference between the seeds of two operators of a run.
const OPERATOR_SEED_STRIDE: u64 = 77;
const CHANGE_SEED: u64 = 0x6368_616e;

/// An operator, which tracks the newest configuration version that it has seen.
pub struct Operator<'a> {
    random: StdRng,
    controllers: &'a [SocketAddr],
    ledger: &'a Ledger,
    version: u64,
    changes: u64,
    /// Distinguishes its documents from those of other operators.
    number: u64,
    base_configuration: fn(u64) -> Value,
    seed: u64,
    began_at: Instant,
}

impl<'a> Operator<'a> {
    /// Creates an operator after the first configuration was accepted. Later ones are the base configuration with added routes.
    pub fn new(
        (seed, number): (u64, u64),
        controllers: &'a [SocketAddr],
        ledger: &'a Ledger,
        base_configuration: fn(u64) -> Value,
    ) -> Self {
        let own_seed = seed.wrapping_add(number * OPERATOR_SEED_STRIDE);
        Self {
            seed,
            began_at: Instant::now(),
            number,
            base_configuration,
            random: StdRng::seed_from_u64(own_seed ^ CHANGE_SEED),
            controllers,
            ledger,
            version: FIRST_VERSION,
            changes: 0,
        }
    }

    /// Changes the configuration until `is_over` is set.
    pub fn run(&mut self, is_over: &AtomicBool) {
        while !is_over.load(Ordering::SeqCst) {
            let step = self.random.random_range(1..5);
            if self.random.random_ratio(1, 4) {
                self.race(step, is_over);
            } else {
                let document = self.next_document(step);
                self.change(&document, is_over);
            }
            if self.random.random_ratio(1, 5) {
                self.evacuate_and_restore(is_over);
            }
            std::thread::sleep(Duration::from_millis(self.random.random_range(100..700)));
        }
    }

    fn next_document(&mut self, step: u64) -> Value {
        self.changes += 1;
        let mut document = (self.base_configuration)(self.version + step);
        add_tenants(&mut document, self.seed, self.began_at.elapsed());
        let service = ["plain", "rare"][self.changes as usize % 2];
        let name = format!("moving-{}-{}", self.number, self.changes);
        let routes = document["routes"].as_array_mut().expect("there are routes");
        routes.push(route("moving", "/moving/", "safe", service));
        routes.push(route(&name, &format!("/{name}/"), "safe", "plain"));
        document
    }

    /// Sends a change until it gets a definite response. If it is not acknowledged, reads the current version.
    fn change(&mut self, document: &Value, is_over: &AtomicBool) {
        let (base, version) = (self.version, version_of(document));
        let outcome = send_change(self.controllers, base, document, &mut self.random, is_over);
        self.ledger.record_change(ChangeRecord {
            base,
            version,
            document: document.clone(),
            outcome,
        });
        match outcome {
            ChangeOutcome::Acknowledged(_) => self.version = version,
            ChangeOutcome::Rejected(_) | ChangeOutcome::Unclear => self.refresh_version(is_over),
        }
    }

    /// Sends two different changes on the same base concurrently, sometimes with the same version.
    fn race(&mut self, step: u64, is_over: &AtomicBool) {
        let one = self.next_document(step);
        let other_step = step + u64::from(self.random.random_bool(0.5));
        let other = self.next_document(other_step);
        let (controllers, base) = (self.controllers, self.version);
        let seed = self.random.random();
        let first_document = &one;
        let outcomes = std::thread::scope(|scope| {
            let send = move |document: &Value, seed| {
                let mut random = StdRng::seed_from_u64(seed);
                send_change(controllers, base, document, &mut random, is_over)
            };
            let first = scope.spawn(move || send(first_document, seed));
            let second = send(&other, seed.wrapping_add(1));
            [first.join().expect("a sender does not panic"), second]
        });
        for (document, outcome) in [one, other].into_iter().zip(outcomes) {
            let version = version_of(&document);
            self.ledger.record_change(ChangeRecord {
                base,
                version,
                document,
                outcome,
            });
        }
        self.refresh_version(is_over);
    }

    fn refresh_version(&mut self, is_over: &AtomicBool) {
        while !is_over.load(Ordering::SeqCst) {
            let controller = self.random.random_range(0..self.controllers.len());
            if let Some(document) = read(self.controllers[controller]) {
                self.version = version_of(&document);
                return;
            }
            std::thread::sleep(RESEND_PAUSE);
        }
    }

    fn evacuate_and_restore(&mut self, is_over: &AtomicBool) {
        let zone = crate::simulated_cluster::ZONES[self.random.random_range(0..3)];
        self.send_evacuation("Begin", zone, is_over);
        std::thread::sleep(Duration::from_millis(self.random.random_range(50..600)));
        self.send_evacuation("Finish", zone, is_over);
    }

    fn send_evacuation(&mut self, verb: &str, zone: &str, is_over: &AtomicBool) {
        let target = format!("/v1/Evacuation.{verb}/{zone}");
        let deadline = Instant::now() + RESEND_TIMEOUT;
        while Instant::now() < deadline && !is_over.load(Ordering::SeqCst) {
            let controller = self.random.random_range(0..self.controllers.len());
            let response = call_following_redirects(
                self.controllers[controller],
                ("POST", &target),
                None,
                b"",
            );
            if response.is_some_and(|response| response.status == 200) {
                return;
            }
            std::thread::sleep(RESEND_PAUSE);
        }
    }
}

/// Reads the configuration at random controllers and records each result.
pub fn run_reader(seed: u64, controllers: &[SocketAddr], ledger: &Ledger, is_over: &AtomicBool) {
    let mut random = StdRng::seed_from_u64(seed ^ READ_SEED);
    while !is_over.load(Ordering::SeqCst) {
        let controller = random.random_range(0..controllers.len());
        let sent_at = Instant::now();
        if let Some(document) = read(controllers[controller]) {
            ledger.record_read(ReadRecord {
                controller,
                sent_at,
                version: version_of(&document),
                document,
            });
        }
        std::thread::sleep(Duration::from_millis(random.random_range(20..150)));
    }
}

/// The configuration as returned by one controller, without following redirects.
pub fn read(controller: SocketAddr) -> Option<Value> {
    let (status, body) = call(controller, READ.0, READ.1, None, b"")?;
    let document = serde_json::from_slice(&body).ok();
    document.filter(|_| status == 200)
}

pub fn version_of(document: &Value) -> u64 {
    document["version"].as_u64().unwrap_or(0)
}

/// Sends a change unmodified to random controllers until it gets a definite response.
fn send_change(
    controllers: &[SocketAddr],
    base: u64,
    document: &Value,
    random: &mut StdRng,
    is_over: &AtomicBool,
) -> ChangeOutcome {
    let body = document.to_string();
    let deadline = Instant::now() + RESEND_TIMEOUT;
    while Instant::now() < deadline && !is_over.load(Ordering::SeqCst) {
        let controller = controllers[random.random_range(0..controllers.len())];
        let response = call_following_redirects(controller, REPLACE, Some(base), body.as_bytes());
        match response.map(|response| response.status) {
            Some(200) => return ChangeOutcome::Acknowledged(Instant::now()),
            Some(status @ (400 | 409 | 412 | 413 | 422)) => return ChangeOutcome::Rejected(status),
            _ => std::thread::sleep(RESEND_PAUSE),
        }
    }
    ChangeOutcome::Unclear
}
