//! Property tests with a fixed seed, so that results are reproducible. For another seed or more cases, run
//! `FUZZ_SEED=<number> FUZZ_TESTS=<number> cargo test`.
#![warn(missing_docs)]

pub use quickcheck::TestResult;
use quickcheck::{Gen, QuickCheck, Testable};

const GEN_SIZE: usize = 100;
const DEFAULT_SEED: u64 = 20_261_201;
const DEFAULT_TESTS: u64 = 200;

fn env_number(variable: &str, default: u64) -> u64 {
    let text = std::env::var(variable).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Checks a property with the fixed seed, or with the one in `FUZZ_SEED`.
pub fn check(property: impl Testable) {
    let seed = env_number("FUZZ_SEED", DEFAULT_SEED);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, seed))
        .tests(env_number("FUZZ_TESTS", DEFAULT_TESTS))
        .quickcheck(property);
}

/// Generates a test for each property, which runs [`check`] on it.
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
