//! The voter's side of the protocol: its state, and how it responds to requests.

use crate::claims::{claim_time, ClaimFloors};
use crate::job_window::EXPIRED_JOBS_KEY;
use crate::message::{VoterOperation, VoterRequest, VoterResponse};
use crate::promise_check::check_promise;
use crate::record::Record;
use crate::table::RegisterTable;
use crate::value::{Ballot, RegisterState};
use crate::voter_set::VoterSet;
use anti_entropy::RangeDigests;
use speedy::{Readable, Writable};

/// Longest key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Largest value, in bytes.
const MAX_VALUE_BYTES: usize = 4 << 20;

/// A voter's state machine, without I/O or a clock. The caller makes each [`Record`] durable before it sends the response that
/// goes with it. The order of fields is the on-disk format of a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct Acceptor {
    set: VoterSet,
    claim_floors: ClaimFloors,
    table: RegisterTable,
}

impl Acceptor {
    /// The voter set that this voter belongs to; epoch 0 if it belongs to none.
    pub fn set(&self) -> &VoterSet {
        &self.set
    }

    /// Number of registers.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether there are no registers.
    pub fn is_empty(&self) -> bool {
        self.table.len() == 0
    }

    /// State of a key's register.
    pub fn register(&self, key: &str) -> Option<&RegisterState> {
        self.table.get(key)
    }

    /// All registers in one range of the digests.
    pub fn registers_in_range(&self, range: u16) -> Vec<(String, RegisterState)> {
        self.table.in_range(range)
    }

    /// All registers whose keys sort after `key`, ordered by key.
    pub fn registers_after(&self, key: &str) -> impl Iterator<Item = (&String, &RegisterState)> {
        self.table.after(key)
    }

    /// Digests of the accepted values, one per range of keys.
    pub fn digests(&self) -> &RangeDigests {
        self.table.digests()
    }

    /// Times of issue below which claims are rejected.
    pub fn claim_floors(&self) -> ClaimFloors {
        self.claim_floors
    }

    /// Applies a record that was read back from the disk.
    pub fn replay(&mut self, record: Record) {
        match record {
            Record::Register(key, state) => self.table.insert(key, state),
            Record::VoterSet(set) => self.set = set,
            Record::RefusedBefore(time) => {
                self.claim_floors.refused_before = self.claim_floors.refused_before.max(time);
            }
            Record::ExpiredBefore(time) => {
                self.claim_floors.expired_before = time;
                self.table.remove_claims_before(time);
            }
        }
    }

    /// Rebuilds the derived state that is not stored on the disk. Call it after a snapshot was read back.
    pub fn rebuild_indexes(&mut self) {
        self.table.rebuild_indexes();
    }

    /// Adopts the first voter set of an epoch. A voter that already belongs to a set keeps that one.
    pub fn bootstrap(&mut self, set: VoterSet) -> Option<Record> {
        if self.set.epoch != 0 || set.epoch == 0 {
            return None;
        }
        self.set = set.clone();
        Some(Record::VoterSet(set))
    }

    /// Adopts a later voter set of the same epoch, which must be committed. The voter keeps its registers, and from now on
    /// serves requests under the new set only. Sets in between may be skipped: that is equivalent to having missed what was
    /// accepted under them.
    pub fn adopt_set(&mut self, set: VoterSet) -> Option<Record> {
        let follows = set.epoch == self.set.epoch && set.number > self.set.number && set.epoch != 0;
        if !follows {
            return None;
        }
        self.set = set.clone();
        Some(Record::VoterSet(set))
    }

    /// Makes an empty voter a member of a set, with the merged state of a majority of the other members. Does nothing if the
    /// voter already belongs to a set.
    pub fn install(
        &mut self,
        set: VoterSet,
        floors: ClaimFloors,
        registers: Vec<(String, RegisterState)>,
    ) -> Vec<Record> {
        if self.set.epoch != 0 {
            return Vec::new();
        }
        let mut records = vec![
            Record::ExpiredBefore(floors.expired_before),
            Record::RefusedBefore(floors.refused_before),
        ];
        let registers = registers.into_iter();
        records.extend(registers.map(|(key, state)| Record::Register(key, state)));
        records.push(Record::VoterSet(set));
        for record in records.clone() {
            self.replay(record);
        }
        self.table.restart_job_window();
        records
    }

    /// Takes over newer values from another replica, as if their accept requests had arrived late.
    pub fn repair(&mut self, registers: Vec<(String, RegisterState)>) -> Vec<Record> {
        let mut records = Vec::new();
        for (key, theirs) in registers {
            if !self.needs_repair(&key, &theirs) {
                continue;
            }
            let state = RegisterState {
                promised: theirs.accepted,
                ..theirs
            };
            let record = Record::Register(key, state);
            self.replay(record.clone());
            records.push(record);
        }
        records
    }

