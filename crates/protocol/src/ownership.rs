//! The agreed ownership of functions' seats: the table that the controller that scales publishes, and the hand-over of seats between
//! a function's former owner and its next.

use crate::functions::RunnerUpdate;
use crate::identifiers::{RequestId, UpdateVersion};
use crate::leases::{LeaseRequest, RunnerLeases};
use crate::member::Member;
use speedy::{Readable, Writable};

/// Which gateways own functions, whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct OwnershipTable {
    /// Its version; the highest one wins.
    pub version: UpdateVersion,
    /// The gateways.
    pub members: Vec<Member>,
    /// Names of those that owned nothing under the version before.
    pub joined: Vec<String>,
    /// Names of those that own nothing any more, since they are about to stop. They still hand over what they owned.
    pub leaving: Vec<String>,
    /// Whether it goes to all members, as the first of a term or the first that all understand. Else it goes to a gateway that came
    /// anew and has owned nothing since.
    pub is_first: bool,
}

/// How a table differs from the version before, for a gateway that has that version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct OwnershipChange {
    /// Version on which the change builds.
    pub base: UpdateVersion,
    /// Its own version.
    pub version: UpdateVersion,
    /// Gateways that came, or began another incarnation.
    pub joined: Vec<Member>,
    /// Names of the members that are about to stop and were not before.
    pub leaving: Vec<String>,
    /// Names of the gateways that went.
    pub left: Vec<String>,
}

/// A former owner hands over what it knows of functions that fell to the receiver.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct SeatHandover {
    /// Version of the table that the sender has applied: it leases no seat of a function that this table gives to another.
    pub version: UpdateVersion,
    /// Some of the functions; those that no part names have neither runners nor leases here.
    pub functions: Vec<FunctionHandover>,
    /// Whether this is the last part.
    pub is_last: bool,
}

/// One function in a hand-over.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct FunctionHandover {
    /// The function.
    pub function: String,
    /// Version of the scaler's last update of it; zero where the giver's list of runners may be old.
    pub version: UpdateVersion,
    /// Its runners as the former owner knows them.
    pub runners: Vec<RunnerHandover>,
    /// Its seats that are leased.
    pub leases: Vec<GatewayLeases>,
}

impl FunctionHandover {
    /// Whether the list of runners is one that the scaler has told the former owner.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.version != UpdateVersion::default()
    }

    /// Whether a seat of this runner is leased.
    #[must_use]
    pub fn has_leases_at(&self, runner: &str) -> bool {
        let mut leases = self.leases.iter().flat_map(|leases| &leases.runners);
        leases.any(|leases| leases.runner == runner)
    }
}

/// One runner in a hand-over.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct RunnerHandover {
    /// What the scaler wants of it.
    pub update: RunnerUpdate,
    /// It was reached at least once.
    pub is_up: bool,
    /// It cannot be reached any more.
    pub is_unreachable: bool,
    /// Mean milliseconds of a response; 0 before the first.
    pub mean_response_ms: u32,
}

/// The leases of one gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct GatewayLeases {
    /// Name of the gateway.
    pub gateway: String,
    /// Its leases, by runner.
    pub runners: Vec<RunnerLeases>,
}

/// A lease request that a gateway passes on for another one, which cannot reach the function's owner.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct RelayedLeaseRequest {
    /// The request, under a number of the gateway that passes it on; its own list of regions does not travel.
    pub request: LeaseRequest,
    /// Zone of the gateway that has the client.
    pub zone: String,
    /// Regions that the request must not leave; empty where all are allowed.
    pub allowed_regions: Vec<String>,
}

impl RelayedLeaseRequest {
    /// Passes a request on under another number.
    #[must_use]
    pub fn new(request_id: RequestId, zone: &str, mut request: LeaseRequest) -> Self {
        let allowed_regions = std::mem::take(&mut request.allowed_regions);
        Self {
            request: LeaseRequest {
                request_id,
                job: None,
                ..request
            },
            zone: zone.into(),
            allowed_regions,
        }
    }

    /// The request as the function's owner takes it.
    #[must_use]
    pub fn into_request(self) -> LeaseRequest {
        LeaseRequest {
            allowed_regions: self.allowed_regions,
            ..self.request
        }
    }
}
