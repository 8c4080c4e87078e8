//! Requests to controllers that are in flight.

use std::collections::HashMap;

/// Milliseconds for which a controller's response is waited for.
const RESPONSE_TIMEOUT_MS: u64 = 10_000;

/// What a register is accessed for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RegisterPurpose {
    /// To write the claim of this number.
    Claim(u64),
    /// To release claims under which nobody runs.
    Release,
    /// To store the result.
    StoreResult,
    /// To read what became of a job.
    Check {
        /// Whether the gateway of the request that holds the claim is known to be gone.
        is_holder_gone: bool,
    },
}

struct RegisterRequest {
    key: String,
    purpose: RegisterPurpose,
    sent_at: u64,
}

/// Requests to controllers that are in flight, by number. Claims are numbered in the same sequence.
#[derive(Default)]
pub(crate) struct RegisterRequests {
    last_number: u64,
    in_flight: HashMap<u64, RegisterRequest>,
}

impl RegisterRequests {
    /// A number that was not used before in this incarnation.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Adds a request; gives its number.
    pub fn add(&mut self, now: u64, key: &str, purpose: RegisterPurpose) -> u64 {
        let number = self.next_number();
        let request = RegisterRequest {
            key: key.to_string(),
            purpose,
            sent_at: now,
        };
        self.in_flight.insert(number, request);
        number
    }

    /// Takes the request that a response is for; none where it came too late.
    pub fn complete(&mut self, number: u64) -> Option<(String, RegisterPurpose)> {
        let request = self.in_flight.remove(&number)?;
        Some((request.key, request.purpose))
    }

    /// Forgets requests that no response is expected for any more.
    pub fn expire(&mut self, now: u64) {
        let is_awaited = |request: &RegisterRequest| now < request.sent_at + RESPONSE_TIMEOUT_MS;
        self.in_flight.retain(|_, request| is_awaited(request));
    }
}
