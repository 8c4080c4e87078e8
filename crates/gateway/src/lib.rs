//! The data plane: a proxy between clients and the runners of functions, on one thread over non-blocking connections.
//!
//! *Downstream* is the client side and *upstream* the runner side. A request passes through these phases, each in a
//! module of its own; [`run()`] connects them to the event loop:
//!
//! 1. `downstream_requests`: reads a request from a client and times out connections that are idle or slow.
//! 2. `request_admission`: binds the request to a function and to the sending tenant (`client_identity`), checks it and
//!    sets its deadline and retry budget.
//! 3. `lease_requests`: requests a seat from the gateway that owns the function's seats.
//! 4. `upstream_requests`: takes a pooled or new connection to the runner of the lease and sends the request.
//! 5. `upstream_responses`: matches the runner's bytes, or the end of its connection, to the request.
//! 6. `request_outcomes`: classifies the response and answers, retries (`retries`) or rejects the request.
//! 7. `downstream_responses`: writes the response and reads the client's next request.
//!
//! Modules outside this path:
//!
//! - `ownership`: hands seats over between owners and relays lease requests to them.
//! - `job_messages` and `job_actions`: requests with an idempotency key.
//! - `peer_messages` and `controller_messages`: messages from other daemons.
//! - `configuration_updates`: applies updates from controllers.
//! - `key_checks`: ends requests whose API key was revoked.
//! - `upstream_probes`, `readiness`, `metrics_endpoint`, `memory_bounds` and `status`.
//!
//! The state is divided into components that each maintain one invariant and do no I/O beyond their own connections:
//! `Connections`, `InFlightRequests`, `UpstreamPool`, `RetryBudgets`, `ResponseTimes`, `PeerLinks`, `ControllerLinks`,
//! `ClientMemory`, `LargeResponses`, `TenantCounts` and `AppliedConfiguration`. `Gateway` holds one of each, and the
//! phases use them through their methods.
#![warn(missing_docs)]

mod applied_configuration;
mod client_identity;
mod client_memory;
mod client_response;
mod configuration_updates;
mod connections;
mod controller_links;
mod controller_messages;
mod downstream_connection;
mod downstream_requests;
mod downstream_responses;
mod failure_log;
mod gateway;
mod in_flight_requests;
mod invariant_checks;
mod job_actions;
mod job_messages;
mod key_checks;
mod large_responses;
mod lease_requests;
mod memory_bounds;
mod metrics_endpoint;
mod options;
mod ownership;
mod pause_confirmation;
mod pauses;
mod peer_links;
mod peer_messages;
mod pending_request;
mod process_pauses;
mod readiness;
mod request_accounting;
mod request_admission;
mod request_outcomes;
pub mod response_classification;
mod response_times;
mod retries;
mod retry_budgets;
mod run;
mod sent_ids;
mod status;
pub mod stored_response;
mod tenant_counts;
mod tenant_retries;
mod upstream_connection;
mod upstream_pool;
mod upstream_probes;
mod upstream_requests;
mod upstream_responses;
pub mod upstream_session;

pub use options::{GatewayError, GatewayOptions, HttpConventions};
pub use run::run;

#[cfg(test)]
#[path = "../tests/unit/agreed_owners.rs"]
mod agreed_owners_tests;
#[cfg(test)]
#[path = "../tests/unit/allowed_regions.rs"]
mod allowed_regions_tests;
#[cfg(test)]
#[path = "../tests/unit/broken_invariants.rs"]
mod broken_invariants_tests;
#[cfg(test)]
#[path = "../tests/unit/client_identity.rs"]
mod client_identity_tests;
#[cfg(test)]
#[path = "../tests/unit/client_response.rs"]
mod client_response_tests;
#[cfg(test)]
#[path = "../tests/unit/connection_reuse.rs"]
mod connection_reuse_tests;
#[cfg(test)]
#[path = "../tests/unit/controller_links.rs"]
mod controller_links_tests;
#[cfg(test)]
#[path = "../tests/unit/drain_end.rs"]
mod drain_end_tests;
#[cfg(test)]
#[path = "../tests/unit/owner_links.rs"]
mod owner_links_tests;
#[cfg(test)]
#[path = "../tests/unit/ownership_changes.rs"]
mod ownership_changes_tests;
#[cfg(test)]
#[path = "../tests/unit/process_pauses.rs"]
mod process_pauses_tests;
#[cfg(test)]
#[path = "../tests/unit/relayed_tenants.rs"]
mod relayed_tenants_tests;
#[cfg(test)]
#[path = "../tests/unit/restarted_peers.rs"]
mod restarted_peers_tests;
