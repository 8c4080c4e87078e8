//! Rejections are logged one by one while there are few, then one in a hundred.

/// Rejections that are all logged.
const LOGGED_IN_FULL: u64 = 50;
/// Of later rejections one in so many is logged.
const LOGGED_ONE_IN: u64 = 100;

/// Requests that got an error of the gateway's own.
#[derive(Default)]
pub(crate) struct RejectionLog {
    count: u64,
}

impl RejectionLog {
    /// Rejections in this incarnation.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Counts a rejection and logs it, unless there were many.
    pub fn record(&mut self, function: &str, status: u16, held_ms: u64, reason: &str) {
        self.count += 1;
        if self.count < LOGGED_IN_FULL || self.count.is_multiple_of(LOGGED_ONE_IN) {
            log::info!(
                "gateway: request rejected status={status} function={function} held_ms={held_ms} reason={reason} total={}",
                self.count
            );
        }
    }
}
