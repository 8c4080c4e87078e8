//! The made-up site of daemons, functions and instances that all measurements use.

use autoscaler::{RunnerListing, WorkerListing};
use protocol::{FunctionUpdate, Member, RunnerStage, RunnerUpdate, UpdateVersion};
use routing::{Binding, Function, RoutingConfiguration};

/// Zones of the site.
pub const ZONES: [&str; 5] = ["north-a", "north-b", "north-c", "south-a", "south-b"];
/// Milliseconds that a start takes.
pub const START_MS: u64 = 900;
/// Megabytes of an instance.
pub const MEMORY_MB: u64 = 192;

pub fn zone(place: usize) -> &'static str {
    ZONES[place % ZONES.len()]
}

pub fn function_name(place: usize) -> String {
    format!("shop-function-{place:05}")
}

pub fn gateway_name(place: usize) -> String {
    format!("edge-{place:04}")
}

pub fn instance_id(place: usize) -> String {
    format!("i-{place:012x}")
}

pub fn address(place: usize) -> String {
    format!(
        "10.{}.{}.{}:8080",
        16 + place / 60_000,
        place / 250 % 240,
        place % 250
    )
}

pub fn members(count: usize) -> Vec<Member> {
    let member = |place| Member {
        name: gateway_name(place),
        incarnation: 0x1234_5678_9abc_0000 + place as u64,
        address: address(place),
        zone: zone(place).to_string(),
    };
    (0..count).map(member).collect()
}

/// A configuration of so many functions with a binding each.
pub fn configuration_of(functions: usize) -> RoutingConfiguration {
    let binding = |place: usize| Binding {
        name: format!("route-{place:05}"),
        host: format!("shop-{:04}.example.com", place / 10),
        prefix: format!("/v1/{}/", function_name(place)),
        function_index: place,
        at_most_once: place.is_multiple_of(2),
        timeout_ms: 6_000,
        latency_target_ms: 1_300,
        priority: (place % 3) as u8,
        max_attempts: 3,
        allowed_regions: Vec::new(),
    };
    let function = |place| Function {
        name: function_name(place),
        memory_mb: MEMORY_MB,
        start_ms: START_MS,
        concurrency: 1,
        connections: 64,
        ..Function::default()
    };
    RoutingConfiguration {
        version: 1,
        bindings: (0..functions).map(binding).collect(),
        functions: (0..functions).map(function).collect(),
        ..RoutingConfiguration::default()
    }
}

/// The same as the operator writes it.
pub fn document(functions: usize, version: u64) -> Vec<u8> {
    let whole = configuration_of(functions);
    let routes = whole.bindings.iter().map(|one| {
        serde_json::json!({ "name": one.name, "host": one.host, "path_prefix": one.prefix,
            "route_kind": if one.at_most_once { "unsafe" } else { "safe" },
            "timeout_ms": one.timeout_ms, "target_ms": one.latency_target_ms, "priority": one.priority,
            "service": whole.functions[one.function_index].name, "tries": one.max_attempts })
    });
    let services = whole.functions.iter().map(|one| {
        serde_json::json!({ "name": one.name, "memory_mb": one.memory_mb,
            "boot_time_ms": one.start_ms, "concurrency": one.concurrency,
            "max_conns": one.connections, "health_path": "/healthz" })
    });
    let routes: Vec<serde_json::Value> = routes.collect();
    let services: Vec<serde_json::Value> = services.collect();
    let document =
        serde_json::json!({ "version": version, "routes": routes, "services": services });
    document.to_string().into_bytes()
}

pub fn workers(instances: usize) -> Vec<WorkerListing> {
    let count = (instances / 100).max(5) + 5;
    let worker = |place| WorkerListing {
        name: format!("worker-{place:04}"),
        zone: zone(place).to_string(),
        memory_mb: 150 * MEMORY_MB,
        free_mb: 50 * MEMORY_MB,
        is_draining: false,
    };
    (0..count).map(worker).collect()
}

/// An instance of a function, on a worker of its zone.
pub fn listing(place: usize, function: usize, workers: &[WorkerListing]) -> RunnerListing {
    let worker = &workers[place % workers.len()];
    RunnerListing {
        id: instance_id(place),
        function: function_name(function),
        address: address(place),
        zone: worker.zone.clone(),
        worker: worker.name.clone(),
        capacity: 1,
        is_terminating: false,
    }
}

/// The platform's list as it sends it.
pub fn list_body(listings: &[RunnerListing]) -> Vec<u8> {
    let listed: Vec<serde_json::Value> = listings
        .iter()
        .map(|one| {
            serde_json::json!({ "id": one.id, "service": one.function, "address": one.address,
                "zone": one.zone, "version": "v1", "capacity": one.capacity,
                "state": "ready", "cold_left_ms": 0, "worker_id": one.worker })
        })
        .collect();
    let page = serde_json::json!({ "instances": listed, "next_token": null });
    page.to_string().into_bytes()
}

/// The update of a function with so many serving runners.
pub fn update(function: usize, runners: usize, version_number: u64) -> FunctionUpdate {
    let runner = |place: usize| RunnerUpdate {
        id: instance_id(place),
        address: address(place),
        zone: zone(place).to_string(),
        quota: 1,
        stage: RunnerStage::Serving,
        starts_in_ms: 0,
    };
    FunctionUpdate {
        function: function_name(function),
        version: UpdateVersion {
            term: 1,
            number: version_number,
        },
        runners: (0..runners).map(runner).collect(),
        start_block: None,
    }
}

/// How calls fall on functions: the hot ones share by 1/rank, the rare ones are called each half a minute's worth.
pub struct Mix {
    pub functions: usize,
    pub hot: usize,
    pub calls_per_s: f64,
    sums: Vec<f64>,
}

/// Share of the functions that are called often.
const HOT_SHARE: usize = 21;
/// Calls a second of a rare function: one in two minutes.
const RARE_PER_S: f64 = 1.0 / 120.0;

impl Mix {
    pub fn new(functions: usize, calls_per_s: f64) -> Self {
        let hot = (functions / HOT_SHARE).max(1);
        let rare = (functions - hot) as f64 * RARE_PER_S;
        let whole: f64 = (1..=hot).map(|rank| 1.0 / rank as f64).sum();
        let mut sums = Vec::with_capacity(functions);
        let mut sum = 0.0;
        for place in 0..functions {
            sum += if place < hot {
                (calls_per_s - rare).max(0.0) / whole / (place + 1) as f64
            } else {
                RARE_PER_S
            };
            sums.push(sum);
        }
        Self {
            functions,
            hot,
            calls_per_s: sum,
            sums,
        }
    }

    /// Calls a second of one function.
    pub fn rate(&self, place: usize) -> f64 {
        let before = if place == 0 {
            0.0
        } else {
            self.sums[place - 1]
        };
        self.sums[place] - before
    }

    /// A function by its share, for a number between 0 and 1.
    pub fn draw(&self, number: f64) -> usize {
        let at = number * self.calls_per_s;
        self.sums
            .partition_point(|sum| *sum <= at)
            .min(self.functions - 1)
    }
}
