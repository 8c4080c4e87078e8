use crate::controller::Controller;
use council::DiskWork;
use dispatch::{Message, RegisterSaid};
use register::{is_job, Outcome};
use std::collections::HashMap;

/// Tokens of the council's work for jobs begin here; those of operators' changes are counted from one.
const TOKENS: u64 = 1 << 63;
/// Most questions at once; the council takes some more, which are left to operators.
const ASKS_MAX: usize = 48;
/// Most bytes of a job's value.
const VALUE_MAX: usize = 40 << 10;

/// Fronts' questions about registers of jobs that wait for the council.
#[derive(Default)]
pub(crate) struct JobAsks {
    pending: HashMap<u64, Asked>,
    last: u64,
    turned_at: u64,
}

struct Asked {
    front: String,
    number: u64,
    is_write: bool,
}

fn said_of(outcome: &Outcome, is_write: bool) -> RegisterSaid {
    match outcome {
        Outcome::Settled(stored) if is_write => RegisterSaid::Written(stored.version),
        Outcome::Settled(stored) | Outcome::Stale(stored) => {
            RegisterSaid::Found(stored.version, stored.bytes.clone())
        }
        Outcome::Undecided => RegisterSaid::Unsure,
        _ => RegisterSaid::Unreached,
    }
}

impl Controller {
    /// A front reads or writes the register of a job.
    pub fn ask_job(
        &mut self,
        front: &str,
        number: u64,
        key: &str,
        expected: Option<u64>,
        bytes: Vec<u8>,
    ) {
        if !is_job(key) || bytes.len() > VALUE_MAX {
            log::warn!("controller: front {front} asked for what is no job");
            return;
        }
        if self.jobs.pending.len() >= ASKS_MAX {
            let said = RegisterSaid::Unreached;
            self.fronts.tell(front, &Message::JobSaid { number, said });
            return;
        }
        self.jobs.last += 1;
        let token = TOKENS + self.jobs.last;
        let asked = Asked {
            front: front.into(),
            number,
            is_write: expected.is_some(),
        };
        self.jobs.pending.insert(token, asked);
        match expected {
            Some(expected) => self.council.write(self.now, token, key, expected, bytes),
            None => self.council.read(self.now, token, key),
        }
    }

    /// The council is done with some work; whether it was for a job.
    pub fn job_done(&mut self, token: u64, outcome: &Outcome) -> bool {
        let Some(asked) = self.jobs.pending.remove(&token) else {
            return token >= TOKENS;
        };
        let message = Message::JobSaid {
            number: asked.number,
            said: said_of(outcome, asked.is_write),
        };
        self.fronts.tell(&asked.front, &message);
        true
    }

    /// Lets jobs be forgotten that are old.
    pub fn tend_jobs(&mut self) {
        if self.now < self.jobs.turned_at + self.options.remembered_ms {
            return;
        }
        self.jobs.turned_at = self.now;
        self.disk.ask(DiskWork::TurnJobs);
    }
}
