//! Gateways' reads and writes of job registers that are in progress at the consensus.

use crate::gateway_table::GatewayTable;
use consensus::Consensus;
use protocol::{Message, RegisterResponse};
use register::{is_job_key, ChangeOutcome};
use std::collections::HashMap;

/// Start of the range of consensus tokens for jobs. Tokens of operators' commands count up from one.
const FIRST_TOKEN: u64 = 1 << 63;
/// Maximum number of reads and writes in progress. The consensus accepts some more, which are left for operators' commands.
const REQUESTS_MAX: usize = 48;
/// Maximum size of a job's value in bytes.
const VALUE_BYTES_MAX: usize = 40 << 10;

/// The gateway that waits for a response, and its request number.
#[derive(Clone, Debug)]
pub(crate) struct JobCaller {
    /// Name of the gateway.
    pub gateway: String,
    /// Number that the gateway assigned to its request.
    pub number: u64,
}

impl JobCaller {
    /// Identifies a request of a gateway.
    pub fn new(gateway: &str, number: u64) -> Self {
        Self {
            gateway: gateway.into(),
            number,
        }
    }
}

/// A read or write that a gateway requests.
pub(crate) struct JobOperation {
    /// The gateway's request.
    pub caller: JobCaller,
    /// Key of the register.
    pub key: String,
    /// The version that the register must have for a write to succeed; none for a read.
    pub expected_version: Option<u64>,
    /// The value to write.
    pub value: Vec<u8>,
}

impl JobOperation {
    /// Whether the key belongs to a job register, and the value is not too large.
    fn is_valid(&self) -> bool {
        is_job_key(&self.key) && self.value.len() <= VALUE_BYTES_MAX
    }
}

struct JobRequest {
    caller: JobCaller,
    is_write: bool,
}

/// Requests in progress by their consensus token, and the time of the last rotation of the job window.
#[derive(Default)]
pub(crate) struct JobRegisters {
    in_progress: HashMap<u64, JobRequest>,
    last_number: u64,
    rotated_at: u64,
}

impl JobRegisters {
    /// Whether a consensus token belongs to a job register request, and not to an operator's command.
    pub fn owns_token(token: u64) -> bool {
        token >= FIRST_TOKEN
    }

    /// Begins a read or a write at the consensus. If too many are in progress, the gateway is sent `Unavailable` immediately.
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

    /// Sends the result of a completed read or write to the gateway that waits for it.
    pub fn finish(&mut self, token: u64, outcome: &ChangeOutcome, gateways: &mut GatewayTable) {
        if let Some(request) = self.in_progress.remove(&token) {
            let response = response_to(outcome, request.is_write);
            respond(&request.caller, response, gateways);
        }
    }

    /// Returns whether the oldest jobs expire now; true once per retention period.
    pub fn take_rotation_due(&mut self, now: u64, retention_ms: u64) -> bool {
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
