//! All functions, with the sets of those that are evaluated periodically and of those that are due for a decision.

use crate::function::Function;
use crate::function_configuration::FunctionConfiguration;
use std::collections::{BTreeMap, BTreeSet};

/// Functions by name, with an index by owner and the sets of active and due functions.
#[derive(Debug, Default)]
pub(crate) struct FunctionTable {
    functions: BTreeMap<String, Function>,
    /// Names of the functions that each owner has reported on.
    by_owner: BTreeMap<String, BTreeSet<String>>,
    /// Functions that are evaluated periodically because they have demand or runners, or are prewarmed.
    active: BTreeSet<String>,
    /// Functions that are due for a decision, by priority and name.
    due: BTreeSet<(u8, String)>,
    is_configured: bool,
    longest_timeout_ms: u64,
}

impl FunctionTable {
    /// The function with this name.
    pub fn get(&self, name: &str) -> Option<&Function> {
        self.functions.get(name)
    }

    /// The function with this name, for changes to its own state.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Function> {
        self.functions.get_mut(name)
    }

    /// The function with this name. If it is unknown, it is inserted with this configuration.
    pub fn get_or_insert(
        &mut self,
        name: &str,
        configuration: FunctionConfiguration,
    ) -> &mut Function {
        let function = self.functions.entry(name.to_owned());
        function.or_insert_with(|| Function::new(configuration))
    }

    /// Usual duration in milliseconds of a start of the function; 0 if the function is unknown.
    pub fn start_ms(&self, name: &str) -> u64 {
        let function = self.functions.get(name);
        function.map_or(0, |function| function.configuration().start_ms)
    }

    /// Iterates over all functions, sorted by name.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Function> {
        self.functions.values_mut()
    }

    /// Whether a configuration has been applied.
    pub fn is_configured(&self) -> bool {
        self.is_configured
    }

    /// The longest request timeout in milliseconds of any configuration applied so far.
    pub fn longest_timeout_ms(&self) -> u64 {
        self.longest_timeout_ms
    }

    /// Raises the longest timeout to that of a new configuration. Longer timeouts of earlier configurations are kept,
    /// because they still apply to requests in flight.
    pub fn extend_timeouts(&mut self, configurations: &BTreeMap<String, FunctionConfiguration>) {
        self.is_configured = true;
        let timeouts = configurations.values().map(|one| one.timeout_ms);
        let longest = timeouts.max().unwrap_or(0);
        self.longest_timeout_ms = self.longest_timeout_ms.max(longest);
    }

    /// Names of the known functions that are missing from these configurations.
    pub fn missing_from(
        &self,
        configurations: &BTreeMap<String, FunctionConfiguration>,
    ) -> Vec<String> {
        let known = self.functions.keys();
        let missing = known.filter(|name| !configurations.contains_key(*name));
        missing.cloned().collect()
    }

    /// Records that an owner reports on an existing function.
    pub fn add_owner(&mut self, owner: &str, name: &str) {
        let owned = self.by_owner.entry(owner.to_owned()).or_default();
        if !owned.contains(name) {
            owned.insert(name.to_owned());
        }
    }

    /// Removes all reports of an owner.
    pub fn remove_owner(&mut self, owner: &str) {
        for name in self.by_owner.remove(owner).unwrap_or_default() {
            if let Some(function) = self.functions.get_mut(&name) {
                function.remove_owner(owner);
            }
        }
    }

    /// Names of the functions that are evaluated periodically.
    pub fn active(&self) -> &BTreeSet<String> {
        &self.active
    }

    /// Adds a function to those that are evaluated periodically.
    pub fn activate(&mut self, name: &str) {
        if !self.active.contains(name) {
            self.active.insert(name.to_owned());
        }
    }

    /// Removes a function from those that are evaluated periodically.
    pub fn deactivate(&mut self, name: &str) {
        self.active.remove(name);
    }

    /// Marks a function as due for a decision.
    pub fn make_due(&mut self, name: &str) {
        let Some(function) = self.functions.get(name) else {
            return;
        };
        let priority = function.configuration().priority;
        self.due.insert((priority, name.to_owned()));
    }

    /// Takes the names of all due functions, the most urgent priority first.
    pub fn take_due(&mut self) -> Vec<String> {
        let due = std::mem::take(&mut self.due);
        due.into_iter().map(|(_, name)| name).collect()
    }

    /// Removes a function if the configuration does not contain it.
    pub fn remove_unconfigured(&mut self, name: &str) {
        let Some(function) = self.functions.get(name) else {
            return;
        };
        if function.configuration().is_configured {
            return;
        }
        for owner in function.reports().owners() {
            if let Some(owned) = self.by_owner.get_mut(owner) {
                owned.remove(name);
            }
        }
        self.functions.remove(name);
    }
}
