//! Accounts for requests: each one that was admitted is answered, rejected, left by its client or still in flight.

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    /// It got a runner's response, of its own or of its job.
    Answered,
    /// It got an error of the gateway's own.
    Rejected,
    /// Its client left before.
    ClientLeft,
}

/// Counts of requests in this incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RequestCounts {
    pub admitted: u64,
    pub answered: u64,
    pub rejected: u64,
    pub client_left: u64,
}

impl RequestCounts {
    /// A request ended.
    pub fn record_end(&mut self, end: RequestEnd) {
        match end {
            RequestEnd::Answered => self.answered += 1,
            RequestEnd::Rejected => self.rejected += 1,
            RequestEnd::ClientLeft => self.client_left += 1,
        }
    }

    /// Requests that have not ended, by the counts alone.
    pub fn in_flight(&self) -> Option<u64> {
        let ended = self.answered + self.rejected + self.client_left;
        self.admitted.checked_sub(ended)
    }
}
