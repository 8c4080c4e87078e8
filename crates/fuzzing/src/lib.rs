//! Property tests with a fixed seed, so that a check gives the same verdict every time. A longer
//! search is one variable away: `FUZZ_SEED=<number> FUZZ_TESTS=<number> cargo test`.
#![warn(missing_docs)]

pub use quickcheck::TestResult;
use quickcheck::{Gen, QuickCheck, Testable};

const SIZE: usize = 100;
const SEED: u64 = 20_261_201;
const TESTS: u64 = 200;

fn number_of(variable: &str, otherwise: u64) -> u64 {
    let text = std::env::var(variable).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(otherwise)
}

/// Checks a property with the fixed seed.
pub fn check(property: impl Testable) {
    let seed = number_of("FUZZ_SEED", SEED);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, seed))
        .tests(number_of("FUZZ_TESTS", TESTS))
        .quickcheck(property);
}

/// Makes a test of each property, checked with the fixed seed.
#[macro_export]
macro_rules! seeded {
    ($(
        fn $name:ident($($argument:ident : $kind:ty),* $(,)?) -> $result:ty { $($code:tt)* }
    )*) => ($(
        #[test]
        fn $name() {
            fn property($($argument: $kind),*) -> $result { $($code)* }
            $crate::check(property as fn($($kind),*) -> $result);
        }
    )*);
}
