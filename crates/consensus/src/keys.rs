//! Keys of the shared registers. The strings are stored on disk and sent on the wire.

use register::VOTERS_KEY;

/// Register of the operator's configuration.
pub const CONFIGURATION_KEY: &str = "description";
/// Register of the evacuated zones.
pub const EVACUATIONS_KEY: &str = "closures";
/// Register of the scaler role's holder.
pub const SCALER_ROLE_KEY: &str = "duty";
/// Registers that a controller must read from a majority before its state is complete.
pub const REQUIRED_KEYS: [&str; 2] = [CONFIGURATION_KEY, EVACUATIONS_KEY];
/// Registers whose accepted values each voter settles by itself. A campaign for the scaler role settles its register.
pub(crate) const SETTLED_KEYS: [&str; 3] = [CONFIGURATION_KEY, EVACUATIONS_KEY, VOTERS_KEY];
/// Registers whose committed values are replicated to every controller, in the order in which heartbeats list them.
pub(crate) const REPLICATED_KEYS: [&str; 4] = [
    CONFIGURATION_KEY,
    EVACUATIONS_KEY,
    SCALER_ROLE_KEY,
    VOTERS_KEY,
];
