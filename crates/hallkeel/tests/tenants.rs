//! `hallkeel tenants` with gateways that respond and with one that doesn't.

use protocol::{frame, Message, TenantUsage};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};

/// Starts a fake gateway that responds to one request with this usage.
fn fake_gateway(usage: Vec<TenantUsage>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = vec![0; frame(&Message::RequestTenantUsage).len()];
        stream.read_exact(&mut request).unwrap();
        assert_eq!(request, frame(&Message::RequestTenantUsage));
        stream
            .write_all(&frame(&Message::TenantUsage(usage)))
            .unwrap();
    });
    address
}

fn usage(tenant: &str, keys: u32, requests: u64, rejected: u64) -> TenantUsage {
    TenantUsage {
        tenant: tenant.into(),
        keys,
        requests,
        rejected,
    }
}

fn run(arguments: &[String]) -> Output {
    let tool = Command::new(env!("CARGO_BIN_EXE_hallkeel"))
        .arg("tenants")
        .args(arguments)
        .output();
    tool.unwrap()
}

#[test]
fn the_usage_of_all_gateways_is_summed_by_tenant() {
    let first = fake_gateway(vec![usage("north", 2, 60, 3), usage("south", 1, 20, 0)]);
    let second = fake_gateway(vec![usage("north", 2, 20, 1)]);
    let unreachable = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let addresses = [first, unreachable, second].map(|address| address.to_string());
    let output = run(&addresses);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    let rows: Vec<Vec<&str>> = text
        .lines()
        .map(|line| line.split_whitespace().collect())
        .collect();
    assert_eq!(rows[0], ["tenant", "keys", "requests", "rejected", "share"]);
    assert_eq!(rows[1], ["north", "2", "80", "4", "80.0%"]);
    assert_eq!(rows[2], ["south", "1", "20", "0", "20.0%"]);
    assert!(String::from_utf8_lossy(&output.stderr).contains(&unreachable.to_string()));
}

#[test]
fn a_tenant_without_requests_is_shown_as_json_with_share_zero() {
    let address = fake_gateway(vec![usage("north", 0, 0, 0)]).to_string();
    let output = run(&[address, "--json".to_string()]);
    let list: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(list[0]["tenant"], "north");
    assert_eq!(list[0]["share"], 0.0);
}

#[test]
fn without_a_responding_gateway_the_tool_fails() {
    assert_eq!(run(&[]).status.code(), Some(2));
    let unreachable = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    assert_eq!(run(&[unreachable.to_string()]).status.code(), Some(3));
}
