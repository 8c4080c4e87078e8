//! Explicit-state model checks.
