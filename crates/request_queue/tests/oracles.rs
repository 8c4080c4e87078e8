//! Holdings and the retry allowance against plain lists.

mod fixtures;

use fixtures::ticket;
use fuzzing::seeded;
use request_queue::{Admission, Allowance, Holding};

seeded! {
    fn a_holding_agrees_with_a_sorted_list(steps: Vec<(u8, u8)>) -> bool {
        let mut holding = Holding::default();
        let mut list: Vec<(u8, u64)> = Vec::new();
        for (number, (step, rank)) in steps.into_iter().enumerate() {
            let number = number as u64;
            let rank = rank % 3;
            if step % 3 > 0 {
                let worst = list.iter().max().copied();
                match holding.admit(ticket(number, rank, number), 8) {
                    Admission::Held if list.len() < 8 => list.push((rank, number)),
                    Admission::HeldFor(shed) if list.len() == 8 => {
                        let Some(worst) = worst else { return false };
                        if worst != (shed.rank, shed.slot) || worst.0 <= rank {
                            return false;
                        }
                        list.retain(|held| *held != worst);
                        list.push((rank, number));
                    }
                    Admission::Full(back) if list.len() == 8 => {
                        let is_lower = worst.is_some_and(|worst| worst.0 > rank);
                        if is_lower || back.slot != number {
                            return false;
                        }
                    }
                    _ => return false,
                }
            } else {
                let taken = holding.take().map(|taken| (taken.rank, taken.slot));
                let by_rank = list.iter().min().copied();
                let by_age = list.iter().min_by_key(|held| held.1).copied();
                if taken != by_rank && taken != by_age {
                    return false;
                }
                list.retain(|held| Some(*held) != taken);
            }
            if holding.len() != list.len() {
                return false;
            }
        }
        true
    }

    fn low_ranks_do_not_starve(urgent: u8) -> bool {
        let mut holding = Holding::default();
        holding.admit(ticket(0, 1, 0), 10_000);
        for slot in 1..=u64::from(urgent) + 20 {
            holding.admit(ticket(slot, 0, slot), 10_000);
        }
        (0..8).any(|_| holding.take().is_some_and(|taken| taken.slot == 0))
    }

    fn retries_stay_below_share_and_floor_in_every_window(steps: Vec<(u8, u8)>) -> bool {
        let (share, floor, span) = (0.2, 2.0, 1_000);
        let mut allowance = Allowance::default();
        let (mut now, mut firsts, mut retries) = (0u64, Vec::new(), Vec::new());
        for (pause, step) in steps {
            now += u64::from(pause % 32);
            match step % 2 {
                // The front is killed and started again, all in one window.
                0 if step > 240 => allowance = Allowance::default(),
                0 if allowance.take() => retries.push(now),
                0 => {}
                _ => {
                    allowance.first(share, floor);
                    firsts.push(now);
                }
            }
        }
        // Windows that begin and end anywhere, also where traffic has stopped since.
        let within = |times: &[u64], from: u64| {
            times.iter().filter(|time| (from..=from + span).contains(time)).count() as f64
        };
        (0..=now).step_by(7).chain(retries.clone()).all(|from| {
            within(&retries, from) <= share * within(&firsts, from) + floor
        })
    }
}
