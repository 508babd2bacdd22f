//! Identifiers and sizes as text and as bytes.

use std::fmt::Display;
use std::str::FromStr;

use quickcheck::{Arbitrary, Gen};
use vanillafold_types::{
    ByteSize, Class, IdError, KeyId, MAX_ID_CHARS, Millis, Outcome, Owner, ParseValueError,
    Percent, PoolId, RequestId, Slots,
};

const SEED: u64 = 20_261_204;

fn message<T: FromStr>(text: &str) -> String
where
    T::Err: Display,
{
    match text.parse::<T>() {
        Ok(_) => panic!("{text:?} was taken"),
        Err(error) => error.to_string(),
    }
}

fn assert_read_back<T>(value: &T)
where
    T: FromStr + Display + PartialEq + std::fmt::Debug,
{
    assert_eq!(value.to_string().parse::<T>().as_ref().ok(), Some(value));
}

#[test]
fn an_id_is_taken_as_it_is() {
    for text in ["a", "A-b_c.9", &"x".repeat(MAX_ID_CHARS)] {
        assert_eq!(text.parse::<PoolId>().expect("an id").as_str(), text);
    }
    assert!("ops+night@shop.example".parse::<Owner>().is_ok());
}

#[test]
fn a_wrong_id_is_refused_with_what_was_expected() {
    assert_eq!(
        message::<PoolId>(""),
        "expected 1 to 64 characters, found none"
    );
    assert_eq!(
        message::<RequestId>(&"x".repeat(65)),
        "expected 1 to 64 characters, found 65"
    );
    assert_eq!(
        message::<PoolId>("a b"),
        "expected letters, digits and -_., found ' '"
    );
    // A key's id ends at the first dot.
    assert_eq!(
        message::<KeyId>("a.b"),
        "expected letters, digits and -_, found '.'"
    );
    assert_eq!(
        message::<PoolId>("ä"),
        "expected letters, digits and -_., found 'ä'"
    );
}

#[test]
fn any_text_is_an_id_or_is_refused() {
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
fn a_size_is_taken_with_and_without_its_unit() {
    assert_eq!("1500".parse(), Ok(Millis::new(1_500)));
    assert_eq!("1500ms".parse(), Ok(Millis::new(1_500)));
    assert_eq!("70 %".parse(), Ok(Percent::new(70)));
    assert_eq!("64KiB".parse(), Ok(ByteSize::new(65_536)));
    assert_eq!("3 GiB".parse(), Ok(ByteSize::new(3 << 30)));
    assert_eq!("17".parse(), Ok(ByteSize::new(17)));
}

#[test]
fn a_wrong_size_is_refused_with_what_was_expected() {
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
            message::<Millis>(text),
            format!("expected milliseconds from 0 to 86400000, found {text:?}")
        );
    }
    assert_eq!(
        message::<Percent>("101"),
        "expected a percentage from 0 to 100, found \"101\""
    );
    assert_eq!(
        message::<Slots>("eight"),
        "expected a number of slots from 0 to 1000000, found \"eight\""
    );
    for text in ["", "KiB", "1 MB", "-1B", "18014398509481984KiB"] {
        assert_eq!(
            message::<ByteSize>(text),
            format!("expected a size such as 64KiB, 16MiB or 1GiB, found {text:?}")
        );
    }
    assert_eq!(
        message::<Class>("late"),
        "expected urgent, normal or overnight, found \"late\""
    );
}

#[test]
fn what_is_shown_is_read_back() {
    let mut rng = Gen::from_size_and_seed(100, SEED);
    for _ in 0..2_000 {
        assert_read_back(&Millis::new(u64::arbitrary(&mut rng) % 86_400_001));
        assert_read_back(&Slots::new(u32::arbitrary(&mut rng) % 1_000_001));
        assert_read_back(&Percent::new(u8::arbitrary(&mut rng) % 101));
        let shift = u32::arbitrary(&mut rng) % 40;
        assert_read_back(&ByteSize::new(
            (u64::arbitrary(&mut rng) % 1_000_000) << shift,
        ));
    }
    for class in [Class::Urgent, Class::Normal, Class::Overnight] {
        assert_read_back(&class);
    }
    for outcome in [Outcome::Answer, Outcome::NotRun, Outcome::MayHaveRun] {
        assert_read_back(&outcome);
    }
}

#[test]
fn a_percentage_of_a_count_is_rounded_up() {
    assert_eq!(Percent::new(70).of_rounded_up(10), 7);
    assert_eq!(Percent::new(70).of_rounded_up(11), 8);
    assert_eq!(Percent::new(0).of_rounded_up(11), 0);
    assert_eq!(Percent::new(100).of_rounded_up(11), 11);
}

#[test]
fn an_error_keeps_what_was_found() {
    let error: ParseValueError = "x".parse::<Slots>().expect_err("no number");

    assert_eq!(error.found, "x");
}
