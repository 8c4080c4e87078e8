//! Lookup of the function that answers a request.

use std::borrow::Cow;
use std::collections::HashMap;
use std::sync::Arc;

use crate::configuration::{Binding, Function, RoutingConfiguration};

/// Lookup of bindings by host and path in one configuration.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    configuration: Arc<RoutingConfiguration>,
    hosts: HashMap<Box<str>, Prefixes>,
    functions: HashMap<Box<str>, usize>,
}

#[derive(Clone, Debug, Default)]
struct Prefixes {
    bindings: HashMap<Box<str>, usize>,
    longest: usize,
}

impl RoutingTable {
    /// Builds the lookup. Of two bindings with the same host and prefix, the first one wins.
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
            prefixes.longest = prefixes.longest.max(binding.prefix.len());
            let place = prefixes.bindings.entry(binding.prefix.as_str().into());
            place.or_insert(index);
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

    /// Finds the binding of a request, with its index and its function. The host may carry a port, the path a
    /// query.
    pub fn find(&self, host: &str, path: &str) -> Option<(usize, &Binding, &Function)> {
        let prefixes = self.hosts.get(normalize_host(host).as_ref())?;
        let index = prefixes.longest_of(path)?;
        let binding = self.configuration.bindings.get(index)?;
        let function = self.configuration.functions.get(binding.function_index)?;
        Some((index, binding, function))
    }

    /// Index of a function in the configuration.
    pub fn function_index(&self, name: &str) -> Option<usize> {
        self.functions.get(name).copied()
    }

    /// The configuration that the lookup was built from.
    pub fn configuration(&self) -> &Arc<RoutingConfiguration> {
        &self.configuration
    }
}

impl Prefixes {
    fn longest_of(&self, path: &str) -> Option<usize> {
        let path = path.as_bytes();
        let end = path.iter().position(|byte| *byte == b'?');
        let path = &path[..end.unwrap_or(path.len()).min(self.longest)];
        let ends = (0..path.len()).rev().filter(|at| path[*at] == b'/');
        // A slash is a character of its own in UTF-8, so a cut behind it is a text again.
        let cuts = ends.filter_map(|at| std::str::from_utf8(&path[..=at]).ok());
        let mut found = cuts.filter_map(|cut| self.bindings.get(cut).copied());
        found.next()
    }
}

/// A host in lower case, without a port.
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
