//! Gateways' reads and writes of registers of jobs that wait for the consensus.

use crate::gateway_table::GatewayTable;
use consensus::Consensus;
use protocol::{Message, RegisterResponse};
use register::{is_job_key, ChangeOutcome};
use std::collections::HashMap;

/// Tokens of the consensus's work for jobs begin here; those of operators' commands are counted from one.
const FIRST_TOKEN: u64 = 1 << 63;
/// Most reads and writes in progress; the consensus takes some more, which are left to operators.
const REQUESTS_MAX: usize = 48;
/// Most bytes of a job's value.
const VALUE_BYTES_MAX: usize = 40 << 10;

/// Which request of which gateway waits.
#[derive(Clone, Debug)]
pub(crate) struct JobCaller {
    /// Name of the gateway.
    pub gateway: String,
    /// Number that the gateway gave its request.
    pub number: u64,
}

impl JobCaller {
    /// A request of a gateway.
    pub fn new(gateway: &str, number: u64) -> Self {
        Self {
            gateway: gateway.into(),
            number,
        }
    }
}

/// A read or write that a gateway asks for.
pub(crate) struct JobOperation {
    /// Who asks.
    pub caller: JobCaller,
    /// Key of the register.
    pub key: String,
    /// The register's version on which a write builds; none for a read.
    pub expected_version: Option<u64>,
    /// The value to write.
    pub value: Vec<u8>,
}

impl JobOperation {
    /// Whether it is about a job's register, and its value is one of a job.
    fn is_valid(&self) -> bool {
        is_job_key(&self.key) && self.value.len() <= VALUE_BYTES_MAX
    }
}

struct JobRequest {
    caller: JobCaller,
    is_write: bool,
}

/// Requests in progress by the token of their work at the consensus, and when jobs were last forgotten.
#[derive(Default)]
pub(crate) struct JobRegisters {
    in_progress: HashMap<u64, JobRequest>,
    last_number: u64,
    rotated_at: u64,
}

impl JobRegisters {
    /// Whether work with this token was for a job, and not for an operator's command.
    pub fn owns_token(token: u64) -> bool {
        token >= FIRST_TOKEN
    }

    /// Begins a read or a write at the consensus. The gateway hears at once where too many are in progress.
    pub fn begin(
        &mut self,
        now: u64,
        operation: JobOperation,
        consensus: &mut Consensus,
        gateways: &mut GatewayTable,
    ) {
        if !operation.is_valid() {
            let gateway = operation.caller.gateway;
            log::warn!("controller: job register request malformed gateway={gateway}");
            return;
        }
        if self.in_progress.len() >= REQUESTS_MAX {
            respond(&operation.caller, RegisterResponse::Unavailable, gateways);
            return;
        }
        let JobOperation {
            caller,
            key,
            expected_version,
            value,
        } = operation;
        let token = self.add(caller, expected_version.is_some());
        match expected_version {
            Some(expected) => consensus.write(now, token, &key, expected, value),
            None => consensus.read(now, token, &key),
        }
    }

    fn add(&mut self, caller: JobCaller, is_write: bool) -> u64 {
        self.last_number += 1;
        let token = FIRST_TOKEN + self.last_number;
        let request = JobRequest { caller, is_write };
        self.in_progress.insert(token, request);
        token
    }

    /// The consensus is done with a read or a write: the gateway that waits for it hears the result.
    pub fn finish(&mut self, token: u64, outcome: &ChangeOutcome, gateways: &mut GatewayTable) {
        if let Some(request) = self.in_progress.remove(&token) {
            let response = response_to(outcome, request.is_write);
            respond(&request.caller, response, gateways);
        }
    }

    /// Whether the oldest jobs are to be forgotten now; true once for each span of retention.
    pub fn take_rotation(&mut self, now: u64, retention_ms: u64) -> bool {
        let is_due = now >= self.rotated_at + retention_ms;
        if is_due {
            self.rotated_at = now;
        }
        is_due
    }
}

fn response_to(outcome: &ChangeOutcome, is_write: bool) -> RegisterResponse {
    match outcome {
        ChangeOutcome::Committed(stored) if is_write => RegisterResponse::Written(stored.version),
        ChangeOutcome::Committed(stored) | ChangeOutcome::Conflict(stored) => {
            RegisterResponse::Found(stored.version, stored.bytes.clone())
        }
        ChangeOutcome::Indeterminate => RegisterResponse::Indeterminate,
        _ => RegisterResponse::Unavailable,
    }
}

fn respond(caller: &JobCaller, response: RegisterResponse, gateways: &mut GatewayTable) {
    let message = Message::JobRegisterResponse {
        number: caller.number,
        response,
    };
    gateways.queue(&caller.gateway, &message);
}
