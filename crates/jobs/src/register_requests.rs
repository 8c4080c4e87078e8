//! Register requests to controllers that are in flight.

use std::collections::HashMap;

/// Milliseconds after which a request without a response is dropped.
const RESPONSE_TIMEOUT_MS: u64 = 10_000;

/// Purpose of a register request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RegisterPurpose {
    /// Write the claim with this number.
    Claim(u64),
    /// Release claims under which no request runs.
    Release,
    /// Store the job's result.
    StoreResult,
    /// Read the current state of the job.
    Check {
        /// Whether the gateway of the claim's holder is known to be gone.
        is_holder_gone: bool,
    },
}

struct RegisterRequest {
    key: String,
    purpose: RegisterPurpose,
    sent_at: u64,
}

/// In-flight register requests by number. Claims are numbered in the same sequence.
#[derive(Default)]
pub(crate) struct RegisterRequests {
    last_number: u64,
    in_flight: HashMap<u64, RegisterRequest>,
}

impl RegisterRequests {
    /// Returns a number that has not been used before in this incarnation.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Adds a request and returns its number.
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

    /// Removes the request that a response belongs to and returns it, or `None` if it has already been dropped.
    pub fn complete(&mut self, number: u64) -> Option<(String, RegisterPurpose)> {
        let request = self.in_flight.remove(&number)?;
        Some((request.key, request.purpose))
    }

    /// Drops requests that have waited too long for a response.
    pub fn expire(&mut self, now: u64) {
        let is_awaited = |request: &RegisterRequest| now < request.sent_at + RESPONSE_TIMEOUT_MS;
        self.in_flight.retain(|_, request| is_awaited(request));
    }
}
