use crate::controller::Controller;
use consensus::DiskWork;
use protocol::{Message, RegisterResponse};
use register::{is_job, Outcome};
use std::collections::HashMap;

/// Tokens of the consensus's work for jobs begin here; those of operators' changes are counted from one.
const TOKENS: u64 = 1 << 63;
/// Most questions at once; the consensus takes some more, which are left to operators.
const ASKS_MAX: usize = 48;
/// Most bytes of a job's value.
const VALUE_MAX: usize = 40 << 10;

/// Gateways' questions about registers of jobs that wait for the consensus.
#[derive(Default)]
pub(crate) struct JobAsks {
    pending: HashMap<u64, Asked>,
    last: u64,
    turned_at: u64,
}

struct Asked {
    gateway: String,
    number: u64,
    is_write: bool,
}

fn said_of(outcome: &Outcome, is_write: bool) -> RegisterResponse {
    match outcome {
        Outcome::Settled(stored) if is_write => RegisterResponse::Written(stored.version),
        Outcome::Settled(stored) | Outcome::Stale(stored) => {
            RegisterResponse::Found(stored.version, stored.bytes.clone())
        }
        Outcome::Undecided => RegisterResponse::Indeterminate,
        _ => RegisterResponse::Unavailable,
    }
}

impl Controller {
    /// A gateway reads or writes the register of a job.
    pub fn ask_job(
        &mut self,
        gateway: &str,
        number: u64,
        key: &str,
        expected: Option<u64>,
        bytes: Vec<u8>,
    ) {
        if !is_job(key) || bytes.len() > VALUE_MAX {
            log::warn!("controller: gateway {gateway} asked for what is no job");
            return;
        }
        if self.jobs.pending.len() >= ASKS_MAX {
            let said = RegisterResponse::Unavailable;
            self.gateways.tell(
                gateway,
                &Message::JobRegisterResponse {
                    number,
                    response: said,
                },
            );
            return;
        }
        self.jobs.last += 1;
        let token = TOKENS + self.jobs.last;
        let asked = Asked {
            gateway: gateway.into(),
            number,
            is_write: expected.is_some(),
        };
        self.jobs.pending.insert(token, asked);
        match expected {
            Some(expected) => self.consensus.write(self.now, token, key, expected, bytes),
            None => self.consensus.read(self.now, token, key),
        }
    }

    /// The consensus is done with some work; whether it was for a job.
    pub fn job_done(&mut self, token: u64, outcome: &Outcome) -> bool {
        let Some(asked) = self.jobs.pending.remove(&token) else {
            return token >= TOKENS;
        };
        let message = Message::JobRegisterResponse {
            number: asked.number,
            response: said_of(outcome, asked.is_write),
        };
        self.gateways.tell(&asked.gateway, &message);
        true
    }

    /// Lets jobs be forgotten that are old.
    pub fn tend_jobs(&mut self) {
        if self.now < self.jobs.turned_at + self.options.job_retention_ms {
            return;
        }
        self.jobs.turned_at = self.now;
        self.disk.ask(DiskWork::RotateJobWindow);
    }
}
