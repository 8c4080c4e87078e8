use crate::shared::Shared;
use request_queue::{FrontMessage, FrontReport};
use std::sync::atomic::Ordering;
use transport::{unix_ms, PeerMessage};

/// Answers a front's heartbeat. Cores are on the membership beside the fronts, so that fronts keep their
/// quorum lease when many of them are gone, and when all cores are.
pub fn answer(shared: &Shared, address: &str, stamp: u64) {
    if !shared.is_certain.load(Ordering::SeqCst) || shared.store.is_blank() {
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

/// Tells all cores, this one too, that this core bears witness, and which versions it holds.
pub fn report(shared: &Shared) {
    let set = shared.store.set();
    let votes = set.voters.iter().any(|voter| voter.disk == shared.disk);
    if !votes || !shared.is_certain.load(Ordering::SeqCst) || shared.store.is_blank() {
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
    let own = shared.settings.address().to_string();
    for voter in set.voters.iter().filter(|voter| voter.address != own) {
        shared
            .links
            .cast(&voter.address, PeerMessage::Report(report.clone()));
    }
    shared.take_report(shared.links.me().clone(), own, report);
}
