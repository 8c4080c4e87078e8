//! The routing table: edge cases, and comparisons with a linear search.

use std::sync::Arc;

use fuzzing::seeded;
use routing::{Binding, Function, RoutingConfiguration, RoutingTable};

fn table_of(bindings: &[(&str, &str)]) -> RoutingTable {
    let bindings = bindings.iter().map(|(host, prefix)| Binding {
        host: (*host).into(),
        prefix: (*prefix).into(),
        ..Binding::default()
    });
    RoutingTable::new(Arc::new(RoutingConfiguration {
        bindings: bindings.collect(),
        functions: vec![Function {
            name: "stamp".into(),
            ..Function::default()
        }],
        ..RoutingConfiguration::default()
    }))
}

fn find_index(table: &RoutingTable, host: &str, path: &str) -> Option<usize> {
    table.find(host, path).map(|(index, _, _)| index)
}

fn find_by_linear_search(table: &RoutingTable, host: &str, target: &str) -> Option<usize> {
    let path = target.split('?').next()?;
    let host = host.split(':').next()?.to_lowercase();
    let mut best: Option<(usize, usize)> = None;
    for (index, binding) in table.configuration().bindings.iter().enumerate() {
        let is_longer = best.is_none_or(|(length, _)| binding.prefix.len() > length);
        if binding.host == host && path.starts_with(&binding.prefix) && is_longer {
            best = Some((binding.prefix.len(), index));
        }
    }
    best.map(|(_, index)| index)
}

fn path_from(steps: &[u8]) -> String {
    let parts = ["/", "a", "b", "é", "ab", "/", "a/", "?"];
    let parts = steps.iter().map(|step| parts[usize::from(*step) % 8]);
    format!("/{}", parts.collect::<String>())
}

#[test]
fn the_longest_matching_prefix_wins() {
    let table = table_of(&[
        ("one.example", "/"),
        ("one.example", "/ink/"),
        ("one.example", "/ink/red/"),
        ("two.example", "/ink/"),
    ]);
    assert_eq!(find_index(&table, "one.example", "/ink/red/7"), Some(2));
    assert_eq!(find_index(&table, "one.example", "/ink/red"), Some(1));
    assert_eq!(find_index(&table, "one.example", "/ink"), Some(0));
    assert_eq!(find_index(&table, "two.example", "/ink"), None);
    assert_eq!(find_index(&table, "two.example", "/ink/"), Some(3));
    assert_eq!(find_index(&table, "three.example", "/ink/"), None);
}

#[test]
fn host_case_host_port_and_query_are_ignored() {
    let table = table_of(&[("one.example", "/ink/"), ("one.example", "/ink/red/")]);
    assert_eq!(
        find_index(&table, "ONE.Example:8020", "/ink/?x=/red/"),
        Some(0)
    );
    assert_eq!(find_index(&table, "one.example:", "/ink/red/?"), Some(1));
    assert_eq!(find_index(&table, "one.example", "/ink?/ink/"), None);
    assert_eq!(find_index(&table, "one.example", "/INK/"), None);
    assert_eq!(find_index(&table, "one.example", ""), None);
    assert_eq!(find_index(&table, "", "/ink/"), None);
}

#[test]
fn functions_are_found_by_name() {
    let table = table_of(&[("one.example", "/")]);
    assert_eq!(table.function_index("stamp"), Some(0));
    assert_eq!(table.function_index("Stamp"), None);
    let (_, _, function) = table.find("one.example", "/x").unwrap();
    assert_eq!(function.name, "stamp");
}

#[test]
fn a_binding_with_an_invalid_function_index_is_not_found() {
    let binding = Binding {
        host: "one.example".into(),
        prefix: "/".into(),
        function_index: 3,
        ..Binding::default()
    };
    let table = RoutingTable::new(Arc::new(RoutingConfiguration {
        bindings: vec![binding],
        ..RoutingConfiguration::default()
    }));
    assert_eq!(find_index(&table, "one.example", "/"), None);
}

#[test]
fn every_binding_of_a_host_with_many_bindings_is_found() {
    let prefixes: Vec<String> = (0..21_000).map(|at| format!("/p{at}/")).collect();
    let bindings: Vec<(&str, &str)> = prefixes
        .iter()
        .map(|prefix| ("one.example", prefix.as_str()))
        .collect();
    let table = table_of(&bindings);
    for (index, prefix) in prefixes.iter().enumerate() {
        let path = format!("{prefix}x/y");
        assert_eq!(find_index(&table, "one.example", &path), Some(index));
    }
}

seeded! {
    fn lookups_agree_with_a_linear_search(
        bindings: Vec<(u8, Vec<u8>)>,
        requests: Vec<(u8, Vec<u8>)>,
    ) -> bool {
        let hosts = ["one.example", "two.example", "10.1.2.3"];
        let prefixes: Vec<(&str, String)> = bindings
            .iter()
            .map(|(host, steps)| {
                let short = &steps[..steps.len().min(5)];
                let prefix = path_from(short).replace('?', "");
                (hosts[usize::from(*host) % 3], format!("{}/", prefix.trim_end_matches('/')))
            })
            .collect();
        let pairs: Vec<(&str, &str)> =
            prefixes.iter().map(|(host, prefix)| (*host, prefix.as_str())).collect();
        let table = table_of(&pairs);
        let request_hosts = ["One.example", "two.EXAMPLE:80", "10.1.2.3:8020", "one.example", "no.example"];
        requests.iter().all(|(host, steps)| {
            let host = request_hosts[usize::from(*host) % 5];
            let path = path_from(&steps[..steps.len().min(8)]);
            find_index(&table, host, &path) == find_by_linear_search(&table, host, &path)
        })
    }

    fn each_binding_is_found_by_its_own_prefix(steps: Vec<Vec<u8>>, rest: String) -> bool {
        let prefixes: Vec<String> = steps
            .iter()
            .map(|steps| format!("{}/", path_from(steps).replace('?', "")))
            .collect();
        let pairs: Vec<(&str, &str)> =
            prefixes.iter().map(|prefix| ("one.example", prefix.as_str())).collect();
        let table = table_of(&pairs);
        prefixes.iter().all(|prefix| {
            let path = format!("{prefix}?{rest}");
            table.find("one.example", &path).is_some_and(|(_, found, _)| found.prefix == *prefix)
        })
    }

    fn lookups_accept_arbitrary_text(host: String, path: String) -> bool {
        let table = table_of(&[("one.example", "/"), ("one.example", "/ink/")]);
        table.find(&host, &path).is_none() && {
            let found = find_index(&table, "one.example", &path);
            found == find_by_linear_search(&table, "one.example", &path)
        }
    }
}
