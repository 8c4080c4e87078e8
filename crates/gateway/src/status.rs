//! The gateway's status as JSON, for operators.

use crate::gateway::Gateway;

impl Gateway {
    /// Status of this gateway. The field names are part of the interface of the operators' tool.
    pub fn status(&self) -> String {
        let versions = self.configuration.versions();
        serde_json::json!({
            "name": self.options.name,
            "ready": self.configuration.is_ready(),
            "version": self.configuration.operator_version(),
            "marks": [versions.configuration, versions.evacuations],
            "members": self.configuration.members().len(),
            "functions_kept": self.lease_owner.len(),
            "jobs": self.jobs.len(),
            "owed": self.unacknowledged_results.len(),
            "requests": self.requests.len(),
            "lines": self.connections.len(),
            "invariant_violations": invariants::total_violations(),
            "refused": self.failures.rejected(),
        })
        .to_string()
    }
}
