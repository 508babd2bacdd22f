//! The catalogue file: defaults, and the line and text of each problem.
//!
//! A problem that is missed, or reported at a wrong line, would send operators to the wrong entry.

use vanillafold_types::{
    ByteSize, CatalogueFile, Class, Document, Millis, Percent, Share, nearest_name,
};

const VALID: &str = "\
[pool quotes]
owner = ops
class = urgent

[team cafes]
owner = sales
limit = 10

[queue quotes]
owner = ops
class = urgent
pool = quotes
teams = cafes
";

fn problems(text: &str) -> Vec<String> {
    match CatalogueFile::parse("day.ini", text) {
        Ok(_) => Vec::new(),
        Err(problems) => problems.iter().map(ToString::to_string).collect(),
    }
}

/// Returns [`VALID`] with `line` replaced by `other`.
fn with_replaced(line: &str, other: &str) -> String {
    assert!(VALID.contains(line), "{line}");
    VALID.replacen(line, other, 1)
}

#[test]
fn missing_keys_get_their_defaults() {
    let catalogue = CatalogueFile::parse("day.ini", VALID).expect("a catalogue");

    let (pool, team, queue) = (
        &catalogue.pools[0],
        &catalogue.teams[0],
        &catalogue.queues[0],
    );
    assert_eq!(pool.min_available_percent, Percent::new(70));
    assert_eq!(
        (pool.slots_per_vm.get(), pool.connections_per_vm.get()),
        (8, 64)
    );
    assert_eq!((team.class, team.share), (Class::Normal, Share::new(1)));
    assert!(!queue.open);
    assert_eq!(queue.deadline_ms, Millis::new(10_000));
    assert_eq!(queue.max_deadline_ms, Millis::new(10_000));
    assert_eq!((queue.max_waiting, queue.retry_percent.get()), (1_000, 10));
    assert_eq!(queue.max_body, ByteSize::new(16 << 20));
}

#[test]
fn entries_are_sorted_and_teams_all_allows_every_team() {
    let text = with_replaced("teams = cafes", "teams = all")
        + "[pool archive]\nowner = ops\nclass = overnight\n";
    let catalogue = CatalogueFile::parse("day.ini", &text).expect("a catalogue");

    let pools: Vec<&str> = catalogue
        .pools
        .iter()
        .map(|pool| pool.id.as_str())
        .collect();
    assert_eq!(pools, ["archive", "quotes"]);
    assert!(catalogue.queues[0].teams.is_empty());
}

#[test]
fn each_kind_of_problem_reports_its_line_and_what_was_expected() {
    let cases = [
        (
            "[pool quotes]",
            "[pol quotes]",
            vec![
                "day.ini:1: unknown section [pol]: did you mean [pool NAME]?",
                "day.ini:12: no pool is called quotes: add [pool quotes]",
            ],
        ),
        (
            "[pool quotes]",
            "[machines quotes]\n[pool quotes]",
            vec![
                "day.ini:1: unknown section [machines]: expected [pool NAME], [queue NAME] or [team NAME]",
            ],
        ),
        (
            "[team cafes]",
            "[team]",
            vec![
                "day.ini:5: [team] has no name: expected [team NAME]",
                "day.ini:13: no team is called cafes: add [team cafes]",
            ],
        ),
        (
            "[team cafes]",
            "[team ca/fes]",
            vec![
                "day.ini:5: the name of [team]: expected letters, digits and -_., found '/'",
                "day.ini:13: no team is called cafes: add [team cafes]",
            ],
        ),
        // The log refuses such a team, but only once it is sent.
        (
            "[team cafes]",
            "[team all]",
            vec![
                "day.ini:5: a team can't be called all: choose another name",
                "day.ini:13: no team is called cafes: add [team cafes]",
            ],
        ),
        // An empty list would allow every team.
        (
            "teams = cafes",
            "teams = ,",
            vec!["day.ini:13: teams: expected names of teams or all, found none"],
        ),
        (
            "limit = 10",
            "",
            vec![
                "day.ini:5: [team cafes] lacks limit: expected `limit = ...`",
                "day.ini:13: no team is called cafes: add [team cafes]",
            ],
        ),
        (
            "limit = 10",
            "limit = ten",
            vec![
                "day.ini:7: limit: expected a number of running requests from 0 to 10000000, found \"ten\"",
                "day.ini:13: no team is called cafes: add [team cafes]",
            ],
        ),
        (
            "limit = 10",
            "limit = 10\nshare = 0",
            vec!["day.ini:8: share: expected 1 to 1000000, found 0"],
        ),
        (
            "limit = 10",
            "limit = 10\nlimit = 11",
            vec!["day.ini:8: limit is given twice: keep one of them"],
        ),
        (
            "limit = 10",
            "limit = 10\nshares = 2",
            vec!["day.ini:8: unknown key shares: did you mean share?"],
        ),
        (
            "limit = 10",
            "limit = 10\ncolour = red",
            vec!["day.ini:8: unknown key colour: expected one of owner, class, share, limit"],
        ),
        (
            "class = urgent\npool",
            "class = soon\npool",
            vec!["day.ini:11: class: expected urgent, normal or overnight, found \"soon\""],
        ),
        (
            "pool = quotes",
            "pool = qoutes",
            vec!["day.ini:12: no pool is called qoutes: did you mean quotes?"],
        ),
        (
            "teams = cafes",
            "teams = cafes, hostels",
            vec!["day.ini:13: no team is called hostels: add [team hostels]"],
        ),
        (
            "teams = cafes",
            "open = maybe",
            vec!["day.ini:13: open: expected yes or no, found \"maybe\""],
        ),
        (
            "teams = cafes",
            "max_waiting = many",
            vec!["day.ini:13: max_waiting: expected a number of requests, found \"many\""],
        ),
        (
            "teams = cafes",
            "max_waiting = 100001",
            vec!["day.ini:13: max_waiting: expected 0 to 100000, found 100001"],
        ),
        (
            "teams = cafes",
            "max_body = 2TiB",
            vec![
                "day.ini:13: max_body: expected a size such as 64KiB, 16MiB or 1GiB, found \"2TiB\"",
            ],
        ),
        (
            "teams = cafes",
            "deadline_ms = 0",
            vec!["day.ini:13: deadline_ms: expected 1ms to 3600000ms, found 0ms"],
        ),
        (
            "teams = cafes",
            "deadline_ms = 2000\nmax_deadline_ms = 1000",
            vec![
                "day.ini:14: max_deadline_ms: expected at least deadline_ms (2000ms), found 1000ms",
            ],
        ),
        (
            "class = urgent\n\n",
            "class = urgent\nslots_per_vm = 65\n\n",
            vec!["day.ini:1: connections_per_vm: expected at least slots_per_vm (65), found 64"],
        ),
    ];

    for (line, other, expected) in cases {
        assert_eq!(problems(&with_replaced(line, other)), expected, "{other}");
    }
}

