//! Compares keys, defaults and ranges in `docs/SETTINGS.md` with the code. The page goes out of
//! date when a setting is added or changed in the code only.

use std::fs;
use std::path::Path;
use std::sync::Once;

use vanillafold::Settings;
use vanillafold::types::CatalogueFile;

const PAGE: &str = include_str!("../../../docs/SETTINGS.md");
const REQUIRED: &str = "required";
/// How the page gives the default of a key that defaults to the daemon's name.
const AS_NAME: &str = "as `name`";
const NAME: &str = "entry-1";

/// Valid settings. In the text from a section's header on, the first line with a required key
/// belongs to that section.
const DAEMON: &str = "\
[platform]
address = 127.0.0.1:7100
[limits]
[peer entry-2]
zone = zone-b
address = 127.0.0.2:7002
[daemon]
name = entry-1
zone = zone-a
cluster = tests
callers = 127.0.0.1:7001
peers = 127.0.0.1:7002
admin = 127.0.0.1:7003
peer_token_file = token
operator_credential_file = token
";

const CATALOGUE: &str = "\
[pool quotes]
owner = ops
class = urgent
[team cafes]
owner = ops
limit = 10
[queue quotes]
owner = ops
class = urgent
pool = quotes
";

/// A row of one of the page's tables.
struct Row {
    key: &'static str,
    default: &'static str,
    range: &'static str,
}

impl Row {
    /// Returns the ends of the range; `None` if it is not a range of numbers.
    fn ends(&self) -> Option<(Number, Number)> {
        let (least, most) = self.range.split_once(" to ")?;
        Some((Number::parse(least)?, Number::parse(most)?))
    }
}

/// A number with its unit.
struct Number {
    value: u64,
    unit: &'static str,
}

impl Number {
    fn parse(text: &'static str) -> Option<Self> {
        let digits = text.bytes().take_while(u8::is_ascii_digit).count();
        let (value, unit) = text.split_at(digits);
        let known = ["", "ms", "%", "B", "GiB"].contains(&unit);
        value
            .parse()
            .ok()
            .filter(|_| known)
            .map(|value| Self { value, unit })
    }

    fn text(&self) -> String {
        format!("{}{}", self.value, self.unit)
    }

    fn below(&self) -> Option<String> {
        let value = self.value.checked_sub(1)?;
        Some(format!("{value}{}", self.unit))
    }

    fn above(&self) -> String {
        format!("{}{}", self.value + 1, self.unit)
    }
}

/// Returns the rows of the page's table under a heading.
fn rows(heading: &str) -> Vec<Row> {
    let lines = PAGE.lines().skip_while(|line| *line != heading);
    let table = lines.skip_while(|line| !line.starts_with('|')).skip(2);
    table
        .take_while(|line| line.starts_with('|'))
        .map(|line| {
            let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
            let [key, _unit, default, range, meaning] = cells[..] else {
                panic!("expected five cells: {line}");
            };
            assert!(!meaning.is_empty());
            Row {
                key: key.trim_matches('`'),
                default,
                range,
            }
        })
        .collect()
}

/// The `Debug` form of what was parsed from a text, or the messages of its problems.
type Read = Result<String, Vec<String>>;

fn read_settings(text: &str) -> Read {
    static TOKEN: Once = Once::new();
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    TOKEN.call_once(|| {
        fs::write(folder.join("token"), "a secret of the settings' tests").expect("a file");
    });
    match Settings::parse("f", text, folder) {
        Ok(settings) => Ok(format!("{settings:?}")),
        Err(problems) => Err(problems
            .into_iter()
            .map(|problem| problem.message)
            .collect()),
    }
}

fn read_catalogue(text: &str) -> Read {
    match CatalogueFile::parse("f", text) {
        Ok(catalogue) => Ok(format!("{catalogue:?}")),
        Err(problems) => Err(problems
            .into_iter()
            .map(|problem| problem.message)
            .collect()),
    }
}

