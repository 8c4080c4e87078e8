//! Decides after a process pause whether the ownership table and the runner lists from before the pause are still
//! valid.
//!
//! A controller answers pings in order with its other messages on the same link, and closes the link of a gateway
//! that it removes. Therefore the scaler's pong to a ping sent after the pause follows everything that changed during
//! the pause. Messages received over a link before that pong may have waited in the socket. Over a link opened since
//! the pause, the scaler sends the whole table, but changes to runners before that were sent to other owners, so the
//! runner lists must be sent again.

use seat_leases::UpdateAge;
use std::collections::BTreeMap;

/// Smallest number of a ping sent after a pause. Other pings are numbered by milliseconds of the clock, which stay
/// below it.
const PAUSE_PING_NUMBER_MIN: u64 = 1 << 48;

/// The state from before a pause that a message from the scaler confirms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Confirmation {
    /// The ownership table and the runner lists.
    TableAndLists,
    /// Only the ownership table, which was just received.
    Table,
}

/// State of the link to one controller with regard to pauses.
#[derive(Debug, Default)]
struct LinkState {
    /// The ping of the last pause is unanswered.
    awaits_answer: bool,
    /// It was opened after the first pause that is not confirmed yet.
    is_reopened: bool,
    /// The controller has sent an ownership table since the link was opened.
    has_published_table: bool,
}

/// Confirmation state of a gateway, consulted for each message from a controller.
#[derive(Debug, Default)]
pub(crate) struct PauseConfirmation {
    /// Whether confirmation by the scaler is pending.
    is_awaited: bool,
    /// Number of pauses so far.
    pauses: u64,
    /// Links to controllers since the first pause that is not confirmed yet.
    links: BTreeMap<String, LinkState>,
}

impl PauseConfirmation {
    /// Records a process pause. The caller sends pings with the returned number to the given connected controllers.
    pub fn record_pause(&mut self, linked: impl Iterator<Item = String>) -> u64 {
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

    /// Records that a link to a controller is opened, replacing any former one.
    pub fn link_opened(&mut self, controller: &str) {
        let link = LinkState {
            is_reopened: self.is_awaited,
            ..LinkState::default()
        };
        self.links.insert(controller.into(), link);
    }

    /// Whether messages from a controller may date from before or during the pause.
    pub fn age_of_messages(&self, controller: &str) -> UpdateAge {
        let link = self.links.get(controller);
        match link.is_some_and(|link| link.awaits_answer) {
            true => UpdateAge::Unknown,
            false => UpdateAge::Fresh,
        }
    }

    /// Records a controller's pong with this number; the controller is the scaler if its term is not 0. Returns what
    /// the pong confirms, if confirmation is pending.
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

    /// Records that the scaler has sent the ownership table that is applied here. Returns what this confirms, if
    /// confirmation is pending.
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
