use protocol::{JobVerdict, LeaseRequest, RequestId};

/// What the keeper of jobs wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum JobAction {
    /// Put a copy's bid in for a seat: gateway, district, bid.
    Seat(String, String, LeaseRequest),
    /// Take a copy's bid back: gateway, ticket.
    Withdraw(String, RequestId),
    /// Tell a gateway that its request has the claim and may leave.
    Claimed {
        /// The gateway.
        gateway: String,
        /// Its ticket.
        ticket: RequestId,
        /// Number of its bid.
        attempt: u32,
        /// Version of the register that bears the claim.
        version: u64,
    },
    /// Tell a gateway that its request waits for the answer to another: gateway, ticket, number of its bid.
    Joined(String, RequestId, u32),
    /// Tell a gateway what came of the job: gateway, ticket, number of its bid.
    Tell(String, RequestId, u32, JobVerdict),
    /// Tell a gateway that the answer to its ticket is on the controllers' disks.
    Kept(String, RequestId),
    /// Ask a controller about a register.
    Ask {
        /// Number that the answer bears.
        number: u64,
        /// Key of the register.
        key: String,
        /// Expected version of a write; none for a read.
        expected: Option<u64>,
        /// The new value.
        bytes: Vec<u8>,
        /// How often this was asked before; another controller is asked each time.
        tries: u32,
    },
}