/// Compares the rows under `heading` with how `read` parses variants of `good`, a valid text in
/// which the section begins with the line `header`.
fn assert_section(heading: &str, header: &str, good: &str, read: fn(&str) -> Read) {
    let with = |line: &str| good.replacen(header, &format!("{header}\n{line}"), 1);
    let rows = rows(heading);
    let plain = read(good);
    assert!(plain.is_ok(), "{plain:?}");

    // The message about an unknown key lists the known keys.
    let known: Vec<&str> = rows.iter().map(|row| row.key).collect();
    let unknown = format!("unknown key zzzzzzzz: expected one of {}", known.join(", "));
    assert_eq!(read(&with("zzzzzzzz = 1")), Err(vec![unknown]));

    for row in &rows {
        let key = row.key;
        match row.default {
            REQUIRED => {
                let line = |line: &str| line.starts_with(&format!("{key} = "));
                let start = good.find(header).expect("the section");
                let (before, section) = good.split_at(start);
                let mut lines: Vec<&str> = section.lines().collect();
                let at = lines.iter().position(|text| line(text)).expect("the key");
                lines.remove(at);
                let problems = read(&format!("{before}{}\n", lines.join("\n")));
                let lacks = format!("lacks {key}: expected `{key} = ...`");
                let problems = problems.expect_err("a required key");
                assert!(
                    problems.iter().any(|problem| problem.ends_with(&lacks)),
                    "{problems:?}"
                );
            }
            AS_NAME => assert_eq!(read(&with(&format!("{key} = {NAME}"))), plain, "{key}"),
            default => assert_eq!(read(&with(&format!("{key} = {default}"))), plain, "{key}"),
        }
        if row.default != REQUIRED {
            assert_range(row, &|value| read(&with(&format!("{key} = {value}"))));
        }
    }
}

fn assert_range(row: &Row, read: &dyn Fn(&str) -> Read) {
    let Some((least, most)) = row.ends() else {
        return;
    };
    let key = row.key;
    let bound = format!(
        "{key}: expected {} to {}, found ",
        least.text(),
        most.text()
    );
    let out_of_range = |read: Read| {
        let problems = read.expect_err(key);
        let parsed = problems.iter().any(|problem| problem.starts_with(&bound));
        // Some numbers outside the range have no valid notation.
        assert!(
            parsed || problems[0].contains("expected a "),
            "{key}: {problems:?}"
        );
    };
    for inside in [least.text(), most.text()] {
        let read = read(&inside);
        // The bound of another key may depend on this one.
        let other = "expected at least";
        let taken = match &read {
            Ok(_) => true,
            Err(problems) => problems.iter().all(|problem| problem.contains(other)),
        };
        assert!(taken, "{key} = {inside}: {read:?}");
    }
    if let Some(below) = least.below() {
        out_of_range(read(&below));
    }
    out_of_range(read(&most.above()));
}

#[test]
fn the_daemons_section() {
    assert_section("## Settings: `[daemon]`", "[daemon]", DAEMON, read_settings);
}

#[test]
fn the_limits_section() {
    assert_section("## Settings: `[limits]`", "[limits]", DAEMON, read_settings);
}

#[test]
fn the_platforms_section() {
    assert_section(
        "## Settings: `[platform]`",
        "[platform]",
        DAEMON,
        read_settings,
    );
}

#[test]
fn a_peers_section() {
    assert_section(
        "## Settings: `[peer NAME]`",
        "[peer entry-2]",
        DAEMON,
        read_settings,
    );
}

#[test]
fn a_pools_section() {
    assert_section(
        "## Catalogue: `[pool NAME]`",
        "[pool quotes]",
        CATALOGUE,
        read_catalogue,
    );
}

#[test]
fn a_teams_section() {
    assert_section(
        "## Catalogue: `[team NAME]`",
        "[team cafes]",
        CATALOGUE,
        read_catalogue,
    );
}

#[test]
fn a_queues_section() {
    assert_section(
        "## Catalogue: `[queue NAME]`",
        "[queue quotes]",
        CATALOGUE,
        read_catalogue,
    );
}
