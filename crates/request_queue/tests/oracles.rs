//! Property tests of the queue and the retry budget against plain lists.

mod fixtures;

use fixtures::queued_request;
use fuzzing::seeded;
use request_queue::{Admission, RequestQueue, RetryBudget};

seeded! {
    fn a_queue_agrees_with_a_sorted_list(steps: Vec<(u8, u8)>) -> bool {
        let mut queue = RequestQueue::default();
        let mut list: Vec<(u8, u64)> = Vec::new();
        for (number, (step, priority)) in steps.into_iter().enumerate() {
            let number = number as u64;
            let priority = priority % 3;
            if step % 3 > 0 {
                let worst = list.iter().max().copied();
                match queue.admit(queued_request(number, priority, number), 8) {
                    Admission::Queued if list.len() < 8 => list.push((priority, number)),
                    Admission::QueuedAfterShedding(shed) if list.len() == 8 => {
                        let Some(worst) = worst else { return false };
                        if worst != (shed.priority, shed.slot) || worst.0 <= priority {
                            return false;
                        }
                        list.retain(|held| *held != worst);
                        list.push((priority, number));
                    }
                    Admission::Full(back) if list.len() == 8 => {
                        let is_lower = worst.is_some_and(|worst| worst.0 > priority);
                        if is_lower || back.slot != number {
                            return false;
                        }
                    }
                    _ => return false,
                }
            } else {
                let taken = queue.take().map(|taken| (taken.priority, taken.slot));
                let by_priority = list.iter().min().copied();
                let by_age = list.iter().min_by_key(|held| held.1).copied();
                if taken != by_priority && taken != by_age {
                    return false;
                }
                list.retain(|held| Some(*held) != taken);
            }
            if queue.len() != list.len() {
                return false;
            }
        }
        true
    }

    fn low_priorities_do_not_starve(urgent: u8) -> bool {
        let mut queue = RequestQueue::default();
        queue.admit(queued_request(0, 1, 0), 10_000);
        for slot in 1..=u64::from(urgent) + 20 {
            queue.admit(queued_request(slot, 0, slot), 10_000);
        }
        (0..8).any(|_| queue.take().is_some_and(|taken| taken.slot == 0))
    }

    fn retries_stay_within_share_and_floor_in_every_window(steps: Vec<(u8, u8)>) -> bool {
        let (share, floor, span) = (0.2, 2.0, 1_000);
        let mut retry_budget = RetryBudget::default();
        let (mut now, mut firsts, mut retries) = (0u64, Vec::new(), Vec::new());
        for (pause, step) in steps {
            now += u64::from(pause % 32);
            match step % 2 {
                // The front is killed and restarted within one window.
                0 if step > 240 => retry_budget = RetryBudget::default(),
                0 if retry_budget.take() => retries.push(now),
                0 => {}
                _ => {
                    retry_budget.earn(share, floor);
                    firsts.push(now);
                }
            }
        }
        // Windows that begin and end anywhere, including after the traffic has stopped.
        let within = |times: &[u64], from: u64| {
            times.iter().filter(|time| (from..=from + span).contains(time)).count() as f64
        };
        (0..=now).step_by(7).chain(retries.clone()).all(|from| {
            within(&retries, from) <= share * within(&firsts, from) + floor
        })
    }
}
