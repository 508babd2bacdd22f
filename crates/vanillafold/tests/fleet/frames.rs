//! Frames of other daemons, decoded as the link does it.

use quickcheck::{Arbitrary, Gen};
use vanillafold::fleet::{FleetAnswer, FleetRequest};

use crate::fixture::submission;

const SEED: u64 = 0x0066_7261_6d65;
/// Random frames of each kind that are decoded.
const FRAMES: usize = 20_000;
/// The limit of the link for a frame, in bytes.
const MAX_MESSAGE_BYTES: usize = 128 * 1024;
/// Encoding of the length `u64::MAX`: the marker of a 64-bit number, then the number.
const LARGEST_LENGTH: [u8; 9] = [253, 255, 255, 255, 255, 255, 255, 255, 255];

const fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>()
}

/// Decodes a frame as a request and as an answer; whatever is decoded can be encoded again.
fn decode(frame: &[u8]) {
    if let Ok((request, _)) = bincode::decode_from_slice::<FleetRequest, _>(frame, config()) {
        assert!(!request.kind().is_empty());
    }
    if let Ok((answer, used)) = bincode::decode_from_slice::<FleetAnswer, _>(frame, config()) {
        assert!(used <= frame.len());
        assert!(!answer.kind().is_empty());
    }
}

fn frames() -> Vec<Vec<u8>> {
    let requests = [
        submission(7),
        FleetRequest::Pending("quotes".to_owned()),
        FleetRequest::Ping {
            zone: "zone-a".to_owned(),
            cpu_millis: 500,
            epoch: 7,
            owner_clock_ms: 70_000,
            evacuations: None,
        },
    ];
    let answers = [
        FleetAnswer::State("running".to_owned()),
        FleetAnswer::Config(vec![1, 2, 3]),
    ];
    let requests = requests
        .iter()
        .map(|request| bincode::encode_to_vec(request, config()));
    let answers = answers
        .iter()
        .map(|answer| bincode::encode_to_vec(answer, config()));
    requests
        .chain(answers)
        .map(|frame| frame.expect("a frame"))
        .collect()
}

#[test]
fn a_frame_with_a_length_that_none_has_is_an_error() {
    for frame in frames() {
        for place in 0..frame.len() {
            let mut changed = frame.clone();
            changed.splice(place..=place, LARGEST_LENGTH);

            decode(&changed);
            decode(&frame[..place]);
        }
    }
}

#[test]
fn any_bytes_are_a_message_or_an_error() {
    let mut g = Gen::from_size_and_seed(64, SEED);
    let frames = frames();
    for number in 0..FRAMES {
        let mut frame = frames[number % frames.len()].clone();
        for _ in 0..3 {
            let place = usize::arbitrary(&mut g) % frame.len();
            frame[place] = u8::arbitrary(&mut g);
        }

        decode(&frame);
        decode(&Vec::<u8>::arbitrary(&mut g));
    }
}
