//! Compares the numbered results with the tables in `docs/RESULT-CODES.md`. The page goes out of
//! date when a result or refusal is added or changed in the code only.

use vanillafold::state::RefusalReason;
use vanillafold::types::ResultCode;

const PAGE: &str = include_str!("../../../docs/RESULT-CODES.md");

/// Returns the rows of the page's table under a heading, without the table's header.
fn rows(heading: &str) -> Vec<&'static str> {
    PAGE.lines()
        .skip_while(|line| *line != heading)
        .skip_while(|line| !line.starts_with('|'))
        .skip(2)
        .take_while(|line| line.starts_with('|'))
        .collect()
}

fn assert_rising(numbers: &[u16]) {
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
}

#[test]
fn the_page_lists_every_result_of_a_request() {
    let expected: Vec<String> = ResultCode::ALL
        .iter()
        .map(|code| {
            let (number, label, status) = (code.number(), code.label(), code.status());
            let (outcome, text) = (code.outcome(), code.text());
            format!("| {number} | `{label}` | {status} | {outcome} | {text} |")
        })
        .collect();

    assert_eq!(rows("## Results of a request"), expected);
}

#[test]
fn the_page_lists_every_refusal_of_a_record() {
    let expected: Vec<String> = RefusalReason::ALL
        .iter()
        .map(|reason| {
            let (number, label, text) = (reason.number(), reason.label(), reason.text());
            format!("| {number} | `{label}` | {text} |")
        })
        .collect();

    assert_eq!(rows("## Refusals of a record"), expected);
}

#[test]
fn numbers_rise_and_stay_apart() {
    let results: Vec<u16> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    let refusals: Vec<u16> = RefusalReason::ALL
        .iter()
        .map(|reason| reason.number())
        .collect();

    assert_rising(&results);
    assert_rising(&refusals);
    assert!(results.last() < refusals.first());
}

#[test]
fn labels_are_given_once_and_are_metric_names() {
    let mut labels: Vec<&str> = ResultCode::ALL.iter().map(|code| code.label()).collect();
    labels.sort_unstable();

    assert!(labels.is_sorted_by(|a, b| a < b), "{labels:?}");
    let plain = |label: &str| {
        label
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte == b'_')
    };
    assert!(labels.iter().all(|label| plain(label)), "{labels:?}");
}

#[test]
fn a_result_other_than_an_answer_has_a_status_of_failure() {
    for code in ResultCode::ALL.iter().filter(|code| code.number() != 0) {
        assert!((400..600).contains(&code.status()), "{code}");
        assert_ne!(code.outcome().as_str(), "answer", "{code}");
    }
}
