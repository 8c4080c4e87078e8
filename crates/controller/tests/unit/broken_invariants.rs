//! The order of terms is broken on purpose, and its check ends the test.

use crate::term_check::check_term;

#[test]
#[should_panic(expected = "terms_rise")]
fn scaling_begins_under_a_lower_term() {
    check_term(5, 5);
    check_term(5, 4);
}
