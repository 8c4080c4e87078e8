//! Builders for lease requests, updates and releases, and helpers that extract an owner's actions.
#![allow(dead_code)]

use protocol::{
    FunctionUpdate, LeaseOutcome, LeaseRelease, LeaseRequest, RequestId, RunnerStage, RunnerUpdate,
    UpdateVersion,
};
use seat_leases::{LeaseAction, LeaseOwner};

pub const FUNCTION: &str = "stamp";

pub fn lease_request(request_id: u64, priority: u8) -> LeaseRequest {
    LeaseRequest {
        request_id: RequestId(request_id),
        function: FUNCTION.into(),
        priority,
        timeout_ms: 5_000,
        excluded_runners: Vec::new(),
        job: None,
        allowed_regions: Vec::new(),
        tenant: None,
    }
}

pub fn excluding(request_id: u64, runners: &[&str]) -> LeaseRequest {
    LeaseRequest {
        excluded_runners: runners.iter().map(|id| id.to_string()).collect(),
        ..lease_request(request_id, 1)
    }
}

pub fn runner(id: &str, zone: &str, quota: u32) -> RunnerUpdate {
    RunnerUpdate {
        id: id.into(),
        address: format!("{id}:1"),
        zone: zone.into(),
        quota,
        stage: RunnerStage::Serving,
        starts_in_ms: 0,
    }
}

pub fn update(number: u64, runners: &[RunnerUpdate]) -> FunctionUpdate {
    FunctionUpdate {
        function: FUNCTION.into(),
        version: UpdateVersion { term: 1, number },
        runners: runners.to_vec(),
        start_block: None,
    }
}

pub fn release(request_id: u64, outcome: LeaseOutcome, took_ms: u32) -> LeaseRelease {
    LeaseRelease {
        request_id: RequestId(request_id),
        outcome,
        duration_ms: took_ms,
    }
}

/// An owner with these runners.
pub fn owner_with(runners: &[RunnerUpdate]) -> LeaseOwner {
    let mut owner = LeaseOwner::default();
    owner.update_runners(0, update(1, runners));
    owner
}

/// Request ids and runners of the seats leased since the last call.
pub fn leases(owner: &mut LeaseOwner) -> Vec<(u64, String)> {
    let actions = owner.take_actions().into_iter();
    let leased = actions.filter_map(|action| match action {
        LeaseAction::Lease { lease, .. } => Some((lease.request_id.0, lease.runner)),
        _ => None,
    });
    leased.collect()
}

pub fn request_ids(owner: &mut LeaseOwner) -> Vec<u64> {
    leases(owner)
        .into_iter()
        .map(|(request_id, _)| request_id)
        .collect()
}

/// Ids and retry delays of the requests rejected since the last call.
pub fn rejections(owner: &mut LeaseOwner) -> Vec<(u64, u32)> {
    let actions = owner.take_actions().into_iter();
    let rejected = actions.filter_map(|action| match action {
        LeaseAction::Reject {
            request_id: RequestId(request_id),
            retry_after_ms: after,
            ..
        } => Some((request_id, after)),
        _ => None,
    });
    rejected.collect()
}

pub fn in_use(owner: &LeaseOwner, id: &str) -> Option<u32> {
    let runners = owner.runner_usage(FUNCTION);
    let found = runners.into_iter().find(|one| one.id == id);
    found.map(|one| one.in_use)
}
