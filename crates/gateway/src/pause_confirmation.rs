//! What tells a gateway that its process stood still whether the table of owners and the lists of runners from before still hold.
//!
//! A controller answers pings in order with all that it tells over the same link, and closes the link of a gateway that it removes. So the
//! answer of the controller that scales, to a ping that was sent after the pause, comes after all that changed meanwhile. What arrives over
//! a link before that answer may have waited in the socket. Over a link that was opened since, the scaler tells the whole table; what became
//! of the runners before it has told to others, so that the lists are to be told anew.

use seat_leases::UpdateAge;
use std::collections::BTreeMap;

/// Pings of other kinds bear milliseconds of the clock.
const PAUSE_PING_NUMBER_MIN: u64 = 1 << 48;

/// What a scaler's word confirms of what was known before the pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Confirmation {
    /// The table and the lists of runners.
    TableAndLists,
    /// The table alone, which has just been told.
    Table,
}

/// The link to one controller, as far as pauses are concerned.
#[derive(Debug, Default)]
struct LinkState {
    /// It has not answered the ping of the last pause.
    awaits_answer: bool,
    /// It was opened since the first pause that is not confirmed yet.
    is_reopened: bool,
    /// It has told a table since it was opened.
    has_published_table: bool,
}

/// The state of one gateway. It is asked for each message of a controller.
#[derive(Debug, Default)]
pub(crate) struct PauseConfirmation {
    /// Whether a scaler's word is awaited.
    is_awaited: bool,
    /// Pauses so far.
    pauses: u64,
    /// Links to controllers since the first pause that is not confirmed yet.
    links: BTreeMap<String, LinkState>,
}

impl PauseConfirmation {
    /// The process stood still. Pings with the returned number are to be sent to these controllers, to which there are links.
    pub fn begin(&mut self, linked: impl Iterator<Item = String>) -> u64 {
        if !std::mem::replace(&mut self.is_awaited, true) {
            self.links.clear();
        }
        self.pauses += 1;
        for controller in linked {
            let link = self.links.entry(controller).or_default();
            link.awaits_answer = true;
        }
        self.ping_number()
    }

    fn ping_number(&self) -> u64 {
        PAUSE_PING_NUMBER_MIN + self.pauses
    }

    /// A link to a controller is opened, in place of any that was there.
    pub fn link_opened(&mut self, controller: &str) {
        let link = LinkState {
            is_reopened: self.is_awaited,
            ..LinkState::default()
        };
        self.links.insert(controller.into(), link);
    }

    /// How old a message of a controller may be.
    pub fn age_of_messages(&self, controller: &str) -> UpdateAge {
        let link = self.links.get(controller);
        match link.is_some_and(|link| link.awaits_answer) {
            true => UpdateAge::Unknown,
            false => UpdateAge::Fresh,
        }
    }

    /// A controller has answered a ping with this number; it scales where it has a term. Returns what that confirms, where it is awaited.
    pub fn ping_answered(
        &mut self,
        controller: &str,
        number: u64,
        term: u64,
    ) -> Option<Confirmation> {
        let is_last = number == self.ping_number();
        let link = self.links.get_mut(controller).filter(|_| is_last)?;
        link.awaits_answer = false;
        let confirmation = match (link.is_reopened, link.has_published_table) {
            (false, _) => Confirmation::TableAndLists,
            (true, true) => Confirmation::Table,
            (true, false) => return None,
        };
        self.confirm_if(term > 0, confirmation)
    }

    /// The scaler has told the table that is in force here. Returns what that confirms, where it is awaited.
    pub fn table_published(&mut self, controller: &str) -> Option<Confirmation> {
        if let Some(link) = self.links.get_mut(controller) {
            link.has_published_table = true;
        }
        let is_fresh = self.age_of_messages(controller) == UpdateAge::Fresh;
        self.confirm_if(is_fresh, Confirmation::Table)
    }

    fn confirm_if(&mut self, is_met: bool, confirmation: Confirmation) -> Option<Confirmation> {
        let is_confirmed = is_met && std::mem::take(&mut self.is_awaited);
        is_confirmed.then_some(confirmation)
    }
}
