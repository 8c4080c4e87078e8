//! Which functions' seats this gateway may lease now, by the tables that it has applied and the hand-overs that it has received.
//!
//! A function that falls to this gateway is leased once its former owner has answered under *the same version* of the table: then it
//! leases none of its seats until a later table makes it the owner again, and it asks for a hand-over then. A former owner that is no
//! member any more was removed by agreement; it is not waited for.

use crate::ownership_table::OwnershipTable;
use invariants::{check, Invariant};
use process_pause::ProcessPause;
use protocol::{Member, UpdateVersion};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::sync::Arc;

/// Milliseconds after which a hand-over of a member that does not answer is no longer waited for. A member that the scaler can reach has
/// the table by then and leases nothing any more; what it has leased is known from the gateways that use it.
const HANDOVER_TIMEOUT_MS: u64 = 1_000;
/// Most functions whose status is remembered.
const STATUSES_MAX: usize = 65_536;

/// What this gateway is to a function's seats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SeatStatus {
    /// It leases them.
    Owned,
    /// It owns them and waits for the hand-over of their former owner.
    AwaitsHandover,
    /// The gateway of this name owns them.
    OwnedBy(String),
    /// Nobody may own them.
    Unowned,
}

/// Why a hand-over is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverRefusal {
    /// No agreed table is in force here.
    NotAgreed,
    /// It was given under another version of the table than the one in force.
    OtherVersion(UpdateVersion),
    /// The table does not name the gateway that gave it.
    NotAMember,
}

impl fmt::Display for HandoverRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotAgreed => formatter.write_str("no agreed table"),
            Self::OtherVersion(version) => write!(formatter, "other version {version}"),
            Self::NotAMember => formatter.write_str("not a member"),
        }
    }
}

impl std::error::Error for HandoverRefusal {}

/// Functions have moved to this gateway with one table.
#[derive(Clone, Debug)]
struct Transition {
    former: Arc<OwnershipTable>,
    began_at: u64,
    /// Names of the former owners that have not answered.
    awaited: BTreeSet<String>,
}

/// Ownership as one gateway sees it.
#[derive(Clone, Debug, Default)]
pub(crate) struct SeatOwnership {
    /// Name of this gateway; none where it stands alone and owns all functions.
    name: Option<String>,
    table: Option<Arc<OwnershipTable>>,
    transitions: Vec<Transition>,
    /// Members whose functions this gateway leases while no controller scales that could remove them.
    failover: BTreeSet<String>,
    /// Gateways that asked under a version which is not applied here yet.
    unanswered: BTreeMap<String, UpdateVersion>,
    /// Status of functions, until any of the above changes.
    statuses: HashMap<String, SeatStatus>,
    /// Owners of functions by the table, until that changes.
    table_owners: HashMap<String, Option<Member>>,
}

impl SeatOwnership {
    /// The ownership of a gateway of a fleet. Without a table it leases nothing.
    pub fn new(name: &str) -> Self {
        Self {
            name: Some(name.into()),
            ..Self::default()
        }
    }

    /// Whether there are no other gateways.
    pub fn is_standalone(&self) -> bool {
        self.name.is_none()
    }

    /// The process stood still: hand-overs that came meanwhile are not read yet.
    pub fn restart_timeouts(&mut self, pause: ProcessPause) {
        for transition in &mut self.transitions {
            transition.began_at = pause.restart(transition.began_at);
        }
    }

    /// The table in force.
    pub fn table(&self) -> Option<&Arc<OwnershipTable>> {
        self.table.as_ref()
    }

    /// The table in force where it is agreed.
    pub fn agreed_table(&self) -> Option<&OwnershipTable> {
        let table = self.table.as_deref();
        table.filter(|table| table.is_agreed())
    }

    /// Whether this gateway owned nothing before a table, so that nothing that it knows is current under it.
    pub fn is_newcomer_under(&self, table: &OwnershipTable) -> bool {
        let name = self.name.as_deref().unwrap_or_default();
        self.table.is_none() || (table.is_agreed() && table.is_for_newcomer(name))
    }

    /// Whether this gateway leases a function's seats though the table, which is not agreed, gives them to another one.
    pub fn leases_for_other_owner(&mut self, function: &str) -> bool {
        let is_agreed = self.table.as_ref().is_none_or(|table| table.is_agreed());
        let Some(name) = self.name.clone().filter(|_| !is_agreed) else {
            return false;
        };
        let owner = self.table_owner(function);
        owner.is_none_or(|owner| owner.name != name)
    }

