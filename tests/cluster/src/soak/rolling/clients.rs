//! Clients that keep a connection until the gateway closes it and then connect to a random gateway.

use crate::client::{ClientRequest, Connection};
use crate::runner::{CREDENTIAL, SIZE, WORK};
use crate::soak::ledger::{ClientOutcome, ClientRecord, Ledger};
use crate::soak::system_names::SystemNames;
use crate::soak::tenants::draw_key;
use crate::soak::traffic::classify_response;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const WAIT_MAX: Duration = Duration::from_secs(6);
/// Work in milliseconds and response size in bytes of an ordinary request.
const WORK_MS: std::ops::Range<u64> = 3..40;
const BODY: usize = 400;
/// One request in this many takes long, so that it is in flight across restarts and drains.
const LONG_ONE_IN: u32 = 50;
const LONG_WORK_MS: std::ops::Range<u64> = 300..1_500;
/// Milliseconds between two requests of a client.
const PAUSE_MS: std::ops::Range<u64> = 2..30;
/// Pause after a failed connection attempt.
const NOT_CONNECTED_PAUSE: Duration = Duration::from_millis(20);

/// A client with its own random number generator.
pub struct RollingClient<'a> {
    number: usize,
    random: StdRng,
    gateways: &'a [SocketAddr],
    functions: usize,
    ledger: &'a Ledger,
    connection: Option<(usize, Connection)>,
    system_names: SystemNames,
}

impl<'a> RollingClient<'a> {
    pub fn new(
        seed: u64,
        number: usize,
        gateways: &'a [SocketAddr],
        functions: usize,
        ledger: &'a Ledger,
    ) -> Self {
        let seed = seed.wrapping_mul(1_000).wrapping_add(number as u64);
        Self {
            number,
            random: StdRng::seed_from_u64(seed),
            gateways,
            functions,
            ledger,
            connection: None,
            system_names: SystemNames::new(seed),
        }
    }

    /// Sends requests one after the other until `is_over` is set.
    pub fn run(&mut self, is_over: &AtomicBool) {
        let mut sent = 0;
        while !is_over.load(Ordering::SeqCst) {
            sent += 1;
            self.send(sent);
            let pause_ms = self.random.random_range(PAUSE_MS);
            std::thread::sleep(Duration::from_millis(pause_ms));
        }
    }

    fn send(&mut self, number: usize) {
        let Some((gateway, mut connection)) = self.take_connection() else {
            std::thread::sleep(NOT_CONNECTED_PAUSE);
            return;
        };
        let key = draw_key(&mut self.random);
        let mut request = self.draw_request(number).with(CREDENTIAL, key);
        let at_most_once = request.method == "POST";
        if !at_most_once {
            self.system_names.draw_target(&mut request);
        }
        let request = self.system_names.draw_headers(request);
        let sent_at = Instant::now();
        let is_sent = connection.send(&request.bytes());
        let response = connection.receive(WAIT_MAX).filter(|_| is_sent);
        let outcome = match &response {
            Some(response) => {
                self.ledger.record_response(&request.id, response);
                classify_response(&request, BODY, response)
            }
            None => ClientOutcome::Unanswered,
        };
        if response.is_some_and(|response| response.keeps_alive) {
            self.connection = Some((gateway, connection));
        }
        self.ledger.record_request(ClientRecord {
            id: request.id,
            gateway,
            target: request.target,
            key,
            at_most_once,
            is_ordinary: true,
            sent_at,
            ended_at: Instant::now(),
            outcome,
        });
    }

    /// The kept connection, or a new one to a random gateway.
    fn take_connection(&mut self) -> Option<(usize, Connection)> {
        if let Some(kept) = self.connection.take() {
            return Some(kept);
        }
        let gateway = self.random.random_range(0..self.gateways.len());
        Some((gateway, Connection::open(self.gateways[gateway])?))
    }

    fn draw_request(&mut self, number: usize) -> ClientRequest {
        let id = format!("r{}-{number:06}", self.number);
        // A few functions get most of the requests.
        let skewed = self.random.random_range(0.0..1.0f64).powi(2);
        let function = (skewed * self.functions as f64) as usize;
        let is_long = self.random.random_ratio(1, LONG_ONE_IN);
        let work_ms = self.random.random_range(match is_long {
            true => LONG_WORK_MS,
            false => WORK_MS,
        });
        let at_most_once = self.random.random_ratio(1, 4);
        let target = match at_most_once {
            true => format!("/once-{function}/x"),
            false => format!("/function-{function}/x"),
        };
        let request = ClientRequest::get(&target, &id)
            .with(SIZE, BODY)
            .with(WORK, work_ms);
        match at_most_once {
            true => request.post(b"order"),
            false => request,
        }
    }
}
