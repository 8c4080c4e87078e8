//! What tells a gateway that its process stood still whether the table of owners and the lists of runners from before still hold.
//!
//! A controller answers pings in order with all that it tells over the same link, and closes the link of a gateway that it removes. So the
//! answer of the controller that scales, to a ping that was sent after the pause, comes after all that changed meanwhile. What arrives over
//! a link before that answer may have waited in the socket. Over a link that was opened after the pause everything is newer, and the scaler
//! tells the whole table over it.

use seat_leases::UpdateAge;
use std::collections::BTreeSet;

/// Pings of other kinds bear milliseconds of the clock.
const PING_NUMBERS_FROM: u64 = 1 << 48;

/// The state of one gateway. It is asked for each message of a controller.
#[derive(Debug, Default)]
pub(crate) struct PauseConfirmation {
    /// Whether a scaler's word is awaited.
    is_awaited: bool,
    /// Pauses so far.
    pauses: u64,
    /// Controllers that have not answered theirs, over links that were there at the pause.
    unanswered: BTreeSet<String>,
}

impl PauseConfirmation {
    /// The process stood still. Pings with the returned number are to be sent to these controllers, to which there are links.
    pub fn begin(&mut self, linked: impl Iterator<Item = String>) -> u64 {
        self.is_awaited = true;
        self.pauses += 1;
        self.unanswered = linked.collect();
        self.ping_number()
    }

    fn ping_number(&self) -> u64 {
        PING_NUMBERS_FROM + self.pauses
    }

    /// A link to a controller is opened, in place of any that was there.
    pub fn link_opened(&mut self, controller: &str) {
        self.unanswered.remove(controller);
    }

    /// How old a message of a controller may be.
    pub fn age_of_messages(&self, controller: &str) -> UpdateAge {
        match self.unanswered.contains(controller) {
            true => UpdateAge::Unknown,
            false => UpdateAge::Fresh,
        }
    }

    /// A controller has answered a ping with this number; it scales where it has a term. Returns whether that is the awaited word.
    pub fn ping_answered(&mut self, controller: &str, number: u64, term: u64) -> bool {
        if number != self.ping_number() || !self.unanswered.remove(controller) {
            return false;
        }
        term > 0 && std::mem::take(&mut self.is_awaited)
    }

    /// The scaler has told the table that is in force here. Returns whether that is the awaited word.
    pub fn table_told(&mut self, controller: &str) -> bool {
        let is_fresh = self.age_of_messages(controller) == UpdateAge::Fresh;
        is_fresh && std::mem::take(&mut self.is_awaited)
    }
}
