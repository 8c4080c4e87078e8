//! All functions, which of them are evaluated, and which are due for a decision.

use crate::function::Function;
use crate::function_configuration::FunctionConfiguration;
use std::collections::{BTreeMap, BTreeSet};

/// Functions by name. Keeps the index of owners and the sets of active and due functions in step with them.
#[derive(Debug, Default)]
pub(crate) struct FunctionTable {
    functions: BTreeMap<String, Function>,
    /// Functions on which each owner reported.
    by_owner: BTreeMap<String, BTreeSet<String>>,
    /// Functions that are evaluated periodically: with demand, with runners, or prewarmed.
    active: BTreeSet<String>,
    /// Functions to decide about next, by priority and name.
    due: BTreeSet<(u8, String)>,
    is_configured: bool,
    longest_timeout_ms: u64,
}

impl FunctionTable {
    /// The function of that name.
    pub fn get(&self, name: &str) -> Option<&Function> {
        self.functions.get(name)
    }

    /// The function of that name, to change its own state.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut Function> {
        self.functions.get_mut(name)
    }

    /// The function of that name; one that is new has this configuration.
    pub fn get_or_insert(
        &mut self,
        name: &str,
        configuration: FunctionConfiguration,
    ) -> &mut Function {
        let function = self.functions.entry(name.to_owned());
        function.or_insert_with(|| Function::new(configuration))
    }

    /// Milliseconds that a start of the function usually takes; 0 where it is unknown.
    pub fn start_ms(&self, name: &str) -> u64 {
        let function = self.functions.get(name);
        function.map_or(0, |function| function.configuration().start_ms)
    }

    /// All functions.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Function> {
        self.functions.values_mut()
    }

    /// Whether a configuration was taken.
    pub fn is_configured(&self) -> bool {
        self.is_configured
    }

    /// The longest time that a request may take by any configuration so far, in milliseconds.
    pub fn longest_timeout_ms(&self) -> u64 {
        self.longest_timeout_ms
    }

    /// Takes the timeouts of a new configuration. Those of earlier ones still bind requests in flight.
    pub fn extend_timeouts(&mut self, configurations: &BTreeMap<String, FunctionConfiguration>) {
        self.is_configured = true;
        let timeouts = configurations.values().map(|one| one.timeout_ms);
        let longest = timeouts.max().unwrap_or(0);
        self.longest_timeout_ms = self.longest_timeout_ms.max(longest);
    }

    /// Names of the functions that these configurations lack.
    pub fn missing_from(
        &self,
        configurations: &BTreeMap<String, FunctionConfiguration>,
    ) -> Vec<String> {
        let known = self.functions.keys();
        let missing = known.filter(|name| !configurations.contains_key(*name));
        missing.cloned().collect()
    }

    /// An owner reports on a function that there is.
    pub fn add_owner(&mut self, owner: &str, name: &str) {
        let owned = self.by_owner.entry(owner.to_owned()).or_default();
        if !owned.contains(name) {
            owned.insert(name.to_owned());
        }
    }

    /// Forgets all that an owner reported.
    pub fn remove_owner(&mut self, owner: &str) {
        for name in self.by_owner.remove(owner).unwrap_or_default() {
            if let Some(function) = self.functions.get_mut(&name) {
                function.remove_owner(owner);
            }
        }
    }

    /// Names of the functions that are evaluated regularly.
    pub fn active(&self) -> &BTreeSet<String> {
        &self.active
    }

    /// Evaluates a function regularly from now on.
    pub fn activate(&mut self, name: &str) {
        if !self.active.contains(name) {
            self.active.insert(name.to_owned());
        }
    }

    /// Stops evaluating a function.
    pub fn deactivate(&mut self, name: &str) {
        self.active.remove(name);
    }

    /// Decides about a function with the next due ones.
    pub fn make_due(&mut self, name: &str) {
        let Some(function) = self.functions.get(name) else {
            return;
        };
        let priority = function.configuration().priority;
        self.due.insert((priority, name.to_owned()));
    }

    /// The functions that are due, the most urgent priority first.
    pub fn take_due(&mut self) -> Vec<String> {
        let due = std::mem::take(&mut self.due);
        due.into_iter().map(|(_, name)| name).collect()
    }

    /// Removes a function that the configuration does not name.
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
