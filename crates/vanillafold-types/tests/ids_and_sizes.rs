//! Parsing and display of identifiers, numbers, classes and outcomes.

use std::fmt::Display;
use std::str::FromStr;

use quickcheck::{Arbitrary, Gen};
use vanillafold_types::{
    ByteSize, Class, IdError, KeyId, MAX_ID_CHARS, Millis, Outcome, Owner, ParseValueError,
    Percent, PoolId, RequestId, Slots,
};

const SEED: u64 = 20_261_204;

fn parse_error<T: FromStr>(text: &str) -> String
where
    T::Err: Display,
{
    match text.parse::<T>() {
        Ok(_) => panic!("{text:?} was accepted"),
        Err(error) => error.to_string(),
    }
}

fn assert_round_trip<T>(value: &T)
where
    T: FromStr + Display + PartialEq + std::fmt::Debug,
{
    assert_eq!(value.to_string().parse::<T>().as_ref().ok(), Some(value));
}

#[test]
fn a_valid_id_is_kept_unchanged() {
    for text in ["a", "A-b_c.9", &"x".repeat(MAX_ID_CHARS)] {
        assert_eq!(text.parse::<PoolId>().expect("an id").as_str(), text);
    }
    assert!("ops+night@shop.example".parse::<Owner>().is_ok());
}

#[test]
fn an_invalid_id_is_refused_with_what_was_expected() {
    assert_eq!(
        parse_error::<PoolId>(""),
        "expected 1 to 64 characters, found none"
    );
    assert_eq!(
        parse_error::<RequestId>(&"x".repeat(65)),
        "expected 1 to 64 characters, found 65"
    );
    assert_eq!(
        parse_error::<PoolId>("a b"),
        "expected letters, digits and -_., found ' '"
    );
    // A whole key is `id.secret`, so the id ends at the first dot.
    assert_eq!(
        parse_error::<KeyId>("a.b"),
        "expected letters, digits and -_, found '.'"
    );
    assert_eq!(
        parse_error::<PoolId>("ä"),
        "expected letters, digits and -_., found 'ä'"
    );
}

#[test]
fn any_text_is_a_valid_id_or_gives_the_matching_error() {
    let mut rng = Gen::from_size_and_seed(90, SEED);
    for _ in 0..5_000 {
        let text = String::arbitrary(&mut rng);
        let chars = text.chars().count();
        let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        let expected = match chars {
            0 => Err(IdError::Empty),
            _ if chars > MAX_ID_CHARS => Err(IdError::TooLong { chars }),
            _ => match text.chars().find(|c| !allowed(*c)) {
                Some(found) => Err(IdError::InvalidCharacter {
                    found,
                    allowed: "-_.",
                }),
                None => Ok(text.clone()),
            },
        };
        let parsed = text.parse::<PoolId>().map(|id| id.to_string());
        assert_eq!(parsed, expected);
    }
}

#[test]
fn a_number_is_parsed_with_and_without_its_unit() {
    assert_eq!("1500".parse(), Ok(Millis::new(1_500)));
    assert_eq!("1500ms".parse(), Ok(Millis::new(1_500)));
    assert_eq!("70 %".parse(), Ok(Percent::new(70)));
    assert_eq!("64KiB".parse(), Ok(ByteSize::new(65_536)));
    assert_eq!("3 GiB".parse(), Ok(ByteSize::new(3 << 30)));
    assert_eq!("17".parse(), Ok(ByteSize::new(17)));
}

#[test]
fn an_invalid_number_is_refused_with_what_was_expected() {
    for text in [
        "",
        "soon",
        "-1",
        "1.5",
        "86400001",
        "1s",
        "99999999999999999999",
    ] {
        assert_eq!(
            parse_error::<Millis>(text),
            format!("expected milliseconds from 0 to 86400000, found {text:?}")
        );
    }
    assert_eq!(
        parse_error::<Percent>("101"),
        "expected a percentage from 0 to 100, found \"101\""
    );
    assert_eq!(
        parse_error::<Slots>("eight"),
        "expected a number of slots from 0 to 1000000, found \"eight\""
    );
    for text in ["", "KiB", "1 MB", "-1B", "18014398509481984KiB"] {
        assert_eq!(
            parse_error::<ByteSize>(text),
            format!("expected a size such as 64KiB, 16MiB or 1GiB, found {text:?}")
        );
    }
    assert_eq!(
        parse_error::<Class>("late"),
        "expected urgent, normal or overnight, found \"late\""
    );
}

#[test]
fn displayed_values_parse_to_the_same_value() {
    let mut rng = Gen::from_size_and_seed(100, SEED);
    for _ in 0..2_000 {
        assert_round_trip(&Millis::new(u64::arbitrary(&mut rng) % 86_400_001));
        assert_round_trip(&Slots::new(u32::arbitrary(&mut rng) % 1_000_001));
        assert_round_trip(&Percent::new(u8::arbitrary(&mut rng) % 101));
        let shift = u32::arbitrary(&mut rng) % 40;
        assert_round_trip(&ByteSize::new(
            (u64::arbitrary(&mut rng) % 1_000_000) << shift,
        ));
    }
    for class in [Class::Urgent, Class::Normal, Class::Overnight] {
        assert_round_trip(&class);
    }
    for outcome in [Outcome::Answer, Outcome::NotRun, Outcome::MayHaveRun] {
        assert_round_trip(&outcome);
    }
}

#[test]
fn percentage_of_a_count_is_rounded_up() {
    assert_eq!(Percent::new(70).of_rounded_up(10), 7);
    assert_eq!(Percent::new(70).of_rounded_up(11), 8);
    assert_eq!(Percent::new(0).of_rounded_up(11), 0);
    assert_eq!(Percent::new(100).of_rounded_up(11), 11);
}

#[test]
fn a_parse_error_keeps_the_text_that_was_found() {
    let error: ParseValueError = "x".parse::<Slots>().expect_err("no number");

    assert_eq!(error.found, "x");
}
