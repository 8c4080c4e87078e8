//! Effect of a disk stall on the time limits of a soak.

use cluster::disk_probe::{self, Deadline, Stall};
use cluster::soak::disturbances::Disturbances;
use cluster::soak::fault::Target;
use std::time::{Duration, Instant};

const GATEWAY: usize = 0;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[test]
fn no_gateway_is_in_touch_during_and_shortly_after_a_disk_stall() {
    let began_at = Instant::now();
    let stall = Stall {
        began_at,
        ended_at: began_at + seconds(3),
    };
    let disturbances = Disturbances::new(1).with_stalls(vec![stall]);
    let is_in_touch = |at| disturbances.is_in_touch(GATEWAY, at);
    assert!(is_in_touch(began_at - seconds(1)));
    assert!(!is_in_touch(began_at));
    assert!(!is_in_touch(began_at + seconds(4)));
    assert!(is_in_touch(began_at + seconds(5)));
}

#[test]
fn a_stall_does_not_affect_gateways_at_other_times() {
    let began_at = Instant::now();
    let mut disturbances = Disturbances::new(1);
    disturbances.record(Target::Gateway(GATEWAY), began_at + seconds(10));
    let stall = Stall {
        began_at,
        ended_at: began_at + seconds(1),
    };
    let disturbances = disturbances.with_stalls(vec![stall]);
    assert!(disturbances.is_in_touch(GATEWAY, began_at + seconds(9)));
    assert!(!disturbances.is_in_touch(GATEWAY, began_at + seconds(11)));
}

#[test]
fn a_deadline_counts_all_time_without_a_disk_stall() {
    assert!(Deadline::after(Duration::ZERO).is_over());
    let deadline = Deadline::after(Duration::from_millis(20));
    std::thread::sleep(Duration::from_millis(25));
    assert_eq!(disk_probe::stalls(), []);
    assert!(deadline.is_over());
}
