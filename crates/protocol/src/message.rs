use crate::functions::{FunctionReport, FunctionUpdate};
use crate::jobs::{JobAttempt, JobCompletion, JobVerdict, RegisterResponse};
use speedy::{Readable, Writable};

/// A daemon of the data plane on the roster.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Member {
    /// Name from its settings.
    pub name: String,
    /// Random number of this life.
    pub incarnation: u64,
    /// Address at which other daemons reach it.
    pub address: String,
    /// District that it stands in.
    pub zone: String,
}

/// A request that waits for a seat at one of its function's runners.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct LeaseRequest {
    /// Number that the bidding gateway gave it, of its own in that gateway's life.
    pub request_id: u64,
    /// The function.
    pub function: String,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Milliseconds within which a seat is still of use.
    pub timeout_ms: u32,
    /// Runners that this request was at already.
    pub excluded_runners: Vec<String>,
    /// The job of which it may be one of several copies, where its caller named one.
    pub job: Option<JobAttempt>,
}

/// A seat that was lent for one request.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct SeatLease {
    /// The bid's ticket.
    pub request_id: u64,
    /// Id of the runner.
    pub runner: String,
    /// Its address.
    pub address: String,
    /// District of its worker.
    pub zone: String,
}

/// How the use of a seat ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub enum LeaseOutcome {
    /// The runner answered well.
    #[default]
    Succeeded,
    /// The seat was not used.
    Unused,
    /// The runner was full and did not run it.
    Rejected,
    /// Nobody is at the runner's address, or another runner is.
    Gone,
    /// The runner could not be reached in time.
    Unreachable,
    /// The runner may have run it, and no good answer came.
    Lost,
}

/// A seat that is given back.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct LeaseRelease {
    /// The bid's ticket.
    pub request_id: u64,
    /// How it ended.
    pub outcome: LeaseOutcome,
    /// Milliseconds that the runner took.
    pub duration_ms: u32,
}

/// Everything that daemons say to one another outside the consensus of controllers.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum Message {
    /// A gateway tells who it is, first on every link.
    GatewayHello(Member),
    /// A gateway's heartbeat to a controller: versions of description and closures that it holds, and of the roster.
    GatewayHeartbeat {
        /// Mark of the description in force.
        configuration_version: u64,
        /// Mark of the closed districts in force.
        evacuations_version: u64,
        /// Term and number of the roster.
        membership_version: (u64, u64),
    },
    /// A controller's heartbeat to a gateway.
    ControllerHeartbeat {
        /// Newest settled mark of the description.
        configuration_version: u64,
        /// Newest settled mark of the closed districts.
        evacuations_version: u64,
        /// Term under which it scales; 0 where it does not.
        term: u64,
        /// Addresses of all controllers that it knows.
        controllers: Vec<String>,
        /// District that it stands in.
        zone: String,
        /// Whether it is in contact with a majority of voters, so that what it tells may be taken for the newest.
        is_current: bool,
    },
    /// A daemon that is no gateway asks a controller for its heartbeat.
    RequestHeartbeat,
    /// A gateway asks for what is newer than what it holds.
    RequestConfiguration {
        /// Mark of the description in force.
        configuration_version: u64,
        /// Mark of the closed districts in force.
        evacuations_version: u64,
    },
    /// A settled description, compressed.
    Configuration {
        /// Its mark; a higher one wins.
        version: u64,
        /// The operator's document, deflated.
        document: Vec<u8>,
    },
    /// Settled changes of a description, for who has the one on which the first builds.
    ConfigurationChanges {
        /// Mark of the description on which the first change builds; each change adds one.
        base_version: u64,
        /// The operator's changes, each deflated, the oldest first.
        changes: Vec<Vec<u8>>,
    },
    /// Settled closed districts.
    EvacuatedZones {
        /// Their mark; a higher one wins.
        version: u64,
        /// Names of the districts that take no requests.
        zones: Vec<String>,
    },
    /// The gateways that keep functions, from the controller that scales.
    GatewayMembership {
        /// Term of the scaler and number of the roster within it; a higher pair wins.
        version: (u64, u64),
        /// The gateways.
        members: Vec<Member>,
    },
    /// A keeper tells the scaler about functions.
    FunctionReports(Vec<FunctionReport>),
    /// The scaler tells a keeper the runners of functions.
    FunctionUpdates(Vec<FunctionUpdate>),
    /// A gateway bids for a seat at the function's keeper.
    LeaseRequest(LeaseRequest),
    /// A gateway takes a bid back; a seat that was lent for it is free.
    CancelRequest(u64),
    /// The keeper lends a seat.
    SeatLease(SeatLease),
    /// The keeper has no seat for a bid and will have none in time.
    Reject {
        /// The bid's ticket.
        request_id: u64,
        /// Milliseconds after which it pays to come back.
        retry_after_ms: u32,
    },
    /// A gateway gives seats back.
    LeaseRelease(LeaseRelease),
    /// A gateway tells a function's new keeper which runners it has requests at.
    LeasesInUse {
        /// The function.
        function: String,
        /// Runner, address, district, and tickets in flight there.
        runners: Vec<(String, String, String, Vec<u64>)>,
    },
    /// Whoever gets this answers with the same number, so that a silent daemon is noticed.
    Ping(u64),
    /// The answer to a ping.
    Pong(u64),
    /// An operator's tool asks for a daemon's state.
    RequestStatus,
    /// A daemon's state as JSON text.
    Status(String),
    /// The keeper tells a gateway that its request has the claim on its job, and may leave for a runner.
    JobClaimed {
        /// The bid's ticket.
        request_id: u64,
        /// Number of the bid.
        attempt: u32,
        /// Version of the register that bears the claim.
        register_version: u64,
    },
    /// The keeper tells a gateway that its request is a copy of one that may be running, and waits for its answer.
    JobJoined {
        /// The bid's ticket.
        request_id: u64,
        /// Number of the bid.
        attempt: u32,
    },
    /// The keeper tells a gateway what came of the job.
    JobVerdict {
        /// The bid's ticket.
        request_id: u64,
        /// Number of the bid.
        attempt: u32,
        /// What came of it.
        verdict: JobVerdict,
    },
    /// A gateway tells the keeper how a request of a job ended.
    JobCompletion(JobCompletion),
    /// The keeper tells a gateway that the answer to its ticket's job is on the disks of a majority of controllers.
    JobPersisted(u64),
    /// A gateway asks a controller to read or write a job's register.
    JobRegisterRequest {
        /// Number that the answer bears.
        number: u64,
        /// Key of the register.
        key: String,
        /// Version that the register must have to be written; none to read it.
        expected_version: Option<u64>,
        /// The new value.
        value: Vec<u8>,
    },
    /// A controller's answer.
    JobRegisterResponse {
        /// Number of the question.
        number: u64,
        /// The answer.
        response: RegisterResponse,
    },
}
