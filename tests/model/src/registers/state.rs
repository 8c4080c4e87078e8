use super::disk::ModelDisk;
use super::exploration::RegistersAction;
use super::proposer::{NumberedOperation, Proposer};
use consensus::{DiskWork, ReplicaPage};
use register::{
    merge_replicas, Change, ChangeOutcome, ClaimFloors, VoterRef, VoterRequest, VoterResponse,
    VoterSet, VOTERS_KEY,
};
use speedy::Readable;
use std::collections::{BTreeMap, BTreeSet};
use voter::Installation;

pub(super) const VALUE_KEY: &str = "value";
pub(super) const MEMBERS: u64 = 3;
pub(super) const NEW_MEMBER: u64 = 4;
/// The member that the new member replaces.
pub(super) const REPLACED: u64 = 3;
/// Smallest majorities of the first set.
pub(super) const MAJORITIES: [[u64; 2]; 3] = [[1, 2], [1, 3], [2, 3]];

/// A request that was sent to all voters of a set.
#[derive(Clone, Debug)]
pub(super) struct Sent {
    pub(super) proposer: usize,
    pub(super) number: u64,
    pub(super) message: VoterRequest,
}

/// A state of the whole system.
#[derive(Clone)]
pub struct System {
    pub(super) disks: BTreeMap<u64, ModelDisk>,
    pub(super) proposers: Vec<Proposer>,
    pub(super) sent: Vec<Sent>,
    /// Responses to outstanding requests, with proposer and voter.
    pub(super) responses: Vec<(usize, u64, VoterResponse)>,
    /// The newest committed set.
    pub(super) set: VoterSet,
    pub(super) replica_pages: BTreeMap<u64, ReplicaPage>,
    pub(super) committed: BTreeMap<u64, Vec<u8>>,
    pub(super) acknowledged: u64,
}

pub(super) fn voter(disk: u64) -> VoterRef {
    VoterRef {
        disk,
        address: format!("controller-{disk}"),
    }
}

pub(super) fn first_set() -> VoterSet {
    VoterSet {
        epoch: 1,
        number: 1,
        voters: (1..=MEMBERS).map(voter).collect(),
    }
}

impl System {
    pub(super) fn send(&mut self, proposer: usize, request: Option<NumberedOperation>) {
        let Some(NumberedOperation { number, operation }) = request else {
            return;
        };
        let set_version = self.proposers[proposer].set.version();
        let message = VoterRequest {
            set_version,
            operation,
        };
        self.sent.push(Sent {
            proposer,
            number,
            message,
        });
    }

    /// Lets the last proposer commit the next set at a majority that responds immediately.
    pub(super) fn commit_next_set(&mut self, majority: &[u64]) {
        let set_proposer = self.proposers.len() - 1;
        let mut request = Some(self.proposers[set_proposer].begin(first_set()));
        while let Some(NumberedOperation { operation, .. }) = request.take() {
            for disk in majority {
                let set_version = first_set().version();
                let operation = operation.clone();
                let voter = self.disks.get_mut(disk).expect("the member has a disk");
                let response = voter.handle_request(VoterRequest {
                    set_version,
                    operation,
                });
                let response = response.expect("the voter responds");
                let voter_index = *disk as usize - 1;
                request =
                    request.or(self.proposers[set_proposer].on_response(voter_index, response));
            }
        }
        let recorded = self.record_outcome(set_proposer);
        recorded.expect("the next set can be deserialized");
    }

    fn drop_stale_responses(&mut self) {
        let proposers = &self.proposers;
        let mut seen: BTreeSet<String> = BTreeSet::new();
        self.responses.retain(|(proposer, disk, response)| {
            proposers[*proposer].is_running()
                && seen.insert(format!("{proposer} {disk} {response:?}"))
        });
        self.responses
            .sort_by_cached_key(|(proposer, disk, response)| {
                (*proposer, *disk, format!("{response:?}"))
            });
    }

    fn drop_responses_to(&mut self, proposer: usize) {
        self.responses
            .retain(|(recipient, _, _)| *recipient != proposer);
    }

    pub(super) fn handle(&mut self, index: usize, disk: u64) {
        let sent = self.sent[index].clone();
        let Some(voter) = self.disks.get_mut(&disk) else {
            return;
        };
        let Some(response) = voter.handle_request(sent.message) else {
            return;
        };
        let proposer = &self.proposers[sent.proposer];
        if proposer.is_running() && proposer.number == sent.number {
            self.responses.push((sent.proposer, disk, response));
        }
        self.drop_stale_responses();
    }

