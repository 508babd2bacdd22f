//! The operators' tool: exact output and exit status against the platform.

use std::process::{Command, Output, Stdio};
use std::thread;

use crate::site::{CATALOGUE, Gate, Site, program, wait_until, write};

/// What a run of the tool gave.
#[derive(Debug, PartialEq, Eq)]
struct Ran {
    status: Option<i32>,
    printed: String,
    errors: String,
}

fn ran(output: Output) -> Ran {
    Ran {
        status: output.status.code(),
        printed: String::from_utf8(output.stdout).expect("text"),
        errors: String::from_utf8(output.stderr).expect("text"),
    }
}

fn done(printed: &str) -> Ran {
    Ran {
        status: Some(0),
        printed: printed.to_owned(),
        errors: String::new(),
    }
}

fn failed(status: i32, errors: &str) -> Ran {
    Ran {
        status: Some(status),
        printed: String::new(),
        errors: errors.to_owned(),
    }
}

/// A site of which only the platform runs.
fn site() -> Site {
    let mut site = Site::prepare();
    site.start_platform();
    write(site.place.folder(), "day.ini", CATALOGUE);
    site
}

/// Runs a command against the platform.
fn operate(site: &Site, command: &[&str], arguments: &[&str]) -> Ran {
    let platform = site.place.platform().to_string();
    let common = ["--platform", &platform, "--author", "ops"];
    ran(site.operate(&[command, &common, arguments].concat()))
}

fn apply(site: &Site, file: &str) -> Ran {
    operate(site, &["apply"], &[file])
}

fn give(site: &Site, id: &str, team: &str) -> Ran {
    let arguments = ["--id", id, "--owner", "ops", "--team", team];
    operate(site, &["key", "give"], &arguments)
}

fn withdraw(site: &Site, id: &str) -> Ran {
    operate(site, &["key", "withdraw"], &["--id", id])
}

// check.

#[test]
fn check_of_a_good_file() {
    let site = Site::prepare();
    write(site.place.folder(), "day.ini", CATALOGUE);

    let checked = ran(site.operate(&["check", "day.ini"]));

    assert_eq!(checked, done("day.ini: the catalogue is good\n"));
}

#[test]
fn check_of_a_wrong_file() {
    let site = Site::prepare();
    let text =
        "[pool a]\nowner = ops\nclass = soon\n\n[queue b]\nowner = ops\nclass = urgent\npool = c\n";
    write(site.place.folder(), "day.ini", text);

    let checked = ran(site.operate(&["check", "day.ini"]));

    let errors = "\
day.ini:3: class: expected urgent, normal or overnight, found \"soon\"
day.ini:8: no pool is called c: add [pool c]
";
    assert_eq!(checked, failed(2, errors));
}

#[test]
fn check_of_no_file() {
    let site = Site::prepare();

    let checked = ran(site.operate(&["check", "nowhere.ini"]));

    let errors = "can't read nowhere.ini: No such file or directory (os error 2)\n";
    assert_eq!(checked, failed(2, errors));
}

// apply.

#[test]
fn apply_publishes_what_changed_and_nothing_else() {
    let site = site();

    let first = apply(&site, "day.ini");
    let again = apply(&site, "day.ini");
    write(
        site.place.folder(),
        "day.ini",
        &CATALOGUE.replace("limit = 50", "limit = 60"),
    );
    let changed = apply(&site, "day.ini");

    assert_eq!(first, done("applied at offset 1\n"));
    assert_eq!(again, done("nothing to change\n"));
    assert_eq!(changed, done("applied at offset 2\n"));
}

#[test]
fn apply_of_a_wrong_file_publishes_nothing() {
    let site = site();
    write(
        site.place.folder(),
        "wrong.ini",
        "[team a]\nowner = ops\nlimit = x\n",
    );

    let wrong = apply(&site, "wrong.ini");
    let good = apply(&site, "day.ini");

    let errors = "wrong.ini:3: limit: expected a number of running requests from 0 to 10000000, found \"x\"\n";
    assert_eq!(wrong, failed(2, errors));
    assert_eq!(good, done("applied at offset 1\n"));
}

#[test]
fn apply_without_the_platform() {
    let site = Site::prepare();
    write(site.place.folder(), "day.ini", CATALOGUE);

    let applied = apply(&site, "day.ini");

    let platform = site.place.platform();
    let errors = format!(
        "can't read the log: the platform is not available: no connection to {platform}: \
         Connection refused (os error 111)\n"
    );
    assert_eq!(applied, failed(1, &errors));
}

#[test]
fn apply_by_a_name_that_is_none() {
    let site = site();
    let platform = site.place.platform().to_string();

    let arguments = [
        "apply",
        "--platform",
        &platform,
        "--author",
        "a b",
        "day.ini",
    ];
    let applied = ran(site.operate(&arguments));

    let errors = "Error: couldn't parse `a b`: expected letters, digits and -_.@+, found ' '\n";
    assert_eq!(applied, failed(2, errors));
}

