use crate::shared::Shared;
use request_queue::{FrontMessage, FrontReport};
use std::sync::atomic::Ordering;
use transport::{unix_ms, PeerMessage};

/// Answers a front's heartbeat. Cores are members beside the fronts, so that fronts keep their quorum lease when many
/// fronts are unreachable, and also when all cores are.
pub fn answer(shared: &Shared, address: &str, stamp: u64) {
    if !shared.is_certain.load(Ordering::SeqCst) || shared.store.awaits_restore() {
        return;
    }
    let committed = shared.store.committed();
    let answer = FrontMessage::HeartbeatResponse {
        stamp,
        plan: committed.plan_version,
        configuration: committed.configuration_version,
    };
    shared.links.cast(address, PeerMessage::Front(answer));
}

/// Reports to all cores, including this one, that this core is a witness and which versions it holds.
pub fn report(shared: &Shared) {
    let set = shared.store.set();
    let is_voter = set.voters.iter().any(|voter| voter.disk == shared.disk);
    if !is_voter || !shared.is_certain.load(Ordering::SeqCst) || shared.store.awaits_restore() {
        return;
    }
    let committed = shared.store.committed();
    let report = FrontReport {
        zone: shared.settings.zone.clone(),
        http: shared.settings.http.to_string(),
        wall_ms: unix_ms(),
        is_witness: true,
        plan: committed.plan_version,
        configuration: committed.configuration_version,
        ..FrontReport::default()
    };
    let own_address = shared.settings.address().to_string();
    for voter in set
        .voters
        .iter()
        .filter(|voter| voter.address != own_address)
    {
        shared
            .links
            .cast(&voter.address, PeerMessage::Report(report.clone()));
    }
    shared.record_report(shared.links.me().clone(), own_address, report);
}
