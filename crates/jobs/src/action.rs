//! Actions that the job coordinator requests from its gateway.

use protocol::{JobVerdict, LeaseRequest, RequestId};

/// An action that the job coordinator requests from its gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum JobAction {
    /// Request a seat lease for a request of a job.
    RequestLease {
        /// Name of the gateway that received the request.
        gateway: String,
        /// Zone of that gateway.
        zone: String,
        /// The lease request; its timeout is the time remaining until the request's deadline.
        request: LeaseRequest,
    },
    /// Cancel the lease request of a request that will not run for now.
    CancelLeaseRequest {
        /// Name of the gateway that received the request.
        gateway: String,
        /// Id of the request.
        request_id: RequestId,
    },
    /// Notify a gateway that its request holds the claim on its job and may be sent to a runner.
    NotifyClaimed {
        /// Name of the gateway that received the request.
        gateway: String,
        /// Id of the request.
        request_id: RequestId,
        /// Number of the request's attempt.
        attempt: u32,
        /// Version of the register that holds the claim.
        register_version: u64,
    },
    /// Notify a gateway that its request waits for the result of another request of the same job.
    NotifyJoined {
        /// Name of the gateway that received the request.
        gateway: String,
        /// Id of the request.
        request_id: RequestId,
        /// Number of the request's attempt.
        attempt: u32,
    },
    /// Notify a gateway of the verdict on its request.
    NotifyVerdict {
        /// Name of the gateway that received the request.
        gateway: String,
        /// Id of the request.
        request_id: RequestId,
        /// Number of the request's attempt.
        attempt: u32,
        /// Outcome of the job for this request.
        verdict: JobVerdict,
    },
    /// Notify a gateway that the result of its request is persisted on a majority of controllers.
    NotifyPersisted {
        /// Name of the gateway that received the request.
        gateway: String,
        /// Id of the request.
        request_id: RequestId,
    },
    /// Read or write a job's register through a controller.
    AccessRegister {
        /// Identifies this access; the response repeats it.
        number: u64,
        /// Key of the register.
        key: String,
        /// Version that the register must have for the write to take effect; `None` for a read.
        expected_version: Option<u64>,
        /// The new value; empty for a read.
        value: Vec<u8>,
        /// Number of earlier attempts at this access. Each retry goes to another controller.
        retries: u32,
    },
}