#[test]
fn apply_that_takes_a_team_from_its_key() {
    let site = site();
    apply(&site, "day.ini");
    give(&site, "k1", "riders");
    let start = CATALOGUE.find("[team riders]").expect("the team");
    let end = CATALOGUE.find("[queue open]").expect("the queue");
    let without = format!("{}{}", &CATALOGUE[..start], &CATALOGUE[end..]);
    write(site.place.folder(), "day.ini", &without);

    let refused = apply(&site, "day.ini");
    withdraw(&site, "k1");
    let taken = apply(&site, "day.ini");

    let errors = "refused at offset 3: 631 a queue or key still uses the team; take it out of its \
                  queues and withdraw its keys first\n";
    assert_eq!(refused, failed(1, errors));
    assert_eq!(taken, done("applied at offset 5\n"));
}

// key.

#[test]
fn a_key_is_printed_once_with_its_offset() {
    let site = site();
    apply(&site, "day.ini");

    let given = give(&site, "k1", "cafes");

    assert_eq!(given.status, Some(0), "{given:?}");
    let lines: Vec<&str> = given.printed.lines().collect();
    let secret = lines[0].strip_prefix("key=k1.").expect("a key");
    assert_eq!(secret.len(), 48);
    assert!(
        secret.bytes().all(|byte| byte.is_ascii_hexdigit()),
        "{secret}"
    );
    assert_eq!(lines[1..], ["offset=2"]);
}

#[test]
fn a_keys_id_is_given_once() {
    let site = site();
    apply(&site, "day.ini");
    give(&site, "k1", "cafes");

    let again = give(&site, "k1", "cafes");
    let withdrawn = withdraw(&site, "k1");
    let anew = give(&site, "k1", "cafes");

    let errors =
        "refused at offset 3: 640 a key with this id was given before; give a key with a new id\n";
    assert_eq!(again, failed(1, errors));
    assert_eq!(withdrawn, done("withdrawn at offset 4\n"));
    let errors =
        "refused at offset 5: 641 the key id is withdrawn for good; give a key with a new id\n";
    assert_eq!(anew, failed(1, errors));
}

#[test]
fn a_key_for_an_unknown_team() {
    let site = site();
    apply(&site, "day.ini");

    let given = give(&site, "k1", "hostels");

    let errors = "refused at offset 2: 629 a queue or key names a team that is not in the \
                  catalogue; add the team first\n";
    assert_eq!(given, failed(1, errors));
}

#[test]
fn an_argument_that_is_no_id() {
    let site = Site::prepare();

    let given = give(&site, "k.1", "cafes");

    let errors = "Error: couldn't parse `k.1`: expected letters, digits and -_, found '.'\n";
    assert_eq!(given, failed(2, errors));
}

// Faults.

#[test]
fn an_edit_whose_answer_is_lost_is_applied_once() {
    let site = site();
    site.platform_control("faults", "lose_append_answers=1");

    let applied = apply(&site, "day.ini");
    let given = give(&site, "k1", "cafes");
    let withdrawn = withdraw(&site, "k1");
    let again = apply(&site, "day.ini");

    assert_eq!(applied, done("applied at offset 1\n"));
    assert!(given.printed.ends_with("\noffset=2\n"), "{given:?}");
    // Nothing was appended twice: the third edit is the third record.
    assert_eq!(withdrawn, done("withdrawn at offset 3\n"));
    assert_eq!(again, done("nothing to change\n"));
}

#[test]
fn of_two_edits_that_replace_the_same_revision_one_wins_and_the_other_is_told() {
    let site = site();
    apply(&site, "day.ini");
    let (platform, listen) = (site.place.platform(), site.place.address(4, 7_100));
    let gate = Gate::start(listen, platform);
    let edit = |limit: u32| {
        let name = format!("limit-{limit}.ini");
        let text = CATALOGUE.replace("limit = 50", &format!("limit = {limit}"));
        write(site.place.folder(), &name, &text);
        Command::new(program("vanillafoldctl"))
            .args([
                "apply",
                "--author",
                "ops",
                "--platform",
                &gate.address.to_string(),
            ])
            .arg(&name)
            .current_dir(site.place.folder())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the operators' tool")
    };

    let tools = [edit(60), edit(70)];
    // Both have read the catalogue when both want to append.
    wait_until("both edits", || gate.held() >= 2);
    gate.open();
    let runs = thread::scope(|scope| {
        let waiting =
            tools.map(|tool| scope.spawn(|| ran(tool.wait_with_output().expect("an end"))));
        waiting.map(|waiting| waiting.join().expect("a run"))
    });

    let won = runs
        .iter()
        .position(|run| *run == done("applied at offset 2\n"));
    let won = won.unwrap_or_else(|| panic!("nobody won: {runs:?}"));
    let lost = &runs[1 - won];
    assert_eq!(lost.status, Some(1), "{runs:?}");
    let told = "624 an entry has another revision than the edit replaces; read it and edit again\n";
    assert!(lost.errors.ends_with(told), "{runs:?}");
    let file = ["limit-60.ini", "limit-70.ini"][won];
    assert_eq!(apply(&site, file), done("nothing to change\n"));
}

#[test]
fn an_outage_of_the_platform_is_told() {
    let site = site();
    site.platform_control("faults", "outage=true");

    let applied = apply(&site, "day.ini");

    assert_eq!(applied.status, Some(1));
    assert!(
        applied.errors.starts_with("can't read the log: "),
        "{applied:?}"
    );
}
