//! Clusters with tenants in their configuration, and requests that carry tenants' keys.

use crate::client::{send_request, ClientRequest};
use crate::operator::{configuration_with_tenants, send_command};
use crate::request_log::ReceivedRequest;
use crate::runner::CREDENTIAL;
use crate::simulated_cluster::{ClusterBuilder, SimulatedCluster};
use crate::{seconds, wait_until};
use serde_json::{json, Value};

/// A valid API key.
pub const KEY: &str = "vqfke834v922vxf8hibk";
/// A second valid API key.
pub const OTHER_KEY: &str = "574pce98p6n88zyzarms";
/// A key that is in no configuration.
pub const INVENTED_KEY: &str = "6vqk2jbn0wq9d1c1f7zu";

/// Starts a cluster whose first configuration has these tenants.
pub fn cluster_with(builder: ClusterBuilder, tenants: &[Value]) -> SimulatedCluster {
    let cluster = builder.start();
    let document = configuration_with_tenants(1, tenants);
    assert_eq!(cluster.replace(0, &document).0, 200);
    cluster.wait_ready();
    cluster
}

/// Updates the tenants: adds or replaces those in `upsert` and removes those named in `remove`.
pub fn change_tenants(cluster: &SimulatedCluster, base: u64, upsert: &[Value], remove: &[&str]) {
    let change = json!({
        "version": base + 1,
        "upsert": { "tenants": upsert },
        "remove": { "tenants": remove },
    });
    let call = ("POST", "/v1/Config.Update");
    let body = change.to_string();
    let (status, answer) = send_command(&cluster.control(), call, Some(base), body.as_bytes());
    assert_eq!(status, 200, "{}", String::from_utf8_lossy(&answer));
}

/// A request with this key and a new id.
pub fn request(cluster: &SimulatedCluster, key: &str) -> ClientRequest {
    ClientRequest::get("/read/one", &cluster.new_request_id()).with(CREDENTIAL, key)
}

/// The status with which a gateway responds to a request on a new connection.
pub fn status(cluster: &SimulatedCluster, gateway: usize, request: &ClientRequest) -> Option<u16> {
    send_request(cluster.public(gateway), request).map(|response| response.status)
}

/// The requests with an id that reached runners.
pub fn received(cluster: &SimulatedCluster, id: &str) -> Vec<ReceivedRequest> {
    let all = cluster.platform.request_log.all().into_iter();
    all.filter(|one| one.id == id).collect()
}

/// Waits until a gateway responds to requests with this key with the expected status.
pub fn wait_for_status(cluster: &SimulatedCluster, gateway: usize, key: &str, expected: u16) {
    let what = format!("{expected} for a key at gateway {gateway}");
    wait_until(&what, seconds(10), || {
        let status = status(cluster, gateway, &request(cluster, key));
        (status == Some(expected)).then_some(())
    });
}

/// Waits until all gateways respond to requests with this key with the expected status.
pub fn wait_for_status_everywhere(cluster: &SimulatedCluster, key: &str, expected: u16) {
    for gateway in 0..cluster.gateways.len() {
        wait_for_status(cluster, gateway, key, expected);
    }
}
