//! Routing of requests to functions, and authorisation of clients. A configuration holds bindings of hosts and path prefixes to
//! functions, along with the functions, limits and tenants. One configuration is active at a time.

mod configuration;
mod key_digest;
mod table;
mod tenants;

pub use configuration::{
    Binding, ConfigurationError, ConfigurationFormat, Function, Limits, RoutingConfiguration,
};
pub use key_digest::KeyDigest;
pub use table::{normalize_host, RoutingTable};
pub use tenants::{intersect_regions, Tenant, TenantDirectory, TenantError};
