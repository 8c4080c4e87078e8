//! Request counts: every admitted request is answered, rejected, abandoned by its client or still in flight.

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    /// It got a runner's response, either to itself or to another copy of its job.
    Answered,
    /// It got an error from the gateway itself.
    Rejected,
    /// Its client disconnected before the response.
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
    /// Counts a request that has ended.
    pub fn record_end(&mut self, end: RequestEnd) {
        match end {
            RequestEnd::Answered => self.answered += 1,
            RequestEnd::Rejected => self.rejected += 1,
            RequestEnd::ClientLeft => self.client_left += 1,
        }
    }

    /// Number of requests in flight according to the counts; `None` if more have ended than were admitted.
    pub fn in_flight(&self) -> Option<u64> {
        let ended = self.answered + self.rejected + self.client_left;
        self.admitted.checked_sub(ended)
    }
}
