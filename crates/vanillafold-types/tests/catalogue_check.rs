//! Warnings about a valid catalogue, and the comparison of two catalogues.
//!
//! A warning that is missed lets operators publish a catalogue that can't work; a false one stops
//! scripts that deny warnings. A difference that is missed is published without being seen.

use quickcheck::{Arbitrary, Gen};
use vanillafold_types::{CatalogueFile, Difference, Document, FindingKind, compare, warnings};

const GOOD: &str = "\
[pool quotes]
owner = ops
class = urgent

[pool archive]
owner = ops
class = overnight

[team cafes]
owner = sales
share = 30
limit = 10

[team riders]
owner = sales
limit = 10

[queue quotes]
owner = ops
class = urgent
pool = quotes
teams = cafes, riders

[queue archive]
owner = ops
class = overnight
pool = archive
open = yes
";

fn parse(text: &str) -> (Document, CatalogueFile) {
    let document = Document::parse("day.ini", text).expect("INI");
    let catalogue = CatalogueFile::from_document(&document);
    (
        document,
        catalogue.unwrap_or_else(|error| panic!("{error:?}")),
    )
}

/// Returns [`GOOD`] after replacements `FROM => TO`, separated by semicolons. `~` stands for the end
/// of a line.
fn good_with(replacements: &str) -> String {
    let mut text = GOOD.to_owned();
    for replacement in replacements.split("; ") {
        let (from, to) = replacement.split_once(" => ").expect("a replacement");
        let (from, to) = (from.replace('~', "\n"), to.replace('~', "\n"));
        assert!(text.contains(&from), "{from}");
        text = text.replacen(&from, &to, 1);
    }
    text
}

fn warning_texts(text: &str) -> Vec<String> {
    let (document, catalogue) = parse(text);
    warnings(&catalogue)
        .iter()
        .map(|found| found.located_text(&document))
        .collect()
}

/// One case a line: replacements in [`GOOD`] and the starts of the warnings about the result.
const WARNED: &str = "\
pool = archive => pool = quotes | 5: warning: [pool archive] no queue names
teams = cafes, riders => teams = cafes; open = yes => teams = cafes | 14: warning: [team riders] no queue accepts
limit = 10 => limit = 0 | 12: warning: [team cafes] limit is 0
cafes, riders => riders; sales~limit = 10 => sales~limit = 0 | 16: warning: [team riders] limit is 0 | 22: warning: [queue quotes] every team
[team cafes]~owner = sales~share = 30~limit = 10~ => ~; [team riders]~owner = sales~limit = 10 => ~; teams = cafes, riders => ~ | 14: warning: [queue quotes] the queue is not open and the catalogue has no teams
open = yes => open = yes~max_waiting = 0 | 29: warning: [queue archive] max_waiting is 0
[queue archive] => [queue .] | 24: warning: [queue .] HTTP clients remove
[queue archive] => [queue ..] | 24: warning: [queue ..] HTTP clients remove
cafes, riders => cafes, riders, cafes | 22: warning: [queue quotes] teams names cafes twice
limit = 10 => limit = 7 | 12: warning: [team cafes] limit 7 is below what share 30
open = yes => open = yes~max_waiting = 7 | 29: warning: [queue archive] max_waiting 7 is below slots_per_vm of pool archive (8)
urgent => urgent~min_available_percent = 100 | 4: warning: [pool quotes] min_available_percent 100%: no VM may leave for maintenance, at any size
urgent => urgent~min_available_percent = 99 | 4: warning: [pool quotes] min_available_percent 99%: no VM may leave for maintenance unless the pool has 100 VMs
open = yes => open = yes~deadline_ms = 10~max_deadline_ms = 20 | 30: warning: [queue archive] max_deadline_ms 20ms: a retry needs 20ms
open = yes => open = yes~retry_percent = 100~max_body = 65537 | 30: warning: [queue archive] max_body 65537B: a body above 64KiB
open = yes => open = yes~max_body = 12500000001 | 29: warning: [queue archive] max_body 12500000001B: such a body takes 10001ms
open = yes => open = yes~teams = riders | 29: warning: [queue archive] the queue is open
";

#[test]
fn each_rule_warns_at_the_line_of_its_cause() {
    for case in WARNED.lines() {
        let (replacements, expected) = case.split_once(" | ").expect("a case");

        let found = warning_texts(&good_with(replacements));

        let expected: Vec<&str> = expected.split(" | ").collect();
        let matches = found.len() == expected.len()
            && (found.iter().zip(&expected))
                .all(|(text, start)| text.starts_with(&format!("day.ini:{start}")));
        assert!(matches, "{case}: {found:#?}");
    }
}

