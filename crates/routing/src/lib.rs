//! Which function answers a request, and who may send it: bindings of hosts and path prefixes to functions, with the functions,
//! the limits and the tenants that belong to them. One configuration is in force at a time.

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