    fn needs_repair(&self, key: &str, theirs: &RegisterState) -> bool {
        let mine = self.table.get(key).cloned().unwrap_or_default();
        let is_allowed = self.set.epoch != 0 && key.len() <= MAX_KEY_BYTES;
        let expired_before = self.claim_floors.expired_before;
        let is_expired = claim_time(key).is_some_and(|time| time < expired_before)
            || self.table.is_expired_job(key, theirs.accepted);
        let is_newer = theirs.accepted > mine.accepted && theirs.accepted >= mine.promised;
        is_allowed && !is_expired && self.table.has_room_for(key) && is_newer
    }

    /// From now on rejects unknown claims that were issued before `time`, in milliseconds of the wall clock.
    pub fn refuse_claims_before(&mut self, time: u64) -> Option<Record> {
        if time <= self.claim_floors.refused_before {
            return None;
        }
        self.claim_floors.refused_before = time;
        Some(Record::RefusedBefore(time))
    }

    /// Deletes claims that were issued more than `retention_ms` milliseconds ago, and rejects them from then on. Their age is
    /// measured against this voter's wall clock or the time of the newest claim, whichever is earlier, so that a clock that
    /// jumps ahead deletes nothing early.
    pub fn expire_claims(&mut self, wall_clock: u64, retention_ms: u64) -> Option<Record> {
        let (oldest, newest) = self.table.claim_times()?;
        let before = wall_clock.min(newest).saturating_sub(retention_ms);
        if before <= self.claim_floors.expired_before || oldest >= before {
            return None;
        }
        let record = Record::ExpiredBefore(before);
        self.replay(record.clone());
        Some(record)
    }

    /// Ends a retention period of jobs: deletes the jobs whose last promise came before the previous call. All others are kept
    /// for at least one more period.
    pub fn advance_job_window(&mut self) -> Option<Record> {
        let expired = self.table.advance_job_window()?;
        let record = Record::Register(EXPIRED_JOBS_KEY.to_string(), expired);
        self.replay(record.clone());
        Some(record)
    }

    /// Responds to a request. If there is a record, it must be durable before the response is sent.
    pub fn handle(&mut self, request: VoterRequest) -> (Option<Record>, VoterResponse) {
        if request.set_version != self.set.version() || self.set.epoch == 0 {
            let set = self.set.clone();
            return (None, VoterResponse::SetMismatch { set });
        }
        if let Some(rejection) = self.rejection(&request.operation) {
            return (None, rejection);
        }
        match request.operation.ballot() {
            Some(ballot) => self.vote(request.operation, ballot),
            None => (None, last_accepted(&self.state_of(&request.operation))),
        }
    }

    /// The response if an operation is rejected because of its key, regardless of ballots.
    fn rejection(&self, operation: &VoterOperation) -> Option<VoterResponse> {
        let key = operation.key();
        if key.len() > MAX_KEY_BYTES {
            return Some(VoterResponse::unavailable("the key is too long"));
        }
        if self.claim_floors.refuses(key, self.table.contains(key)) {
            return Some(VoterResponse::Expired);
        }
        self.table.job_rejection(operation)
    }

    fn state_of(&self, operation: &VoterOperation) -> RegisterState {
        self.table.get(operation.key()).cloned().unwrap_or_default()
    }

    /// Promises or accepts, unless a higher ballot was promised before.
    fn vote(
        &mut self,
        operation: VoterOperation,
        ballot: Ballot,
    ) -> (Option<Record>, VoterResponse) {
        let mut state = self.state_of(&operation);
        if ballot < state.promised {
            let promised = state.promised;
            return (None, VoterResponse::Rejected { promised });
        }
        if !self.table.has_room_for(operation.key()) {
            let full = VoterResponse::unavailable("the table of keys is full");
            return (None, full);
        }
        state.promised = ballot;
        let (key, response) = match operation {
            VoterOperation::Accept { value, .. } if value.bytes.len() > MAX_VALUE_BYTES => {
                let too_large = VoterResponse::unavailable("the value is too large");
                return (None, too_large);
            }
            VoterOperation::Accept { key, value, .. } => {
                state.accepted = ballot;
                state.value = value;
                (key, VoterResponse::Accepted)
            }
            VoterOperation::Prepare { key, .. } | VoterOperation::Query { key } => {
                (key, last_accepted(&state))
            }
        };
        check_promise(&key, self.table.get(&key), &state);
        let record = Record::Register(key, state);
        self.replay(record.clone());
        (Some(record), response)
    }
}

fn last_accepted(state: &RegisterState) -> VoterResponse {
    VoterResponse::LastAccepted {
        ballot: state.accepted,
        value: state.value.clone(),
    }
}
