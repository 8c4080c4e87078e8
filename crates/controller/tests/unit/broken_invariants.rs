//! A decreasing term violates the invariant, whose check panics.

use crate::term_check::check_term;

#[test]
#[should_panic(expected = "terms_rise")]
fn a_decreasing_term_violates_the_invariant() {
    check_term(5, 5);
    check_term(5, 4);
}
