use crate::set;
use crate::shared::Shared;
use crate::voting::Work;
use anti_entropy::RangeDigests;
use crossbeam::channel::bounded;
use register::RegisterState;
use std::thread;
use std::time::Duration;
use transport::{Copy, Message, Responder};

/// Takes the messages that have to do with sets and copies.
pub fn on_message(shared: &Shared, message: Message, responder: Option<Responder>) {
    match (message, responder) {
        (Message::Form(set, floor), None) => {
            let names_us = set.voters.iter().any(|voter| voter.disk == shared.disk);
            if names_us {
                if let Some(set) = set::form_here(shared, set, floor) {
                    shared.store.learn_set(&set);
                }
            }
        }
        (Message::Adopt(set), Some(responder)) => {
            shared.store.learn_set(&set);
            let _ = shared.voter.try_send(Work::Adopt(set, responder));
        }
        (Message::Digests, Some(responder)) => {
            let _ = shared.voter.try_send(Work::Copy(responder));
        }
        (Message::Range(range), Some(responder)) => {
            let _ = shared.voter.try_send(Work::Range(range, responder));
        }
        (Message::Remembered(keys), None) => {
            let _ = shared.voter.try_send(Work::Mend(keys));
        }
        _ => {}
    }
}

/// This core's own copy in short.
pub fn own_copy(shared: &Shared) -> Option<Copy> {
    let (told, answer) = bounded(1);
    shared.voter.try_send(Work::Digests(told)).ok()?;
    answer.recv_timeout(shared.patience()).ok()
}

/// A voter's copy in short; none where it does not answer.
pub fn copy_of(shared: &Shared, address: &str) -> Option<Copy> {
    match shared
        .links
        .ask_wait(address, Message::Digests, shared.patience())
    {
        Some(Message::DigestsAnswer(copy)) => Some(copy),
        _ => None,
    }
}

/// Reads another voter's copy: the ranges that differ from `known`, or all that hold anything.
pub fn pull(
    shared: &Shared,
    address: &str,
    known: Option<&[u64]>,
) -> Option<(Copy, Vec<(String, RegisterState)>)> {
    let copy = copy_of(shared, address)?;
    let own = known.map_or_else(RangeDigests::default, RangeDigests::from_ranges);
    let differing = own.differing(&copy.ranges);
    let mut keys = Vec::new();
    for range in differing {
        let answer = shared
            .links
            .ask_wait(address, Message::Range(range), shared.patience());
        let Some(Message::RangeAnswer(held)) = answer else {
            return None;
        };
        keys.extend(held);
    }
    Some((copy, keys))
}

/// Compares this core's copy with the other voters' now and then and mends it from the newer.
pub fn keep(shared: &Shared) {
    loop {
        let bounds = shared.store.settled().blueprint.bounds.clone();
        thread::sleep(Duration::from_millis(2 * bounds.change_ms));
        let set = shared.store.set();
        let is_member = set.voters.iter().any(|voter| voter.disk == shared.disk);
        if !is_member {
            continue;
        }
        for voter in set.voters.iter().filter(|voter| voter.disk != shared.disk) {
            let Some(own) = own_copy(shared).filter(|own| own.set.version() == set.version())
            else {
                continue;
            };
            let Some((copy, keys)) = pull(shared, &voter.address, Some(&own.ranges)) else {
                continue;
            };
            if copy.set.version() == set.version() && !keys.is_empty() {
                let _ = shared.voter.try_send(Work::Mend(keys));
            }
        }
    }
}
