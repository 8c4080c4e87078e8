//! Sample values of every message and of every stored value.

pub mod consensus;
pub mod daemons;
pub mod frames;
pub mod operator_commands;
pub mod ownership;
pub mod protocol;
pub mod register;
pub mod stored;
pub mod tenants;
