//! Which functions' seats this gateway may lease, according to the ownership tables it has applied and the handovers it has
//! received.
//!
//! The seats of a function that moves to this gateway are leased once its former owner has answered under *the same
//! version* of the table. From then on the former owner leases none of them until a later table makes it the owner again,
//! and it then requests a handover itself. A former owner that is no longer a member was removed by agreement, so nobody
//! waits for it.

use crate::ownership_table::OwnershipTable;
use invariants::{check, Invariant};
use process_pause::ProcessPause;
use protocol::{Member, UpdateVersion};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::sync::Arc;

/// Milliseconds to wait for the handover of a member that does not answer. By then, a member that the scaler can reach has
/// the table and leases no more of the seats. Its earlier leases are known from the gateways that use them.
const HANDOVER_TIMEOUT_MS: u64 = 1_000;
/// Maximum number of functions with a cached status.
const STATUSES_MAX: usize = 65_536;

/// Whether this gateway may lease a function's seats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SeatStatus {
    /// This gateway owns the seats and may lease them.
    Owned,
    /// This gateway owns the seats but waits for the former owner's handover.
    AwaitsHandover,
    /// The named gateway owns the seats.
    OwnedBy(String),
    /// No gateway may own the seats.
    Unowned,
}

/// Why a handover is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverRefusal {
    /// The current table is not agreed, or there is none.
    NotAgreed,
    /// The handover was sent under this version, which is not that of the current table.
    OtherVersion(UpdateVersion),
    /// The sender is not a member of the current table.
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

/// Functions that moved to this gateway under one table and whose handovers are pending.
#[derive(Clone, Debug)]
struct Transition {
    former: Arc<OwnershipTable>,
    began_at: u64,
    /// Names of the former owners that have not answered yet.
    awaited: BTreeSet<String>,
}

/// One gateway's view of the ownership of functions.
#[derive(Clone, Debug, Default)]
pub(crate) struct SeatOwnership {
    /// Name of this gateway; `None` if it is standalone and owns all functions.
    name: Option<String>,
    table: Option<Arc<OwnershipTable>>,
    transitions: Vec<Transition>,
    /// Members whose functions this gateway leases while there is no scaler that could remove them.
    failover: BTreeSet<String>,
    /// Gateways that requested a handover under a version that is not applied here yet.
    unanswered: BTreeMap<String, UpdateVersion>,
    /// Cached status of functions. It is cleared when any of the fields above changes.
    statuses: HashMap<String, SeatStatus>,
    /// Cached owners of functions under the current table.
    table_owners: HashMap<String, Option<Member>>,
}

impl SeatOwnership {
    /// Creates the ownership of a gateway that is part of a cluster. Without a table it leases nothing.
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

    /// Restarts the handover timeouts after a process pause, because handovers that arrived meanwhile have not been read
    /// yet.
    pub fn restart_timeouts(&mut self, pause: ProcessPause) {
        for transition in &mut self.transitions {
            transition.began_at = pause.restart_wait(transition.began_at);
        }
    }

    /// The current table.
    pub fn table(&self) -> Option<&Arc<OwnershipTable>> {
        self.table.as_ref()
    }

    /// The current table, if it is agreed.
    pub fn agreed_table(&self) -> Option<&OwnershipTable> {
        let table = self.table.as_deref();
        table.filter(|table| table.is_agreed())
    }

    /// Whether this gateway owned nothing before a table, so that nothing it knows is up to date under it.
    pub fn is_newcomer_under(&self, table: &OwnershipTable) -> bool {
        let name = self.name.as_deref().unwrap_or_default();
        self.table.is_none() || (table.is_agreed() && table.is_for_newcomer(name))
    }

    /// Whether the current table is not agreed and assigns the function to another gateway, in whose place this one leases
    /// its seats.
    pub fn leases_for_other_owner(&mut self, function: &str) -> bool {
        let is_agreed = self.table.as_ref().is_none_or(|table| table.is_agreed());
        let Some(name) = self.name.clone().filter(|_| !is_agreed) else {
            return false;
        };
        let owner = self.table_owner(function);
        owner.is_none_or(|owner| owner.name != name)
    }

    /// Applies a newer table. Returns the members from which to request a handover under its version.
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

    /// Members from which functions may have moved here. With rendezvous hashing a function only moves to a gateway that
    /// joins or from one that leaves.
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

    /// Stops waiting for members that left or restarted, which no longer answer.
    fn drop_departed(&mut self, table: &OwnershipTable) {
        for transition in &mut self.transitions {
            let awaited = &mut transition.awaited;
            awaited.retain(|name| table.member(name).is_some() && !table.has_joined(name));
        }
        self.transitions
            .retain(|transition| !transition.awaited.is_empty());
    }

    /// Sets the unresponsive members whose functions are leased here while there is no scaler that could remove them.
    /// Returns whether the set changed.
    pub fn set_failover_for(&mut self, members: BTreeSet<String>) -> bool {
        let has_changed = self.failover != members;
        if has_changed {
            self.failover = members;
            self.statuses.clear();
        }
        has_changed
    }

    /// Checks the sender and the version of a handover.
    ///
    /// # Errors
    /// If the handover must be refused.
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

    /// Records that a former owner has answered completely under the current version. Returns whether more functions may be
    /// leased now.
    pub fn handover_completed(&mut self, from: &str) -> bool {
        self.stop_awaiting(|name, _| name == from)
    }

    /// Stops waiting for members that did not answer in time. Returns their names.
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

    /// Records a gateway's handover request under a version. Returns whether it is answered now; otherwise it is answered
    /// once that version is applied.
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

    /// Takes the gateways whose requested versions have been applied by now.
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

    /// The owner of a function under the current table. If the table is not agreed, this is only this gateway's own choice.
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

    /// Whether a member is this gateway.
    pub fn is_this_gateway(&self, member: &Member) -> bool {
        self.name.as_ref() == Some(&member.name)
    }

    /// Whether the table assigns a function to this gateway.
    pub fn is_assigned(&self, function: &str) -> bool {
        let table = self.table.as_ref();
        let owner = table.and_then(|table| table.owner_of(function));
        owner.is_some_and(|owner| self.is_this_gateway(owner))
    }

    /// Names of the former owners whose handover is pending.
    pub fn awaited(&self) -> BTreeSet<&str> {
        let awaited = self
            .transitions
            .iter()
            .flat_map(|transition| &transition.awaited);
        awaited.map(String::as_str).collect()
    }

    /// Names of the gateways that requested a handover under a version that is not applied here yet.
    pub fn unanswered(&self) -> impl Iterator<Item = &str> {
        self.unanswered.keys().map(String::as_str)
    }

    /// Whether any handover is pending.
    pub fn is_awaiting(&self) -> bool {
        !self.transitions.is_empty()
    }

    /// Whether this gateway may lease a function's seats, and otherwise which gateway owns them.
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
