//! Bids, news and what the keeper did, in few words.
#![allow(dead_code)]

use protocol::{
    FunctionUpdate, LeaseOutcome, LeaseRelease, LeaseRequest, RequestId, RunnerStage, RunnerUpdate,
    UpdateVersion,
};
use seat_leases::{LeaseAction, LeaseOwner};

pub const FUNCTION: &str = "stamp";

pub fn bid(ticket: u64, rank: u8) -> LeaseRequest {
    LeaseRequest {
        request_id: RequestId(ticket),
        function: FUNCTION.into(),
        priority: rank,
        timeout_ms: 5_000,
        excluded_runners: Vec::new(),
        job: None,
    }
}

pub fn avoiding(ticket: u64, runners: &[&str]) -> LeaseRequest {
    LeaseRequest {
        excluded_runners: runners.iter().map(|id| id.to_string()).collect(),
        ..bid(ticket, 1)
    }
}

pub fn runner(id: &str, district: &str, quota: u32) -> RunnerUpdate {
    RunnerUpdate {
        id: id.into(),
        address: format!("{id}:1"),
        zone: district.into(),
        quota,
        stage: RunnerStage::Serving,
        starts_in_ms: 0,
    }
}

pub fn news(number: u64, runners: &[RunnerUpdate]) -> FunctionUpdate {
    FunctionUpdate {
        function: FUNCTION.into(),
        version: UpdateVersion { term: 1, number },
        runners: runners.to_vec(),
        start_block: None,
    }
}

pub fn release(ticket: u64, outcome: LeaseOutcome, took_ms: u32) -> LeaseRelease {
    LeaseRelease {
        request_id: RequestId(ticket),
        outcome,
        duration_ms: took_ms,
    }
}

/// A keeper that knows these runners.
pub fn keeper(runners: &[RunnerUpdate]) -> LeaseOwner {
    let mut keeper = LeaseOwner::default();
    keeper.update_runners(0, news(1, runners));
    keeper
}

/// Tickets and runners of the seats that were lent since the last look.
pub fn grants(keeper: &mut LeaseOwner) -> Vec<(u64, String)> {
    let actions = keeper.take_actions().into_iter();
    let lent = actions.filter_map(|action| match action {
        LeaseAction::Lease { lease: grant, .. } => Some((grant.request_id.0, grant.runner)),
        LeaseAction::Reject { .. } | LeaseAction::Probe { .. } => None,
    });
    lent.collect()
}

pub fn tickets(keeper: &mut LeaseOwner) -> Vec<u64> {
    grants(keeper)
        .into_iter()
        .map(|(ticket, _)| ticket)
        .collect()
}

/// Tickets that were refused since the last look, and when each is to come back.
pub fn refusals(keeper: &mut LeaseOwner) -> Vec<(u64, u32)> {
    let actions = keeper.take_actions().into_iter();
    let refused = actions.filter_map(|action| match action {
        LeaseAction::Reject {
            request_id: RequestId(ticket),
            retry_after_ms: after,
            ..
        } => Some((ticket, after)),
        LeaseAction::Lease { .. } | LeaseAction::Probe { .. } => None,
    });
    refused.collect()
}

pub fn in_use(keeper: &LeaseOwner, id: &str) -> Option<u32> {
    let runners = keeper.runner_usage(FUNCTION);
    let found = runners.into_iter().find(|one| one.id == id);
    found.map(|one| one.in_use)
}
