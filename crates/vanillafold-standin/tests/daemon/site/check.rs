//! What must hold at each refusal.

use vanillafold_types::ResultCode;

use super::{Answer, Raw, Site, get};

/// What becomes of a connection after a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum After {
    /// Another request may follow on it.
    Kept,
    /// It is closed.
    Closed,
}

/// Sends `input`, which must be refused with `code` while a request on another connection is
/// answered; nothing of `input` may run.
pub(crate) fn assert_refused(input: impl AsRef<[u8]>, code: ResultCode, after: After) {
    let mut site = Site::start();
    assert_refused_at(&mut site, input, code, after);
}

fn assert_refused_at(site: &mut Site, input: impl AsRef<[u8]>, code: ResultCode, after: After) {
    let mut bad = site.connect();
    bad.try_send(input);
    refusal_of(site, &mut bad, code, after);
}

/// The refusal that is due on `bad`, checked.
pub(crate) fn refusal_of(site: &mut Site, bad: &mut Raw, code: ResultCode, after: After) -> Answer {
    let before = site.runner_stats().requests;
    assert_answered(&mut site.connect());
    let refusal = bad.answer();
    assert_is_refusal(&refusal, code);
    let close = refusal.header("connection");
    match after {
        After::Kept => {
            assert_eq!(close, None, "{refusal:?}");
            assert_answered(bad);
        }
        After::Closed => {
            assert_eq!(close, Some("close"), "{refusal:?}");
            bad.end_sending();
            assert!(bad.is_closed(), "the connection stays open");
        }
    }
    assert_answered(&mut site.connect());
    let well_formed = match after {
        After::Kept => 3,
        After::Closed => 2,
    };
    assert_eq!(site.runner_stats().requests, before + well_formed);
    assert!(site.is_running(), "{}", site.daemon_log());
    refusal
}

fn assert_is_refusal(refusal: &Answer, code: ResultCode) {
    let number = code.number().to_string();
    assert_eq!(refusal.text(), format!("{code}\n"));
    assert_eq!(refusal.status, code.status());
    assert_eq!(refusal.header("vf-result-code"), Some(number.as_str()));
    assert_eq!(refusal.header("vf-outcome"), Some(code.outcome().as_str()));
    assert_eq!(refusal.header("vf-daemon"), Some("entry-1"));
}

fn assert_answered(raw: &mut Raw) {
    raw.send(get("/queues/open/work"));
    let answer = raw.answer();
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(answer.header("vf-outcome"), Some("answer"));
    assert_eq!(answer.header("vf-result-code"), Some("0"));
}
