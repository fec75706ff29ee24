//! Parsing and formatting of keys and attempts.

use dunlinrock_once::{Key, KeyError, MAX_NONCE_BYTES, Participant, PriorAttempts};
use proptest::{
    prelude::{ProptestConfig, any, prop_assert_eq, proptest},
    test_runner::RngSeed,
};
use rstest::rstest;

fn participant((incarnation, epoch): (u64, u64)) -> Participant {
    Participant { incarnation, epoch }
}

#[rstest]
#[case::empty("", KeyError::Number(1))]
#[case::nonce_alone("abc", KeyError::Number(1))]
#[case::too_few_parts("1.2.3", KeyError::Parts(3))]
#[case::no_nonce("1.2.3.4", KeyError::Parts(4))]
#[case::empty_nonce("1.2.3.4.", KeyError::Length(0))]
#[case::sign("1.+2.3.4.n", KeyError::Number(2))]
#[case::leading_zero("1.2.03.4.n", KeyError::Number(3))]
#[case::over_u64("18446744073709551616.2.3.4.n", KeyError::Number(1))]
#[case::space("1.2.3.4.a b", KeyError::Character(' '))]
#[case::fifth_dot("1.2.3.4.a.b", KeyError::Character('.'))]
#[case::not_ascii("1.2.3.4.ș", KeyError::Character('ș'))]
fn an_invalid_key_returns_its_error(#[case] text: &str, #[case] error: KeyError) {
    assert_eq!(text.parse::<Key>(), Err(error));
}

#[test]
fn a_nonce_has_at_most_the_maximum_length() {
    let text = |len| format!("1.2.3.4.{}", "n".repeat(len));
    assert!(text(MAX_NONCE_BYTES).parse::<Key>().is_ok());
    let long = MAX_NONCE_BYTES + 1;
    assert_eq!(text(long).parse::<Key>(), Err(KeyError::Length(long)));
}

#[rstest]
#[case("owner=1, witness=2", Some((1, 2)))]
#[case(" owner=0,witness=4294967295 ", Some((0, u32::MAX)))]
#[case("witness=2, owner=1", None)]
#[case("owner=1", None)]
#[case("owner=-1, witness=0", None)]
#[case("owner=1, witness=0, other=1", None)]
fn attempts_parse_in_one_form_only(#[case] text: &str, #[case] counts: Option<(u32, u32)>) {
    let expected = counts.map(|(owner, witness)| PriorAttempts { owner, witness });
    assert_eq!(text.parse().ok(), expected);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_key_round_trips_through_its_text(
        owner in any::<(u64, u64)>(),
        witness in any::<(u64, u64)>(),
        nonce in "[A-Za-z0-9_-]{1,64}",
    ) {
        let key = Key::bind(participant(owner), participant(witness), &nonce).unwrap();
        prop_assert_eq!(key.to_string().parse(), Ok(key));
    }

    #[test]
    fn any_text_is_invalid_or_canonical(text in any::<String>()) {
        if let Ok(key) = text.parse::<Key>() {
            prop_assert_eq!(key.to_string(), text);
        }
    }

    #[test]
    fn texts_near_a_key_are_invalid_or_canonical(
        text in "[0-9]{0,21}(\\.[0-9a+]{0,2}){2,5}\\.[a-z. é]{0,4}",
    ) {
        if let Ok(key) = text.parse::<Key>() {
            prop_assert_eq!(key.to_string(), text);
        }
    }

    #[test]
    fn any_attempts_text_parses_or_fails(text in any::<String>()) {
        let _ = text.parse::<PriorAttempts>();
    }

    #[test]
    fn attempts_round_trip_through_their_text(owner in any::<u32>(), witness in any::<u32>()) {
        let attempts = PriorAttempts { owner, witness };
        prop_assert_eq!(attempts.to_string().parse(), Ok(attempts));
    }
}
