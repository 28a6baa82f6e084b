//! A seed keeps its meaning across versions: the faults drawn from it, and the hosts and placers that they affect.

use super::plan;
use crate::scenario::Scenario;
use crate::seeded_rng::SeededRng;

/// A hash that is the same in every version (FNV-1a).
fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

#[test]
fn plans_the_same_actions_for_a_seed_as_earlier_versions() {
    let cases = [
        (
            Scenario::standard(),
            169,
            0x235f_dc39_b877_4591,
            0xb054_55b6_a677_879d,
        ),
        (
            Scenario::standard_with_catalogue(),
            312,
            0xdb6d_64d2_df70_1d0c,
            0xd8b0_86ef_e45d_17c8,
        ),
        (
            Scenario::random(7),
            183,
            0xc539_aff4_2dfc_f605,
            0xec9c_41d9_8a18_401b,
        ),
        (
            Scenario::random(42),
            166,
            0x2231_ff18_5ff4_e840,
            0x8e14_72c9_5ccf_7fb3,
        ),
    ];
    for (scenario, count, times_hash, next_seed) in cases {
        let mut rng = SeededRng::new(3, 1);
        let actions = plan(&scenario, &mut rng);
        let times: String = actions
            .iter()
            .map(|action| format!("{} ", action.at_us))
            .collect();
        let name = &scenario.name;
        assert_eq!(actions.len(), count, "{name}: number of actions");
        assert_eq!(hash(&times), times_hash, "{name}: times of the actions");
        assert_eq!(rng.seed(), next_seed, "{name}: number of random draws");
    }
}

#[test]
fn draws_the_same_scenario_from_a_seed_as_earlier_versions() {
    let cases = [
        (Scenario::standard(), 0x2ead_0d9a_bc5a_bdd0),
        (Scenario::random(0), 0x4d56_f4df_10f5_611d),
        (Scenario::random(1), 0xb6d7_062c_420c_ee3e),
        (Scenario::random(7), 0x2f03_ed8b_6423_5f36),
        (Scenario::random(42), 0x0070_ac56_16f7_679b),
        (Scenario::random(199), 0xf182_62f6_8442_2fe0),
    ];
    for (scenario, expected) in cases {
        let text = toml::to_string(&scenario).expect("a scenario serializes to TOML");
        assert_eq!(hash(&text), expected, "{}", scenario.name);
    }
}
