//! The lookup against plain lists, and its corners one by one.

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

fn place(table: &RoutingTable, host: &str, path: &str) -> Option<usize> {
    table.find(host, path).map(|(index, _, _)| index)
}

fn naive(table: &RoutingTable, host: &str, target: &str) -> Option<usize> {
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

fn path_of(steps: &[u8]) -> String {
    let parts = ["/", "a", "b", "é", "ab", "/", "a/", "?"];
    let parts = steps.iter().map(|step| parts[usize::from(*step) % 8]);
    format!("/{}", parts.collect::<String>())
}

#[test]
fn the_longest_prefix_that_begins_the_path_wins() {
    let table = table_of(&[
        ("one.example", "/"),
        ("one.example", "/ink/"),
        ("one.example", "/ink/red/"),
        ("two.example", "/ink/"),
    ]);
    assert_eq!(place(&table, "one.example", "/ink/red/7"), Some(2));
    assert_eq!(place(&table, "one.example", "/ink/red"), Some(1));
    assert_eq!(place(&table, "one.example", "/ink"), Some(0));
    assert_eq!(place(&table, "two.example", "/ink"), None);
    assert_eq!(place(&table, "two.example", "/ink/"), Some(3));
    assert_eq!(place(&table, "three.example", "/ink/"), None);
}

#[test]
fn case_and_port_of_the_host_and_the_query_do_not_count() {
    let table = table_of(&[("one.example", "/ink/"), ("one.example", "/ink/red/")]);
    assert_eq!(place(&table, "ONE.Example:8020", "/ink/?x=/red/"), Some(0));
    assert_eq!(place(&table, "one.example:", "/ink/red/?"), Some(1));
    assert_eq!(place(&table, "one.example", "/ink?/ink/"), None);
    assert_eq!(place(&table, "one.example", "/INK/"), None);
    assert_eq!(place(&table, "one.example", ""), None);
    assert_eq!(place(&table, "", "/ink/"), None);
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
fn a_binding_without_its_function_is_not_found() {
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
    assert_eq!(place(&table, "one.example", "/"), None);
}

#[test]
fn many_bindings_under_one_host_are_each_found() {
    let prefixes: Vec<String> = (0..21_000).map(|at| format!("/p{at}/")).collect();
    let bindings: Vec<(&str, &str)> = prefixes
        .iter()
        .map(|prefix| ("one.example", prefix.as_str()))
        .collect();
    let table = table_of(&bindings);
    for (index, prefix) in prefixes.iter().enumerate() {
        let path = format!("{prefix}x/y");
        assert_eq!(place(&table, "one.example", &path), Some(index));
    }
}

seeded! {
    fn the_lookup_agrees_with_a_plain_list(
        bindings: Vec<(u8, Vec<u8>)>,
        asked: Vec<(u8, Vec<u8>)>,
    ) -> bool {
        let hosts = ["one.example", "two.example", "10.1.2.3"];
        let prefixes: Vec<(&str, String)> = bindings
            .iter()
            .map(|(host, steps)| {
                let short = &steps[..steps.len().min(5)];
                let prefix = path_of(short).replace('?', "");
                (hosts[usize::from(*host) % 3], format!("{}/", prefix.trim_end_matches('/')))
            })
            .collect();
        let pairs: Vec<(&str, &str)> =
            prefixes.iter().map(|(host, prefix)| (*host, prefix.as_str())).collect();
        let table = table_of(&pairs);
        let asked_hosts = ["One.example", "two.EXAMPLE:80", "10.1.2.3:8020", "one.example", "no.example"];
        asked.iter().all(|(host, steps)| {
            let host = asked_hosts[usize::from(*host) % 5];
            let path = path_of(&steps[..steps.len().min(8)]);
            place(&table, host, &path) == naive(&table, host, &path)
        })
    }

    fn each_binding_is_found_by_its_own_prefix(steps: Vec<Vec<u8>>, rest: String) -> bool {
        let prefixes: Vec<String> = steps
            .iter()
            .map(|steps| format!("{}/", path_of(steps).replace('?', "")))
            .collect();
        let pairs: Vec<(&str, &str)> =
            prefixes.iter().map(|prefix| ("one.example", prefix.as_str())).collect();
        let table = table_of(&pairs);
        prefixes.iter().all(|prefix| {
            let path = format!("{prefix}?{rest}");
            table.find("one.example", &path).is_some_and(|(_, found, _)| found.prefix == *prefix)
        })
    }

    fn texts_of_any_kind_are_taken(host: String, path: String) -> bool {
        let table = table_of(&[("one.example", "/"), ("one.example", "/ink/")]);
        table.find(&host, &path).is_none() && {
            let found = place(&table, "one.example", &path);
            found == naive(&table, "one.example", &path)
        }
    }
}
