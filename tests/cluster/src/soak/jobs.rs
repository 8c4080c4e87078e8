//! Clients that submit a job with one idempotency key through several gateways at once, and resubmit it after a failure.

use super::ledger::{JobCopy, JobRecord, Ledger};
use super::tenants::STEADY;
use crate::client::{send_request, ClientRequest};
use crate::operator::{route, with_idempotency_header, IDEMPOTENCY_KEY};
use crate::runner::{CREDENTIAL, FAULT, SIZE, WORK};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const PREFIX: &str = "/write/";
const TARGET: &str = "/write/job";
/// A host whose clients use the same keys.
const OTHER_HOST: &str = "two.example";
/// After one round of copies in this many, a request of the other host has the job's key.
const OTHER_HOST_ONE_IN: u32 = 3;
/// Gives these clients a different random sequence than the others.
const SEED_OFFSET: u64 = 0x6a6f_6273;
/// How many times a job is submitted until one of its copies succeeds.
const ROUNDS_MAX: usize = 4;
const SUCCESS: u16 = 200;

/// Submits jobs until `is_over` is set.
pub fn run(seed: u64, number: u64, gateways: &[SocketAddr], ledger: &Ledger, is_over: &AtomicBool) {
    let mut random = StdRng::seed_from_u64((seed ^ SEED_OFFSET).wrapping_add(number));
    let mut sent = 0;
    while !is_over.load(Ordering::SeqCst) {
        sent += 1;
        // The first two clients belong to different tenants and use the same idempotency keys.
        let client = JobClient {
            key: format!("job-{}-{sent}", number.max(1)),
            id_prefix: format!("job-{number}-{sent}"),
            credential: STEADY[number as usize % STEADY.len()].1,
        };
        for record in run_job(&client, &mut random, gateways, ledger, is_over) {
            ledger.record_job(record);
        }
        std::thread::sleep(Duration::from_millis(random.random_range(5..60)));
    }
}

/// The idempotency key, request ids and credential of a job.
struct JobClient {
    key: String,
    /// Prefix of the ids of its requests.
    id_prefix: String,
    credential: &'static str,
}

/// Submits a job, and requests of another host with its key. Returns the copies of both.
fn run_job(
    client: &JobClient,
    random: &mut StdRng,
    gateways: &[SocketAddr],
    ledger: &Ledger,
    is_over: &AtomicBool,
) -> [JobRecord; 2] {
    let mut record = JobRecord {
        key: client.id_prefix.clone(),
        copies: Vec::new(),
    };
    let mut elsewhere = JobRecord {
        key: format!("{}-elsewhere", client.id_prefix),
        copies: Vec::new(),
    };
    let work = random.random_range(0..120);
    let size = random.random_range(0..4_000);
    let fault = random.random_ratio(1, 8).then_some("lose");
    for round in 0..ROUNDS_MAX {
        let copies: Vec<(ClientRequest, SocketAddr)> = (0..random.random_range(1..4))
            .map(|number| {
                let id = format!("{}-{round}-{number}", client.id_prefix);
                let mut request = ClientRequest::get(TARGET, &id)
                    .post(client.key.as_bytes())
                    .with(IDEMPOTENCY_KEY, &client.key)
                    .with(CREDENTIAL, client.credential)
                    .with(WORK, work)
                    .with(SIZE, size);
                if let Some(fault) = fault {
                    request = request.with(FAULT, fault);
                }
                (request, gateways[random.random_range(0..gateways.len())])
            })
            .collect();
        record.copies.extend(send_copies(copies, ledger));
        if random.random_ratio(1, OTHER_HOST_ONE_IN) {
            let gateway = gateways[random.random_range(0..gateways.len())];
            let request = request_elsewhere(client, round);
            let copy = send_copy(&request, gateway, ledger);
            elsewhere.copies.push(copy);
        }
        let has_succeeded = record
            .copies
            .iter()
            .any(|copy| copy.status == Some(SUCCESS));
        if has_succeeded || is_over.load(Ordering::SeqCst) {
            break;
        }
    }
    [record, elsewhere]
}

/// A request of another host that has the job's key, method, target and body. It is no copy of the job, but one of the other
/// host's requests with the same key.
fn request_elsewhere(client: &JobClient, round: usize) -> ClientRequest {
    let id = format!("{}-{round}-elsewhere", client.id_prefix);
    let request = ClientRequest {
        host: OTHER_HOST.into(),
        ..ClientRequest::get(TARGET, &id)
    };
    request
        .post(client.key.as_bytes())
        .with(IDEMPOTENCY_KEY, &client.key)
        .with(CREDENTIAL, client.credential)
}

/// Adds a route by which another host's requests for the same target reach the same function.
pub fn add_other_host(document: &mut Value) {
    let mut other = route("write-elsewhere", PREFIX, "unsafe", "plain");
    other["host"] = json!(OTHER_HOST);
    let routes = document["routes"].as_array_mut();
    let routes = routes.expect("there are routes");
    routes.push(with_idempotency_header(other, IDEMPOTENCY_KEY));
}

/// Sends copies of a job concurrently.
fn send_copies(copies: Vec<(ClientRequest, SocketAddr)>, ledger: &Ledger) -> Vec<JobCopy> {
    std::thread::scope(|scope| {
        let sent: Vec<_> = copies
            .into_iter()
            .map(|(request, gateway)| scope.spawn(move || send_copy(&request, gateway, ledger)))
            .collect();
        let ended = sent.into_iter();
        ended
            .map(|one| one.join().expect("a sender does not panic"))
            .collect()
    })
}

fn send_copy(request: &ClientRequest, gateway: SocketAddr, ledger: &Ledger) -> JobCopy {
    let response = send_request(gateway, request);
    if let Some(response) = &response {
        ledger.record_response(&request.id, response);
    }
    JobCopy {
        id: request.id.clone(),
        status: response.as_ref().map(|response| response.status),
        body: response.map(|response| response.body).unwrap_or_default(),
    }
}
