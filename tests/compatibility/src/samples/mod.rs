//! Sample values of every message kind and every stored type.

pub mod consensus;
pub mod daemons;
pub mod frames;
pub mod operator_commands;
pub mod ownership;
pub mod protocol;
pub mod register;
pub mod stored;
pub mod tenants;
