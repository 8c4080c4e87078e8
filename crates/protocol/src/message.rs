use crate::functions::{FunctionNews, FunctionReport};
use crate::jobs::{JobEnd, JobMark, JobVerdict, RegisterSaid};
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
    pub district: String,
}

/// A request that waits for a seat at one of its function's runners.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct Bid {
    /// Number that the bidding gateway gave it, of its own in that gateway's life.
    pub ticket: u64,
    /// The function.
    pub function: String,
    /// Rank; 0 goes first.
    pub rank: u8,
    /// Milliseconds within which a seat is still of use.
    pub budget_ms: u32,
    /// Runners that this request was at already.
    pub avoid: Vec<String>,
    /// The job of which it may be one of several copies, where its caller named one.
    pub job: Option<JobMark>,
}

/// A seat that was lent for one request.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct Grant {
    /// The bid's ticket.
    pub ticket: u64,
    /// Id of the runner.
    pub runner: String,
    /// Its address.
    pub address: String,
    /// District of its worker.
    pub district: String,
}

/// How the use of a seat ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub enum Outcome {
    /// The runner answered well.
    #[default]
    Answered,
    /// The seat was not used.
    Unused,
    /// The runner was full and did not run it.
    TurnedAway,
    /// Nobody is at the runner's address, or another runner is.
    Gone,
    /// The runner could not be reached in time.
    Unreached,
    /// The runner may have run it, and no good answer came.
    Lost,
}

/// A seat that is given back.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct Release {
    /// The bid's ticket.
    pub ticket: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// Milliseconds that the runner took.
    pub took_ms: u32,
}

/// Everything that daemons say to one another outside the consensus of controllers.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum Message {
    /// A gateway tells who it is, first on every link.
    Gateway(Member),
    /// A gateway's heartbeat to a controller: versions of description and closures that it holds, and of the roster.
    GatewayHeartbeat {
        /// Mark of the description in force.
        description: u64,
        /// Mark of the closed districts in force.
        closures: u64,
        /// Term and number of the roster.
        roster: (u64, u64),
    },
    /// A controller's heartbeat to a gateway.
    ControllerHeartbeat {
        /// Newest settled mark of the description.
        description: u64,
        /// Newest settled mark of the closed districts.
        closures: u64,
        /// Term under which it scales; 0 where it does not.
        term: u64,
        /// Addresses of all controllers that it knows.
        controllers: Vec<String>,
        /// District that it stands in.
        district: String,
        /// Whether it is in contact with a majority of voters, so that what it tells may be taken for the newest.
        is_current: bool,
    },
    /// A daemon that is no gateway asks a controller for its heartbeat.
    AskHeartbeat,
    /// A gateway asks for what is newer than what it holds.
    Ask {
        /// Mark of the description in force.
        description: u64,
        /// Mark of the closed districts in force.
        closures: u64,
    },
    /// A settled description, compressed.
    Description {
        /// Its mark; a higher one wins.
        mark: u64,
        /// The operator's document, deflated.
        document: Vec<u8>,
    },
    /// Settled changes of a description, for who has the one on which the first builds.
    Changes {
        /// Mark of the description on which the first change builds; each change adds one.
        from: u64,
        /// The operator's changes, each deflated, the oldest first.
        changes: Vec<Vec<u8>>,
    },
    /// Settled closed districts.
    Closures {
        /// Their mark; a higher one wins.
        mark: u64,
        /// Names of the districts that take no requests.
        districts: Vec<String>,
    },
    /// The gateways that keep functions, from the controller that scales.
    Roster {
        /// Term of the scaler and number of the roster within it; a higher pair wins.
        mark: (u64, u64),
        /// The gateways.
        members: Vec<Member>,
    },
    /// A keeper tells the scaler about functions.
    Report(Vec<FunctionReport>),
    /// The scaler tells a keeper the runners of functions.
    Runners(Vec<FunctionNews>),
    /// A gateway bids for a seat at the function's keeper.
    Bid(Bid),
    /// A gateway takes a bid back; a seat that was lent for it is free.
    Withdraw(u64),
    /// The keeper lends a seat.
    Grant(Grant),
    /// The keeper has no seat for a bid and will have none in time.
    Refuse {
        /// The bid's ticket.
        ticket: u64,
        /// Milliseconds after which it pays to come back.
        retry_after_ms: u32,
    },
    /// A gateway gives seats back.
    Release(Release),
    /// A gateway tells a function's new keeper which runners it has requests at.
    Known {
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
    Status,
    /// A daemon's state as JSON text.
    StatusText(String),
    /// The keeper tells a gateway that its request has the claim on its job, and may leave for a runner.
    Claimed {
        /// The bid's ticket.
        ticket: u64,
        /// Number of the bid.
        attempt: u32,
        /// Version of the register that bears the claim.
        version: u64,
    },
    /// The keeper tells a gateway that its request is a copy of one that may be running, and waits for its answer.
    Joined {
        /// The bid's ticket.
        ticket: u64,
        /// Number of the bid.
        attempt: u32,
    },
    /// The keeper tells a gateway what came of the job.
    JobTold {
        /// The bid's ticket.
        ticket: u64,
        /// Number of the bid.
        attempt: u32,
        /// What came of it.
        verdict: JobVerdict,
    },
    /// A gateway tells the keeper how a request of a job ended.
    JobEnd(JobEnd),
    /// The keeper tells a gateway that the answer to its ticket's job is on the disks of a majority of controllers.
    JobKept(u64),
    /// A gateway asks a controller to read or write a job's register.
    JobAsk {
        /// Number that the answer bears.
        number: u64,
        /// Key of the register.
        key: String,
        /// Version that the register must have to be written; none to read it.
        expected: Option<u64>,
        /// The new value.
        bytes: Vec<u8>,
    },
    /// A controller's answer.
    JobSaid {
        /// Number of the question.
        number: u64,
        /// The answer.
        said: RegisterSaid,
    },
}