#[test]
fn no_rule_warns_about_a_catalogue_at_its_bounds() {
    for replacements in [
        "[pool quotes] => [pool quotes]",
        "limit = 10 => limit = 8",
        // Equal shares are the default and promise nothing.
        "share = 30 => share = 1; limit = 10 => limit = 1",
        "urgent => urgent~min_available_percent = 98",
        "open = yes => open = yes~max_waiting = 8",
        "open = yes => open = yes~deadline_ms = 10~max_deadline_ms = 21",
        "open = yes => open = yes~deadline_ms = 10~max_deadline_ms = 20~retry_percent = 0",
        "open = yes => open = yes~retry_percent = 100",
        "open = yes => open = yes~retry_percent = 99~max_body = 1GiB",
        "open = yes => open = yes~max_body = 12500000000",
    ] {
        let found = warning_texts(&good_with(replacements));

        assert_eq!(found, Vec::<String>::new(), "{replacements}");
    }
}

#[test]
fn differences_are_given_by_entry_and_field() {
    let (_, published) = parse(GOOD);
    let (document, desired) = parse(&good_with(
        "urgent => urgent~min_available_percent = 60~slots_per_vm = 4; \
         share = 30~limit = 10 => share = 20~limit = 11; [team riders] => [team hostels]; \
         teams = cafes, riders => teams = all~max_body = 1MiB",
    ));

    let differences = compare(&published, &desired);

    let findings: Vec<String> = differences
        .iter()
        .flat_map(Difference::findings)
        .map(|found| found.located_text(&document))
        .collect();
    let expected = "\
day.ini:4: changed: [pool quotes] min_available_percent: 70% -> 60%
day.ini:5: changed: [pool quotes] slots_per_vm: 8 -> 4 (lower limit)
day.ini:13: changed: [team cafes] share: 30 -> 20
day.ini:14: changed: [team cafes] limit: 10 -> 11
day.ini:16: added: [team hostels] owner = sales; class = normal; share = 1; limit = 10
day.ini:24: changed: [queue quotes] teams: cafes, riders -> all
day.ini:25: changed: [queue quotes] max_body: 16MiB -> 1MiB (lower limit)
day.ini: removed: [team riders] owner = sales; class = normal; share = 1; limit = 10";
    assert_eq!(findings.join("\n"), expected);
    assert!(compare(&desired, &desired).is_empty());
}

/// Checks random variants of [`GOOD`]: none may panic, or report a line that the text lacks.
#[test]
fn any_text_gives_problems_or_findings_at_its_lines() {
    const ROUNDS: usize = 4_000;
    const KEYS: [(&str, &[&str]); 4] = [
        (
            "[pool quotes]",
            &[
                "min_available_percent",
                "slots_per_vm",
                "connections_per_vm",
            ],
        ),
        ("[team cafes]", &["share", "limit"]),
        (
            "[queue quotes]",
            &["open", "max_waiting", "retry_percent", "max_body"],
        ),
        (
            "[queue archive]",
            &["teams", "deadline_ms", "max_deadline_ms", "max_waiting"],
        ),
    ];
    const VALUES: [&str; 9] = [
        "0", "1", "20", "99", "100", "100000", "1024GiB", "all", "yes",
    ];
    const OTHERS: [&str; 5] = ["[team all]", "[queue ..]", "[", "a", "# a"];
    let (_, good) = parse(GOOD);
    let mut rng = Gen::from_size_and_seed(40, 20_261_208);
    let mut pick = |count: usize| usize::arbitrary(&mut rng) % count;
    let mut valid = 0;
    for _ in 0..ROUNDS {
        let mut lines: Vec<String> = GOOD.lines().map(str::to_owned).collect();
        for _ in 0..=pick(3) {
            let (header, keys) = KEYS[pick(KEYS.len())];
            let line = format!(
                "{} = {}",
                keys[pick(keys.len())],
                VALUES[pick(VALUES.len())]
            );
            let at = pick(lines.len());
            let header = lines.iter().position(|line| line == header);
            match (pick(8), header) {
                (0, _) => drop(lines.remove(at)),
                (1, _) => lines[at] = OTHERS[pick(OTHERS.len())].to_owned(),
                (_, Some(header)) => lines.insert(header + 1, line),
                (_, None) => lines.push(line),
            }
        }
        let text = lines.join("\n");
        let exists = |line: usize| (1..=lines.len()).contains(&line);
        let catalogue = match CatalogueFile::parse("any.ini", &text) {
            Ok(catalogue) => catalogue,
            Err(problems) => {
                let exist = problems.iter().all(|problem| exists(problem.line));
                assert!(exist && !problems.is_empty(), "{text}\n{problems:?}");
                continue;
            }
        };
        valid += 1;
        let document = Document::parse("any.ini", &text).expect("INI");
        let differences = compare(&good, &catalogue);
        let differences = differences.iter().flat_map(Difference::findings);
        for found in warnings(&catalogue).into_iter().chain(differences) {
            let line = found.line(&document);
            let is_placed = line.map_or(found.kind == FindingKind::Removed, exists);
            assert!(is_placed, "{text}\n{found}");
        }
    }
    // Otherwise the rules would hardly be reached.
    assert!(valid > ROUNDS / 10, "{valid} valid catalogues");
}
