//! Lookup of the function that serves a request.

use std::borrow::Cow;
use std::collections::HashMap;
use std::sync::Arc;

use crate::configuration::{Binding, Function, RoutingConfiguration};

/// Finds the bindings of one configuration by host and path.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    configuration: Arc<RoutingConfiguration>,
    hosts: HashMap<Box<str>, Prefixes>,
    functions: HashMap<Box<str>, usize>,
}

#[derive(Clone, Debug, Default)]
struct Prefixes {
    bindings: HashMap<Box<str>, usize>,
    max_length: usize,
}

impl RoutingTable {
    /// Builds the table. Of several bindings with the same host and prefix, the first one wins.
    pub fn new(configuration: Arc<RoutingConfiguration>) -> Self {
        let mut hosts: HashMap<Box<str>, Prefixes> = HashMap::new();
        for (index, binding) in configuration.bindings.iter().enumerate() {
            let host = normalize_host(&binding.host);
            if !hosts.contains_key(host.as_ref()) {
                hosts.insert(host.as_ref().into(), Prefixes::default());
            }
            let Some(prefixes) = hosts.get_mut(host.as_ref()) else {
                continue;
            };
            prefixes.max_length = prefixes.max_length.max(binding.prefix.len());
            let entry = prefixes.bindings.entry(binding.prefix.as_str().into());
            entry.or_insert(index);
        }
        let mut functions = HashMap::with_capacity(configuration.functions.len());
        for (index, function) in configuration.functions.iter().enumerate() {
            functions
                .entry(function.name.as_str().into())
                .or_insert(index);
        }
        Self {
            configuration,
            hosts,
            functions,
        }
    }

    /// Finds the binding of a request, with its index and its function. The host may include a port, and the path a query.
    pub fn find(&self, host: &str, path: &str) -> Option<(usize, &Binding, &Function)> {
        let prefixes = self.hosts.get(normalize_host(host).as_ref())?;
        let index = prefixes.find_longest(path)?;
        let binding = self.configuration.bindings.get(index)?;
        let function = self.configuration.functions.get(binding.function_index)?;
        Some((index, binding, function))
    }

    /// Index of a function in [`RoutingConfiguration::functions`].
    pub fn function_index(&self, name: &str) -> Option<usize> {
        self.functions.get(name).copied()
    }

    /// The configuration that the table was built from.
    pub fn configuration(&self) -> &Arc<RoutingConfiguration> {
        &self.configuration
    }
}

impl Prefixes {
    /// Index of the binding with the longest prefix that matches the path.
    fn find_longest(&self, path: &str) -> Option<usize> {
        let path = path.as_bytes();
        let end = path.iter().position(|byte| *byte == b'?');
        let path = &path[..end.unwrap_or(path.len()).min(self.max_length)];
        let ends = (0..path.len()).rev().filter(|at| path[*at] == b'/');
        // A slash is always a complete character in UTF-8, so the path up to and including a slash is valid UTF-8.
        let candidates = ends.filter_map(|at| std::str::from_utf8(&path[..=at]).ok());
        let mut found = candidates.filter_map(|prefix| self.bindings.get(prefix).copied());
        found.next()
    }
}

/// Normalises a host: converts it to lower case and removes the port.
pub fn normalize_host(host: &str) -> Cow<'_, str> {
    let host = match host.rsplit_once(':') {
        Some((host, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => host,
        _ => host,
    };
    if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        return Cow::Owned(host.to_ascii_lowercase());
    }
    Cow::Borrowed(host)
}
