//! Phase 2: binds a request to a function and checks it. An admitted request is in flight until its response is sent.

use crate::client_identity::{ClientIdentity, IdentityError};
use crate::client_response::ClientResponse;
use crate::failure_log::RequestFailure;
use crate::gateway::{Gateway, TimerEvent};
use crate::pending_request::{PendingRequest, RequestPhase};
use event_loop::ConnectionId;
use http1::{ErrorStatus, Request};
use jobs::JobAdmission;
use protocol::RequestId;
use routing::{intersect_regions, Binding, RoutingTable};

/// Longest time for which a request is held, in milliseconds, whatever the client and the binding ask for.
const TIMEOUT_MAX_MS: u64 = 120_000;

/// Seconds after which a client whose request was rejected before admission may retry.
const RETRY_AFTER_S: &[u8] = b"0.250";

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AdmissionError {
    /// No configuration has been applied yet.
    NotConfigured,
    /// The memory bound for all clients is exceeded.
    MemoryExceeded,
    /// No binding matches the request's host and path.
    NoBinding,
    /// The request has no id.
    NoRequestId,
    /// The request has several ids. The gateway and the runner might each take another one for the request's.
    SeveralRequestIds,
    /// The sending tenant could not be identified.
    Unidentified(IdentityError),
    /// The allowed regions of the binding and of the tenant do not intersect.
    NoCommonRegion,
    /// The client's timeout is not a number, or there are several.
    InvalidTimeout,
    /// The idempotency key is invalid, or there are several.
    InvalidIdempotencyKey,
}

impl AdmissionError {
    fn status(self) -> ErrorStatus {
        match self {
            Self::NotConfigured | Self::MemoryExceeded | Self::NoCommonRegion => {
                ErrorStatus::SERVICE_UNAVAILABLE
            }
            Self::Unidentified(_) => ErrorStatus::UNAUTHORIZED,
            Self::NoBinding => ErrorStatus::NOT_FOUND,
            Self::NoRequestId
            | Self::SeveralRequestIds
            | Self::InvalidTimeout
            | Self::InvalidIdempotencyKey => ErrorStatus::BAD_REQUEST,
        }
    }

    fn reason(self) -> &'static str {
        match self {
            Self::NotConfigured | Self::NoBinding => "no binding for this host and path",
            Self::Unidentified(error) => error.reason(),
            Self::NoCommonRegion => "the route and the tenant have no home region in common",
            Self::MemoryExceeded => "too much is held for clients",
            Self::NoRequestId => "the request has no id",
            Self::SeveralRequestIds => "the request has several ids",
            Self::InvalidTimeout => "the time left is not one number",
            Self::InvalidIdempotencyKey => {
                "the idempotency key is not up to 200 visible ASCII characters, told once"
            }
        }
    }
}

/// Properties of an admitted request, taken from its binding and its headers.
struct Admission {
    route: String,
    function: String,
    at_most_once: bool,
    priority: u8,
    max_attempts: u32,
    timeout_ms: u64,
    allowed_regions: Vec<String>,
    client: Option<ClientIdentity>,
    job: Option<Box<JobAdmission>>,
}

impl Gateway {
    /// Admits a complete request, or responds to it with an error.
    pub fn admit_request(&mut self, id: ConnectionId, request: Request) {
        let client_request_id = request.headers.get(self.options.conventions.request_id);
        let client_request_id = client_request_id.unwrap_or(b"").to_vec();
        match self.check_request(&request, &client_request_id) {
            Ok(admission) => self.begin_request(id, request, client_request_id, admission),
            Err(error) => self.reject_request(id, &request, &client_request_id, error),
        }
    }

    fn check_request(
        &self,
        request: &Request,
        client_request_id: &[u8],
    ) -> Result<Admission, AdmissionError> {
        if self.client_memory.is_exceeded() {
            return Err(AdmissionError::MemoryExceeded);
        }
        let table = self.configuration.table();
        let table = table.ok_or(AdmissionError::NotConfigured)?;
        let (binding, function) = find_binding(&table, request).ok_or(AdmissionError::NoBinding)?;
        let client = self.identify(&table, binding, request)?;
        self.check_request_id(request, client_request_id)?;
        let allowed_regions = regions(binding, client.as_ref())?;
        let binding_timeout_ms = u64::from(binding.timeout_ms);
        let client_timeout_ms = self.client_timeout_ms(request)?;
        let tenant = client.as_ref().map(ClientIdentity::name);
        let job = self.job_admission(request, binding, &function, tenant);
        let job = job.map_err(|_| AdmissionError::InvalidIdempotencyKey)?;
        Ok(Admission {
            route: binding.name.clone(),
            function,
            at_most_once: binding.at_most_once,
            priority: binding.priority,
            max_attempts: binding.max_attempts.max(1),
            timeout_ms: client_timeout_ms
                .unwrap_or(binding_timeout_ms)
                .min(binding_timeout_ms)
                .min(TIMEOUT_MAX_MS),
            allowed_regions,
            client,
            job,
        })
    }

