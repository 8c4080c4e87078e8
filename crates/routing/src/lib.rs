//! Which function answers a request: bindings of hosts and path prefixes to functions, with the functions and
//! the limits that belong to them. One whole description is in force at a time.
#![warn(missing_docs)]

mod description;
mod table;

pub use description::{Binding, Description, Documents, Fault, Function, Limits};
pub use table::{plain_host, Table};