    /// Applies a newer table. Returns the members that are to be asked for a hand-over under its version.
    pub fn apply_table(&mut self, now: u64, table: Arc<OwnershipTable>) -> Vec<String> {
        let former = self.table.replace(Arc::clone(&table));
        let former_version = former.as_ref().map(|former| former.version());
        let version = table.version();
        check(
            Invariant::OwnershipMovesForward,
            former_version.is_none_or(|former| version > former),
            || format!("version={version} former={former_version:?}"),
        );
        self.statuses.clear();
        self.table_owners.clear();
        self.failover.clear();
        if !table.is_agreed() {
            self.transitions.clear();
            self.unanswered.clear();
            return Vec::new();
        }
        let name = self.name.clone().unwrap_or_default();
        let is_joining = table.is_for_newcomer(&name);
        let former = former.filter(|_| !is_joining);
        if former.is_none() {
            self.transitions.clear();
        }
        let former = former.unwrap_or_else(|| Arc::new(table.before_joins(&name)));
        self.drop_departed(&table);
        let awaited = self.former_owners(&former, &table);
        if !awaited.is_empty() {
            self.transitions.push(Transition {
                former,
                began_at: now,
                awaited,
            });
        }
        let asked: BTreeSet<&String> = self
            .transitions
            .iter()
            .flat_map(|transition| &transition.awaited)
            .collect();
        asked.into_iter().cloned().collect()
    }

    /// Members from which functions may have moved here. With rendezvous hashing a function moves only to a gateway that came, or from
    /// one that goes.
    fn former_owners(&self, former: &OwnershipTable, table: &OwnershipTable) -> BTreeSet<String> {
        let name = self.name.as_deref().unwrap_or_default();
        let was_owner = former.is_owner(name);
        let has_same_hash = former.is_agreed() == table.is_agreed();
        let may_have_lost = |name: &str| {
            let still_owns = table.is_owner(name) && !table.has_joined(name);
            !(was_owner && has_same_hash && still_owns)
        };
        let owners = former.owners().filter(|owner| *owner != name);
        let members = owners.filter(|name| table.member(name).is_some() && !table.has_joined(name));
        members
            .filter(|name| may_have_lost(name))
            .map(String::from)
            .collect()
    }

    /// Members that are gone, or began anew, answer nothing any more.
    fn drop_departed(&mut self, table: &OwnershipTable) {
        for transition in &mut self.transitions {
            let awaited = &mut transition.awaited;
            awaited.retain(|name| table.member(name).is_some() && !table.has_joined(name));
        }
        self.transitions
            .retain(|transition| !transition.awaited.is_empty());
    }

    /// Sets the silent members whose functions are leased here, because no controller scales that could remove them. Returns whether they
    /// are others than before.
    pub fn set_failover_for(&mut self, members: BTreeSet<String>) -> bool {
        let has_changed = self.failover != members;
        if has_changed {
            self.failover = members;
            self.statuses.clear();
        }
        has_changed
    }

    /// Whether a hand-over of a gateway, given under a version, is to be taken.
    ///
    /// # Errors
    /// Where it is not.
    pub fn check_handover(
        &self,
        from: &str,
        version: UpdateVersion,
    ) -> Result<(), HandoverRefusal> {
        let table = self.agreed_table().ok_or(HandoverRefusal::NotAgreed)?;
        if table.version() != version {
            return Err(HandoverRefusal::OtherVersion(version));
        }
        let member = table.member(from);
        member.map(|_| ()).ok_or(HandoverRefusal::NotAMember)
    }

    /// A former owner has answered completely under the version in force. Returns whether functions may be leased now that were not.
    pub fn handover_completed(&mut self, from: &str) -> bool {
        self.stop_awaiting(|name, _| name == from)
    }

    /// Waits no more for members that have not answered in time. Returns their names.
    pub fn expire(&mut self, now: u64) -> Vec<String> {
        let is_late = |began_at: u64| now >= began_at + HANDOVER_TIMEOUT_MS;
        let late = self
            .transitions
            .iter()
            .filter(|transition| is_late(transition.began_at));
        let names: BTreeSet<String> = late
            .flat_map(|transition| transition.awaited.iter().cloned())
            .collect();
        if !names.is_empty() {
            self.stop_awaiting(|_, began_at| is_late(began_at));
        }
        names.into_iter().collect()
    }