    fn check_request_id(
        &self,
        request: &Request,
        client_request_id: &[u8],
    ) -> Result<(), AdmissionError> {
        if client_request_id.is_empty() {
            return Err(AdmissionError::NoRequestId);
        }
        let ids = request.headers.get_all(self.options.conventions.request_id);
        if ids.count() > 1 {
            return Err(AdmissionError::SeveralRequestIds);
        }
        Ok(())
    }

    /// The time for which the client waits, in milliseconds, if it states one.
    fn client_timeout_ms(&self, request: &Request) -> Result<Option<u64>, AdmissionError> {
        let mut timeouts = request.headers.get_all(self.options.conventions.timeout);
        let Some(timeout) = timeouts.next() else {
            return Ok(None);
        };
        if timeouts.next().is_some() {
            return Err(AdmissionError::InvalidTimeout);
        }
        let text = std::str::from_utf8(timeout).map_err(|_| AdmissionError::InvalidTimeout)?;
        let parsed = text.trim().parse();
        parsed.map(Some).map_err(|_| AdmissionError::InvalidTimeout)
    }

    fn identify(
        &self,
        table: &RoutingTable,
        binding: &Binding,
        request: &Request,
    ) -> Result<Option<ClientIdentity>, AdmissionError> {
        let key_header = self.options.conventions.credential;
        let tenants = table.configuration().tenants.as_ref();
        let client =
            ClientIdentity::of_request(&request.headers, key_header, tenants, binding.is_public);
        client.map_err(AdmissionError::Unidentified)
    }

    fn begin_request(
        &mut self,
        id: ConnectionId,
        request: Request,
        client_request_id: Vec<u8>,
        admission: Admission,
    ) {
        let deadline = self.now + admission.timeout_ms;
        if let Some(client) = &admission.client {
            self.tenant_counts.record_request(client.name());
        }
        let request_id = self.requests.add(PendingRequest {
            id: RequestId(0),
            downstream: Some(id),
            request,
            client_request_id,
            route: admission.route,
            function: admission.function,
            at_most_once: admission.at_most_once,
            priority: admission.priority,
            max_attempts: admission.max_attempts,
            allowed_regions: admission.allowed_regions,
            client: admission.client,
            attempts: 0,
            connect_failures: 0,
            may_have_run: false,
            received_at: self.now,
            deadline,
            excluded_runners: Vec::new(),
            phase: RequestPhase::Backoff,
            job: admission.job,
        });
        if let Some(connection) = self.connections.downstream(id) {
            connection.request = Some(request_id);
        }
        self.timers
            .schedule(deadline, TimerEvent::RequestDeadline(request_id));
        self.deposit_retry_budget(request_id);
        self.request_lease(request_id);
    }

    fn reject_request(
        &mut self,
        id: ConnectionId,
        request: &Request,
        client_request_id: &[u8],
        error: AdmissionError,
    ) {
        let mut headers: Vec<(&str, &[u8])> = Vec::new();
        if !client_request_id.is_empty() {
            headers.push((self.options.conventions.request_id, client_request_id));
        }
        let (status, reason) = (error.status(), error.reason());
        if status == ErrorStatus::SERVICE_UNAVAILABLE {
            headers.push((self.options.conventions.retry_after, RETRY_AFTER_S));
        }
        let failure = RequestFailure::before_admission(client_request_id, status, reason);
        self.failures.record(self.now, &failure);
        let response = ClientResponse::error(status, headers, reason);
        self.respond_to(id, request, response);
    }
}

/// Returns the binding that matches a request's host and path, and the name of its function.
fn find_binding<'a>(table: &'a RoutingTable, request: &Request) -> Option<(&'a Binding, String)> {
    let host = request.headers.get_text("host").unwrap_or("");
    let path = request.target.split('?').next().unwrap_or("");
    let (_, binding, function) = table.find(host, path)?;
    Some((binding, function.name.clone()))
}

/// Returns the regions in which a request may run; empty if all are allowed. If both the binding and the tenant
/// restrict them, the intersection applies.
fn regions(
    binding: &Binding,
    client: Option<&ClientIdentity>,
) -> Result<Vec<String>, AdmissionError> {
    let of_tenant = client.map_or(&[][..], |client| &client.tenant().allowed_regions);
    let regions = intersect_regions(&binding.allowed_regions, of_tenant);
    let is_restricted = !binding.allowed_regions.is_empty() || !of_tenant.is_empty();
    if is_restricted && regions.is_empty() {
        return Err(AdmissionError::NoCommonRegion);
    }
    Ok(regions)
}
