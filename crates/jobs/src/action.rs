//! What the coordinator asks its gateway to do.

use protocol::{JobVerdict, LeaseRequest, RequestId};

/// What the coordinator asks its gateway to do.
#[derive(Clone, Debug, PartialEq)]
pub enum JobAction {
    /// Request a lease for a request of a job.
    RequestLease {
        /// Name of the request's gateway.
        gateway: String,
        /// Zone of that gateway.
        zone: String,
        /// The lease request, with the time that is left.
        request: LeaseRequest,
    },
    /// Cancel the lease request of a request that does not run for now.
    CancelLeaseRequest {
        /// Name of the request's gateway.
        gateway: String,
        /// The request.
        request_id: RequestId,
    },
    /// Tell a gateway that its request holds the claim on its job and may be sent to a runner.
    NotifyClaimed {
        /// Name of the gateway.
        gateway: String,
        /// The request.
        request_id: RequestId,
        /// Number of its attempt.
        attempt: u32,
        /// Version of the register that holds the claim.
        register_version: u64,
    },
    /// Tell a gateway that its request waits for the result of another.
    NotifyJoined {
        /// Name of the gateway.
        gateway: String,
        /// The request.
        request_id: RequestId,
        /// Number of its attempt.
        attempt: u32,
    },
    /// Tell a gateway how the job of its request ended.
    NotifyVerdict {
        /// Name of the gateway.
        gateway: String,
        /// The request.
        request_id: RequestId,
        /// Number of its attempt.
        attempt: u32,
        /// How the job ended for this request.
        verdict: JobVerdict,
    },
    /// Tell a gateway that the result of its request is on the disks of a majority of controllers.
    NotifyPersisted {
        /// Name of the gateway.
        gateway: String,
        /// The request.
        request_id: RequestId,
    },
    /// Ask a controller to read or write a job's register.
    AccessRegister {
        /// Number that the response repeats.
        number: u64,
        /// Key of the register.
        key: String,
        /// Version that the register must have for the write; none for a read.
        expected_version: Option<u64>,
        /// The new value; empty for a read.
        value: Vec<u8>,
        /// How often this was asked before; another controller is asked each time.
        retries: u32,
    },
}