    fn stop_awaiting(&mut self, is_over: impl Fn(&str, u64) -> bool) -> bool {
        let mut has_changed = false;
        for transition in &mut self.transitions {
            let began_at = transition.began_at;
            let count = transition.awaited.len();
            transition.awaited.retain(|name| !is_over(name, began_at));
            has_changed |= transition.awaited.len() < count;
        }
        if has_changed {
            self.transitions
                .retain(|transition| !transition.awaited.is_empty());
            self.statuses.clear();
        }
        has_changed
    }

    /// Another gateway asks for a hand-over under a version. Returns whether it is answered now; else it is once that version is applied.
    pub fn handover_requested(&mut self, from: &str, version: UpdateVersion) -> bool {
        let has_applied = self
            .table
            .as_ref()
            .is_some_and(|table| table.version() >= version);
        if !has_applied {
            self.unanswered.insert(from.into(), version);
        }
        has_applied
    }

    /// Takes the gateways that asked under versions which are applied by now.
    pub fn take_answerable(&mut self) -> Vec<String> {
        let Some(version) = self.table.as_ref().map(|table| table.version()) else {
            return Vec::new();
        };
        let answerable = self
            .unanswered
            .iter()
            .filter(|(_, asked)| **asked <= version);
        let answerable = answerable.map(|(gateway, _)| gateway.clone()).collect();
        self.unanswered.retain(|_, asked| *asked > version);
        answerable
    }

    /// The owner of a function by the table in force. Without an agreed table that is whom this gateway takes for its owner.
    pub fn table_owner(&mut self, function: &str) -> Option<&Member> {
        let table = self.table.as_ref()?;
        if !self.table_owners.contains_key(function) {
            if self.table_owners.len() >= STATUSES_MAX {
                self.table_owners.clear();
            }
            let owner = table.owner_of(function).cloned();
            self.table_owners.insert(function.into(), owner);
        }
        self.table_owners[function].as_ref()
    }

    /// Whether a member of the table is this gateway.
    pub fn is_this_gateway(&self, member: &Member) -> bool {
        self.name.as_ref() == Some(&member.name)
    }

    /// Whether the table gives a function to this gateway.
    pub fn is_assigned(&self, function: &str) -> bool {
        let table = self.table.as_ref();
        let owner = table.and_then(|table| table.owner_of(function));
        owner.is_some_and(|owner| self.is_this_gateway(owner))
    }

    /// Names of the former owners whose hand-over is awaited.
    pub fn awaited(&self) -> BTreeSet<&str> {
        let awaited = self
            .transitions
            .iter()
            .flat_map(|transition| &transition.awaited);
        awaited.map(String::as_str).collect()
    }

    /// Names of the gateways that asked under a version which is not applied here yet.
    pub fn unanswered(&self) -> impl Iterator<Item = &str> {
        self.unanswered.keys().map(String::as_str)
    }

    /// Whether hand-overs are awaited.
    pub fn is_awaiting(&self) -> bool {
        !self.transitions.is_empty()
    }

    /// What this gateway is to a function's seats.
    pub fn status(&mut self, function: &str) -> &SeatStatus {
        if !self.statuses.contains_key(function) {
            if self.statuses.len() >= STATUSES_MAX {
                self.statuses.clear();
            }
            let status = self.compute_status(function);
            self.statuses.insert(function.into(), status);
        }
        &self.statuses[function]
    }

    fn compute_status(&mut self, function: &str) -> SeatStatus {
        let Some(name) = self.name.clone() else {
            return SeatStatus::Owned;
        };
        let Some(table) = self.table.clone() else {
            return SeatStatus::Unowned;
        };
        if !table.is_agreed() {
            return SeatStatus::Owned;
        }
        let owner = match self.failover.is_empty() {
            true => self.table_owner(function),
            false => table.owner_among(function, |member| !self.failover.contains(&member.name)),
        };
        match owner.map(|owner| owner.name.clone()) {
            None => SeatStatus::Unowned,
            Some(owner) if owner != name => SeatStatus::OwnedBy(owner),
            Some(_) if self.awaits_handover_of(function) => SeatStatus::AwaitsHandover,
            Some(_) => SeatStatus::Owned,
        }
    }

    fn awaits_handover_of(&self, function: &str) -> bool {
        self.transitions.iter().any(|transition| {
            let former = transition.former.owner_of(function);
            former.is_some_and(|former| transition.awaited.contains(&former.name))
        })
    }
}
