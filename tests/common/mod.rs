//! What the test files share.

use proptest::test_runner::{Config, RngSeed};

/// The seed of CI; another one is taken from `PROPTEST_RNG_SEED`.
const CI_SEED: u64 = 20_261_204;

/// Returns the fuzzing configuration: a fixed seed and a bounded number of cases, which `FUZZ_CASES` raises.
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

/// Defines `StatelessReference`, the reference state machine of an oracle that needs no state of its own: every action that
/// `$strategy` makes fits every moment.
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