#[test]
fn a_duplicate_entry_is_reported_at_its_second_line() {
    let text = format!("{VALID}\n[team cafes]\nowner = sales\nlimit = 11\n");

    assert_eq!(
        problems(&text),
        ["day.ini:15: this entry is given twice: keep one of them"]
    );
}

#[test]
fn all_problems_are_reported_in_the_order_of_the_lines() {
    let text = "\
; a comment
[queue quotes]
owner = ops
class = urgnt
pool = quotes

# another
[pool quotes]
owner =
class = urgent
slots_per_vm = 0
";

    assert_eq!(
        problems(text),
        [
            "day.ini:4: class: expected urgent, normal or overnight, found \"urgnt\"",
            "day.ini:9: owner: expected 1 to 64 characters, found none",
            "day.ini:11: slots_per_vm: expected 1 to 10000, found 0",
        ]
    );
}

/// The INI parser reads an open quote, a backslash or a key without a value on into the next line.
/// The line numbers of the keys after it would then be wrong, so such a text is refused.
#[test]
fn values_that_continue_on_the_next_line_are_refused() {
    for (text, expected) in [
        (
            "[pool quotes\n",
            "day.ini:1: expected `[section]`, found `[pool quotes`",
        ),
        (
            "[pool quotes] x\n",
            "day.ini:1: expected `[section]`, found `[pool quotes] x`",
        ),
        (
            "[pool quotes] ; urgent\n",
            "day.ini:1: expected `[section]`, found `[pool quotes] ; urgent`",
        ),
        (
            "[pool quotes]\nowner = ops\\\nclass = urgent\n",
            "day.ini:2: expected no backslash, found `owner = ops\\`",
        ),
        (
            "\nowner\n= ops\n",
            "day.ini:2: expected `[section]` or `key = value`, found `owner`",
        ),
        (
            "owner = 'ops\n'\n",
            "day.ini:1: owner: expected the end of the quote on the same line",
        ),
    ] {
        assert_eq!(problems(text), [expected]);
    }
}

#[test]
fn quotes_comments_and_colons_are_parsed() {
    let text = "# all\n[pool quotes]\nowner: 'ops'\nclass = \"urgent\"\n";
    let catalogue = CatalogueFile::parse("day.ini", text).expect("a catalogue");

    assert_eq!(catalogue.pools[0].owner.as_str(), "ops");
}

/// Parses random sequences of INI tokens: none may panic or report a line that the text lacks.
#[test]
fn any_text_is_a_document_or_a_problem_at_one_of_its_lines() {
    const TOKENS: [&str; 14] = [
        "[", "]", "=", ":", "\n", "\r\n", "'", "\"", ";", "#", " ", "pool a", "owner", "\\",
    ];
    let mut rng = quickcheck::Gen::from_size_and_seed(40, 20_261_204);
    for _ in 0..20_000 {
        let choices: Vec<usize> = quickcheck::Arbitrary::arbitrary(&mut rng);
        let text: String = choices.iter().map(|at| TOKENS[at % TOKENS.len()]).collect();
        let lines = text.lines().count().max(1);
        if let Err(problem) = Document::parse("any.ini", &text) {
            assert!((1..=lines).contains(&problem.line), "{text:?}: {problem}");
        }
        if let Err(problems) = CatalogueFile::parse("any.ini", &text) {
            let lines_exist = problems
                .iter()
                .all(|problem| (1..=lines).contains(&problem.line));
            assert!(lines_exist, "{text:?}: {problems:?}");
        }
    }
}

#[test]
fn a_name_is_suggested_only_within_a_small_edit_distance() {
    assert_eq!(
        nearest_name("deadlin_ms", ["deadline_ms", "max_body"]),
        Some("deadline_ms")
    );
    assert_eq!(nearest_name("x", ["pool", "a"]), None);
    assert_eq!(nearest_name("", ["pool"]), None);
}
