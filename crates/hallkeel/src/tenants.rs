//! The command that shows what each tenant has sent, over all gateways. Keys are told by their number alone.

use crate::cores::CliError;
use crate::wire::ask;
use protocol::{Message, TenantUsage};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Shows the tenants as gateways tell of them at their wire addresses.
pub fn show(gateways: &[SocketAddr], is_json: bool) -> Result<(), CliError> {
    if gateways.is_empty() {
        let text = "name at least one gateway's wire address".to_string();
        return Err(CliError::Input(text));
    }
    let mut tenants: BTreeMap<String, TenantUsage> = BTreeMap::new();
    let mut answers = 0;
    for address in gateways {
        match ask(address, &Message::RequestTenantUsage) {
            Ok(Message::TenantUsage(usage)) => {
                answers += 1;
                usage.into_iter().for_each(|one| add(&mut tenants, one));
            }
            Ok(_) => eprintln!("{address}: it answers something else"),
            Err(reason) => eprintln!("{address}: {reason}"),
        }
    }
    if answers == 0 {
        return Err(CliError::Unreached("no gateway answered".to_string()));
    }
    print(&tenants, is_json);
    Ok(())
}

/// Adds what one gateway tells of a tenant. Gateways that differ in the number of keys have different configurations; the most is shown.
fn add(tenants: &mut BTreeMap<String, TenantUsage>, usage: TenantUsage) {
    let known = tenants.entry(usage.tenant.clone());
    let known = known.or_insert_with(|| TenantUsage {
        tenant: usage.tenant.clone(),
        ..TenantUsage::default()
    });
    known.keys = known.keys.max(usage.keys);
    known.requests += usage.requests;
    known.rejected += usage.rejected;
}

fn print(tenants: &BTreeMap<String, TenantUsage>, is_json: bool) {
    let total: u64 = tenants.values().map(|one| one.requests).sum();
    let share = |one: &TenantUsage| one.requests as f64 / total.max(1) as f64;
    if is_json {
        let list: Vec<_> = tenants
            .values()
            .map(|one| {
                json!({ "tenant": one.tenant, "keys": one.keys, "requests": one.requests,
                        "rejected": one.rejected, "share": share(one) })
            })
            .collect();
        println!("{}", json!(list));
        return;
    }
    println!(
        "{:<32} {:>6} {:>12} {:>12} {:>7}",
        "tenant", "keys", "requests", "rejected", "share"
    );
    for one in tenants.values() {
        println!(
            "{:<32} {:>6} {:>12} {:>12} {:>6.1}%",
            one.tenant,
            one.keys,
            one.requests,
            one.rejected,
            share(one) * 100.0
        );
    }
}
