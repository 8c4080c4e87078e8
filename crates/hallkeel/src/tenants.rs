//! The `tenants` command: usage of each tenant, summed over all gateways. Of API keys, only the number is shown.

use crate::cores::CliError;
use crate::wire::request;
use protocol::{Message, TenantUsage};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Requests the tenant usage from gateways at their wire addresses and prints the sums.
pub fn show(gateways: &[SocketAddr], is_json: bool) -> Result<(), CliError> {
    if gateways.is_empty() {
        let text = "name at least one gateway's wire address".to_string();
        return Err(CliError::Input(text));
    }
    let mut tenants: BTreeMap<String, TenantUsage> = BTreeMap::new();
    let mut response_count = 0;
    for address in gateways {
        match request(address, &Message::RequestTenantUsage) {
            Ok(Message::TenantUsage(usage)) => {
                response_count += 1;
                usage
                    .into_iter()
                    .for_each(|tenant_usage| add(&mut tenants, tenant_usage));
            }
            Ok(_) => eprintln!("{address}: unexpected response"),
            Err(reason) => eprintln!("{address}: {reason}"),
        }
    }
    if response_count == 0 {
        return Err(CliError::Unreachable("no gateway responded".to_string()));
    }
    print(&tenants, is_json);
    Ok(())
}

/// Adds a tenant's usage at one gateway. The number of keys differs only between gateways with different configurations;
/// the largest is shown.
fn add(tenants: &mut BTreeMap<String, TenantUsage>, usage: TenantUsage) {
    let total_usage = tenants.entry(usage.tenant.clone());
    let total_usage = total_usage.or_insert_with(|| TenantUsage {
        tenant: usage.tenant.clone(),
        ..TenantUsage::default()
    });
    total_usage.keys = total_usage.keys.max(usage.keys);
    total_usage.requests += usage.requests;
    total_usage.rejected += usage.rejected;
}

fn print(tenants: &BTreeMap<String, TenantUsage>, is_json: bool) {
    let total: u64 = tenants
        .values()
        .map(|tenant_usage| tenant_usage.requests)
        .sum();
    let share = |tenant_usage: &TenantUsage| tenant_usage.requests as f64 / total.max(1) as f64;
    if is_json {
        let list: Vec<_> = tenants
            .values()
            .map(|tenant_usage| {
                json!({ "tenant": tenant_usage.tenant, "keys": tenant_usage.keys, "requests": tenant_usage.requests,
                        "rejected": tenant_usage.rejected, "share": share(tenant_usage) })
            })
            .collect();
        println!("{}", json!(list));
        return;
    }
    println!(
        "{:<32} {:>6} {:>12} {:>12} {:>7}",
        "tenant", "keys", "requests", "rejected", "share"
    );
    for tenant_usage in tenants.values() {
        println!(
            "{:<32} {:>6} {:>12} {:>12} {:>6.1}%",
            tenant_usage.tenant,
            tenant_usage.keys,
            tenant_usage.requests,
            tenant_usage.rejected,
            share(tenant_usage) * 100.0
        );
    }
}
