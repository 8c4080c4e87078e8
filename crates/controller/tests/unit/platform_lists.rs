//! The age of the scaler's runner list, including when pages fail.

use crate::codec::RunnerPage;
use crate::platform_lists::{PageProgress, PlatformLists};

const INTERVAL_MS: u64 = 1_000;

fn page(next: Option<&str>) -> RunnerPage {
    RunnerPage {
        runners: Vec::new(),
        next: next.map(String::from),
    }
}

#[test]
fn the_age_of_a_list_counts_from_the_request_of_its_first_page() {
    let mut lists = PlatformLists::default();
    assert_eq!(lists.runners_age_ms(500), 0);
    assert!(lists.take_runners_due(1_000, INTERVAL_MS));
    assert!(matches!(
        lists.add_page(1_100, page(Some("p-2"))),
        PageProgress::Next(_)
    ));
    assert_eq!(lists.runners_age_ms(1_200), 0);
    assert!(matches!(
        lists.add_page(1_200, page(None)),
        PageProgress::Complete(_)
    ));
    assert_eq!(lists.runners_age_ms(1_200), 200);
}

#[test]
fn a_failed_list_is_counted_and_the_age_of_the_previous_one_grows() {
    let mut lists = PlatformLists::default();
    assert!(lists.take_runners_due(1_000, INTERVAL_MS));
    lists.add_page(1_000, page(None));
    assert!(lists.take_runners_due(2_000, INTERVAL_MS));
    lists.add_page(2_100, page(Some("p-2")));
    lists.record_failure();
    assert_eq!(lists.failures(), 1);
    assert_eq!(lists.runners_age_ms(2_500), 1_500);
    assert!(!lists.take_runners_due(2_999, INTERVAL_MS));
    assert!(lists.take_runners_due(3_000, INTERVAL_MS));
    lists.begin_term();
    assert_eq!(lists.runners_age_ms(4_000), 0);
}
