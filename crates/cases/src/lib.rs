//! Properties whose cases are the same in each run; for tests.

use quickcheck::{Gen, QuickCheck};

/// Size of the drawn values, quickcheck's own default.
const CASE_SIZE: usize = 100;

/// Seed of the cases.
const SEED: u64 = 24;

/// Variable of the environment that sets another seed, for a soak by hand.
const SEED_NAME: &str = "SOAK_SEED";

/// Draws the same cases in each run; another seed in `SOAK_SEED` draws others.
///
/// # Panics
///
/// `SOAK_SEED` is no number.
#[must_use]
pub fn seeded() -> QuickCheck {
    let seed = match std::env::var(SEED_NAME) {
        Ok(text) => text.parse().expect("SOAK_SEED is a number"),
        Err(_) => SEED,
    };
    QuickCheck::new().rng(Gen::from_size_and_seed(CASE_SIZE, seed))
}

/// Makes a test of each function, whose arguments are drawn by [`seeded`].
#[macro_export]
macro_rules! properties {
    ($($(#[$meta:meta])* fn $name:ident($($arg:ident: $kind:ty),* $(,)?) -> $result:ty $body:block)*) => {$(
        $(#[$meta])*
        #[test]
        fn $name() {
            fn holds($($arg: $kind),*) -> $result $body
            $crate::seeded().quickcheck(holds as fn($($kind),*) -> $result);
        }
    )*};
}
