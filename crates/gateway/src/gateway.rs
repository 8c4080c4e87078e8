//! The gateway's state: its components, the clock and the timers.

use crate::applied_configuration::AppliedConfiguration;
use crate::client_memory::ClientMemory;
use crate::connections::Connections;
use crate::controller_links::ControllerLinks;
use crate::failure_log::FailureLog;
use crate::in_flight_requests::InFlightRequests;
use crate::large_responses::LargeResponses;
use crate::options::{GatewayError, GatewayOptions};
use crate::pauses::Pauses;
use crate::peer_links::PeerLinks;
use crate::response_times::ResponseTimes;
use crate::retry_budgets::RetryBudgets;
use crate::tenant_counts::TenantCounts;
use crate::upstream_pool::UpstreamPool;
use event_loop::{ConnectionId, EventLoop, ListenerId, Timers};
use jobs::{AbandonedAttempts, JobCoordinator, UnacknowledgedResults};
use loop_watchdog::TurnRecord;
use protocol::{Member, RequestId};
use seat_leases::{CancelledRequests, LeaseOwner, RelayedRequests};
use std::sync::Arc;

/// Read limit of a client's connection until the configured limits are applied to it, in bytes.
const DOWNSTREAM_BUFFER_MIN: usize = 16 << 10;
/// Read limit of a connection for readiness checks or metrics, in bytes.
const READINESS_BUFFER_MAX: usize = 1 << 14;
/// Read limit of a link to another daemon, in bytes.
pub(crate) const LINK_BUFFER_MAX: usize = 16 << 20;

/// A scheduled event. Events that are due at the same time are handled in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerEvent {
    /// Periodic work.
    Tick,
    /// A request's deadline.
    RequestDeadline(RequestId),
    /// The backoff of a request ends, and it requests a lease again.
    BackoffOver(RequestId),
    /// The timeout for connecting to a runner ends.
    ConnectTimeout(ConnectionId),
    /// The response to the given attempt of a request is overdue.
    ResponseOverdue(RequestId, u32),
    /// A client's connection may have been idle, or its request incomplete, for too long.
    DownstreamTimeout(ConnectionId),
}

/// Listening sockets, which determine the role of the connections they accept. Connections from any other listener
/// belong to peers.
pub(crate) struct Listeners {
    pub downstream: ListenerId,
    pub readiness: ListenerId,
    /// `None` if no address is configured or the address could not be bound.
    pub metrics: Option<ListenerId>,
}

/// All state of the gateway. It is used from one thread only.
pub(crate) struct Gateway {
    pub options: GatewayOptions,
    /// The identity that this gateway announces to other daemons.
    pub identity: Member,
    pub connections: Connections,
    pub listeners: Listeners,
    pub requests: InFlightRequests,
    pub lease_owner: LeaseOwner,
    pub relayed_requests: RelayedRequests,
    pub cancelled_requests: CancelledRequests,
    pub jobs: JobCoordinator,
    pub unacknowledged_results: UnacknowledgedResults,
    pub abandoned_attempts: AbandonedAttempts,
    pub upstream_pool: UpstreamPool,
    pub peers: PeerLinks,
    pub controllers: ControllerLinks,
    pub configuration: AppliedConfiguration,
    pub retry_budgets: RetryBudgets,
    pub response_times: ResponseTimes,
    pub failures: FailureLog,
    pub tenant_counts: TenantCounts,
    pub client_memory: ClientMemory,
    pub large_responses: LargeResponses,
    pub timers: Timers<TimerEvent>,
    /// Milliseconds since the start, as read at the beginning of this turn and after its poll.
    pub now: u64,
    /// Progress of the loop, read by the watchdog.
    pub turns: Arc<TurnRecord>,
    pub pauses: Pauses,
    /// When the gateway began to drain; `None` while it serves normally.
    pub draining_since: Option<u64>,
    /// Clients' connections with unread bytes, which are read in the next turn.
    pub pipelined_connections: Vec<ConnectionId>,
    /// When the settings were last checked for changes.
    pub settings_checked_at: u64,
    /// When the invariants over whole tables were last checked.
    pub invariants_checked_at: u64,
}

impl Gateway {
    /// Binds the listening sockets; nothing is served yet.
    pub fn open(options: GatewayOptions) -> Result<Self, GatewayError> {
        let silence_ms = options.silence_ms() as u32;
        let mut event_loop =
            EventLoop::new(options.max_connections, silence_ms).map_err(GatewayError::System)?;
        let listeners = listen(&mut event_loop, &options)?;
        let identity = identity(&options);
        Ok(Self {
            peers: PeerLinks::default(),
            jobs: JobCoordinator::new(identity.incarnation, options.job_retention_ms),
            unacknowledged_results: UnacknowledgedResults::default(),
            abandoned_attempts: AbandonedAttempts::default(),
            identity,
            connections: Connections::new(event_loop),
            listeners,
            requests: InFlightRequests::default(),
            lease_owner: LeaseOwner::new(
                &options.name,
                options.policy.leasing.clone(),
                options.topology.clone(),
            ),
            relayed_requests: RelayedRequests::default(),
            cancelled_requests: CancelledRequests::default(),
            upstream_pool: UpstreamPool::default(),
            controllers: ControllerLinks::new(&options.controller_addresses),
            configuration: AppliedConfiguration::default(),
            retry_budgets: RetryBudgets::new(options.retry_ratio, options.retry_slack),
            response_times: ResponseTimes::default(),
            failures: FailureLog::default(),
            tenant_counts: TenantCounts::default(),
            client_memory: ClientMemory::new(options.memory_bytes),
            large_responses: LargeResponses::new(options.memory_bytes),
            timers: Timers::default(),
            now: 0,
            turns: Arc::default(),
            pauses: Pauses::default(),
            draining_since: None,
            pipelined_connections: Vec::new(),
            settings_checked_at: 0,
            invariants_checked_at: 0,
            options,
        })
    }

    /// Whether the gateway is draining: readiness checks fail, and responses close their connections.
    pub fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }
}

fn listen(event_loop: &mut EventLoop, options: &GatewayOptions) -> Result<Listeners, GatewayError> {
    let metrics = listen_for_metrics(event_loop, options);
    let mut listen = |address, buffer_max| {
        let listener = event_loop.listen(address, buffer_max);
        listener.map_err(|error| GatewayError::Listen(address, error))
    };
    let downstream = listen(options.client_address, DOWNSTREAM_BUFFER_MIN)?;
    let readiness = listen(options.readiness_address, READINESS_BUFFER_MAX)?;
    listen(options.peer_listen_address(), LINK_BUFFER_MAX)?;
    Ok(Listeners {
        downstream,
        readiness,
        metrics,
    })
}

/// Binds the metrics address. A failure is only logged, because missing metrics must not prevent the gateway from
/// serving.
fn listen_for_metrics(event_loop: &mut EventLoop, options: &GatewayOptions) -> Option<ListenerId> {
    let address = options.metrics_address?;
    let listener = event_loop.listen(address, READINESS_BUFFER_MAX);
    listener
        .inspect_err(|error| {
            log::warn!("gateway: metrics not listened for address={address} error={error}");
        })
        .ok()
}

fn identity(options: &GatewayOptions) -> Member {
    Member {
        name: options.name.clone(),
        incarnation: rand::random(),
        address: options.peer_address.to_string(),
        zone: options.zone.clone(),
    }
}
