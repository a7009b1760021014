//! Helpers for the property tests.

use proptest::test_runner::{Config, RngSeed};

/// Default seed, used in CI; `PROPTEST_RNG_SEED` overrides it.
const CI_SEED: u64 = 20_261_204;

/// Returns the configuration of a property test: a fixed seed and a number of cases, which `FUZZ_CASES` overrides.
pub fn fuzz_config(default_cases: u32) -> Config {
    let cases = std::env::var("FUZZ_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok());
    let seed = std::env::var("PROPTEST_RNG_SEED")
        .ok()
        .and_then(|seed| seed.parse().ok());
    Config {
        rng_seed: RngSeed::Fixed(seed.unwrap_or(CI_SEED)),
        failure_persistence: None,
        max_shrink_iters: 4_000,
        ..Config::with_cases(cases.unwrap_or(default_cases))
    }
}

/// Defines `StatelessReference`, a reference state machine without state: each action from `$strategy` is valid at any
/// time.
#[macro_export]
macro_rules! stateless_reference {
    ($action:ty, $strategy:expr) => {
        #[derive(Debug, Clone)]
        struct StatelessReference;

        impl proptest_state_machine::ReferenceStateMachine for StatelessReference {
            type State = Self;
            type Transition = $action;

            fn init_state() -> BoxedStrategy<Self> {
                Just(Self).boxed()
            }

            fn transitions(_: &Self) -> BoxedStrategy<$action> {
                $strategy.boxed()
            }

            fn apply(state: Self, _: &$action) -> Self {
                state
            }
        }
    };
}
