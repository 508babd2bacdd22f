//! The command `check`: what is wrong or doubtful about a catalogue file, and what `apply` would
//! change.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{Parser, construct, long};
use vanillafold::state::State;
use vanillafold::types::{
    Difference, Document, EntryChange, EntryName, Finding, compare, warnings,
};

use super::apply::published;
use super::file::{InvalidFileError, file, read_catalogue};
use crate::publish::{PublishError, read_published};

/// The options of the command `check`.
#[derive(Debug, Clone)]
pub(crate) struct CheckOptions {
    /// The address of the platform's log; `None` if the file is not compared with the log.
    platform: Option<SocketAddr>,
    /// Whether warnings make the check fail.
    deny_warnings: bool,
    file: PathBuf,
}

/// Why a check failed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(crate) enum CheckError {
    /// The file can't be read or has errors.
    #[error(transparent)]
    InvalidFile(#[from] InvalidFileError),
    /// The file has warnings, which the options deny; holds the whole report.
    #[error("{0}")]
    Denied(String),
    /// The log could not be read.
    #[error("{}{error}", lines(findings))]
    Unread {
        /// The findings about the file by itself.
        findings: Vec<String>,
        /// Why the log could not be read.
        error: PublishError,
    },
}

/// Returns the parser of the options.
pub(crate) fn check_options() -> impl Parser<CheckOptions> {
    let platform = long("platform")
        .help("Address of the platform's log, to show what differs from the version in force")
        .argument("IP:PORT")
        .optional();
    let deny_warnings = long("deny-warnings")
        .help("Exit with status 2 if there are warnings")
        .switch();
    construct!(CheckOptions {
        platform,
        deny_warnings,
        file()
    })
}

/// Checks a file and returns the report: a line for each finding and a summary.
///
/// # Errors
///
/// Returns a [`CheckError`] if the file has errors, if it has warnings and the options deny them, or
/// if the log could not be read.
pub(crate) async fn check(options: &CheckOptions) -> Result<String, CheckError> {
    let (document, catalogue) = read_catalogue(&options.file)?;
    let mut findings = warnings(&catalogue);
    findings.sort_by_key(|finding| place(finding, &document));
    let texts_of = |findings: &[Finding]| -> Vec<String> {
        let texts = findings.iter().map(|found| found.located_text(&document));
        texts.collect()
    };
    let mut differing_entries = None;
    let mut differences = Vec::new();
    if let Some(address) = options.platform {
        let state = match read_published(address).await {
            Ok(state) => state,
            Err(error) => {
                let findings = texts_of(&findings);
                return Err(CheckError::Unread { findings, error });
            }
        };
        let differing = compare(&published(&state), &catalogue);
        findings.extend(removed_teams_with_keys(&differing, &state));
        differences.extend(differing.iter().flat_map(Difference::findings));
        differences.sort_by_key(|finding| place(finding, &document));
        differing_entries = Some(differing.len());
    }
    let warning_count = findings.len();
    findings.append(&mut differences);
    let summary = summary(document.file(), warning_count, differing_entries);
    let report = lines(&texts_of(&findings)) + &summary;
    match options.deny_warnings && warning_count > 0 {
        true => Err(CheckError::Denied(report)),
        false => Ok(report),
    }
}

/// Returns the key by which findings are sorted: the line, and those about entries that are not in
/// the document last.
fn place(finding: &Finding, document: &Document) -> usize {
    finding.line(document).unwrap_or(usize::MAX)
}

/// Returns a warning for each removed team that still has a key, because the log refuses such an
/// edit as a whole (631).
fn removed_teams_with_keys(differences: &[Difference], state: &State) -> Vec<Finding> {
    let mut found = Vec::new();
    for difference in differences {
        let (EntryName::Team(team), EntryChange::Removed(_)) =
            (&difference.entry, &difference.change)
        else {
            continue;
        };
        let key = state.keys().find(|key| key.value.team == *team);
        found.extend(key.map(|key| {
            let message = format!(
                "the team is removed but still has key {}: apply will be refused with 631",
                key.value.id
            );
            Finding::warning(difference.entry.clone(), "", message)
        }));
    }
    found
}

/// Returns the texts, each followed by a line break.
fn lines(texts: &[String]) -> String {
    texts.iter().map(|text| format!("{text}\n")).collect()
}

fn summary(file: &str, warning_count: usize, differing_entries: Option<usize>) -> String {
    let verdict = match warning_count {
        0 => "the catalogue is good".to_owned(),
        1 => "the catalogue is valid, with 1 warning".to_owned(),
        count => format!("the catalogue is valid, with {count} warnings"),
    };
    match differing_entries {
        None => format!("{file}: {verdict}"),
        Some(0) => format!("{file}: {verdict}; nothing differs from the version in force"),
        Some(1) => format!("{file}: {verdict}; 1 entry differs from the version in force"),
        Some(count) => {
            format!("{file}: {verdict}; {count} entries differ from the version in force")
        }
    }
}
