//! Which function answers a request: bindings of hosts and path prefixes to functions, with the functions and
//! the limits that belong to them. One configuration is in force at a time.

mod configuration;
mod table;

pub use configuration::{
    Binding, ConfigurationError, ConfigurationFormat, Function, Limits, RoutingConfiguration,
};
pub use table::{plain_host, RoutingTable};