    pub(super) fn deliver_response(&mut self, index: usize) -> Result<(), String> {
        let (proposer, disk, response) = self.responses.remove(index);
        if let VoterResponse::SetMismatch { set } = response {
            // As in production, the proposer restarts under a newer set; otherwise it continues under its own.
            if set.version() > self.proposers[proposer].set.version() {
                let request = self.proposers[proposer].begin(set);
                self.drop_responses_to(proposer);
                self.send(proposer, Some(request));
            }
            return Ok(());
        }
        let voters = &self.proposers[proposer].set.voters;
        let Some(voter) = voters.iter().position(|voter| voter.disk == disk) else {
            return Ok(());
        };
        let number = self.proposers[proposer].number;
        let request = self.proposers[proposer].on_response(voter, response);
        if self.proposers[proposer].number != number {
            self.drop_responses_to(proposer);
        }
        self.send(proposer, request);
        self.record_outcome(proposer)
    }

    fn record_outcome(&mut self, index: usize) -> Result<(), String> {
        let proposer = self.proposers[index].clone();
        let Some(ChangeOutcome::Committed(stored) | ChangeOutcome::Conflict(stored)) =
            &proposer.outcome
        else {
            return Ok(());
        };
        let is_committed = matches!(proposer.outcome, Some(ChangeOutcome::Committed(_)));
        if proposer.key == VOTERS_KEY {
            let set = VoterSet::read_from_buffer(&stored.bytes);
            self.set = set.map_err(|error| error.to_string())?;
            return Ok(());
        }
        if stored.version == 0 && proposer.acknowledged_before == 0 {
            return Ok(());
        }
        let known = self.committed.entry(stored.version);
        let known = known.or_insert_with(|| stored.bytes.clone());
        if *known != stored.bytes {
            return Err(format!(
                "two values are committed at version {}",
                stored.version
            ));
        }
        let is_other_write =
            matches!(&proposer.change, Change::Write { bytes, .. } if *bytes != stored.bytes);
        if is_committed && is_other_write {
            return Err("a write was acknowledged with the value of another write".into());
        }
        if is_committed && stored.version < proposer.acknowledged_before {
            return Err(format!(
                "version {} was acknowledged, and a later read returned version {}",
                proposer.acknowledged_before, stored.version
            ));
        }
        if is_committed {
            self.acknowledged = self.acknowledged.max(stored.version);
        }
        Ok(())
    }

    fn has_enough_replica_pages(&self) -> bool {
        let others = self
            .set
            .voters
            .iter()
            .filter(|member| member.disk != NEW_MEMBER);
        let received = others
            .clone()
            .filter(|member| self.replica_pages.contains_key(&member.disk));
        received.count() > others.count() / 2
    }

    pub(super) fn install(&mut self) {
        let pages = std::mem::take(&mut self.replica_pages);
        let claim_floors = pages.values().fold(ClaimFloors::default(), |floors, page| {
            floors.max(page.claim_floors)
        });
        let installation = Installation {
            set: self.set.clone(),
            claim_floors,
            registers: merge_replicas(pages.into_values().map(|page| page.registers).collect()),
        };
        if let Some(disk) = self.disks.get_mut(&NEW_MEMBER) {
            disk.execute(DiskWork::Install(installation));
        }
    }

    /// Returns the steps of the set change that are enabled.
    pub(super) fn membership_steps(&self) -> Vec<RegistersAction> {
        let mut steps = Vec::new();
        if self.set.number < 2 {
            return steps;
        }
        let new_member_votes = self.disks[&NEW_MEMBER].acceptor().set().epoch > 0;
        for (disk, voter) in &self.disks {
            let set = voter.acceptor().set();
            if set.epoch > 0 && set.number < self.set.number {
                steps.push(RegistersAction::Adopt(*disk));
            }
            let is_source = *disk != NEW_MEMBER && set.version() == self.set.version();
            if is_source && !new_member_votes && !self.replica_pages.contains_key(disk) {
                steps.push(RegistersAction::Copy(*disk));
            }
        }
        if !new_member_votes && self.has_enough_replica_pages() {
            steps.push(RegistersAction::Install);
        }
        steps
    }

    pub(super) fn is_addressed_to(&self, sent: &Sent, disk: u64) -> bool {
        // A request is addressed to the voters of its set.
        let voters = match sent.message.set_version {
            set_version if set_version == self.set.version() => self.set.voters.clone(),
            _ => first_set().voters,
        };
        voters.iter().any(|voter| voter.disk == disk)
    }
}
