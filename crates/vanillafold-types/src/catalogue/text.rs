//! The catalogue file that operators write: parsing, defaults and checks.

use std::fmt;
use std::str::FromStr;

use crate::{
    ByteSize, Class, Connections, Document, MAX_DEADLINE_MS, Millis, ParseValueError, Percent,
    Pool, Problem, Queue, Reader, Share, Slots, Team, TeamId, WILDCARD_TEAMS, nearest_name,
};

const KINDS: [&str; 3] = ["pool", "queue", "team"];
const DEFAULT_DEADLINE_MS: Millis = Millis::new(10_000);
const DEFAULT_MAX_WAITING: WaitingRequests = WaitingRequests(1_000);
const DEFAULT_RETRY_PERCENT: Percent = Percent::new(10);
pub(super) const DEFAULT_MAX_BODY: ByteSize = ByteSize::new(16 << 20);

/// The pools, teams and queues of a catalogue file, checked together.
///
/// Keys are not part of the file, because their secrets must not be stored in one; each key is
/// published by a command of its own.
///
/// # Examples
///
/// ```
/// use vanillafold_types::CatalogueFile;
///
/// let text = "[pool quotes]\nowner = ops\nclass = urgent\n";
/// let catalogue = CatalogueFile::parse("catalogue.ini", text).unwrap();
/// assert_eq!(catalogue.pools[0].slots_per_vm.get(), 8);
/// ```
#[derive(Debug, Clone, Default)]
pub struct CatalogueFile {
    /// The pools, sorted by id.
    pub pools: Vec<Pool>,
    /// The teams, sorted by id.
    pub teams: Vec<Team>,
    /// The queues, sorted by id.
    pub queues: Vec<Queue>,
}

impl CatalogueFile {
    /// Parses and checks `text`; `file` is the file name that problems report.
    ///
    /// # Errors
    ///
    /// Returns every [`Problem`] of the text, in the order of its lines.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Problem>> {
        let document = Document::parse(file, text).map_err(|problem| vec![problem])?;
        Self::from_document(&document)
    }

    /// Reads and checks the entries of `document`.
    ///
    /// # Errors
    ///
    /// Returns every [`Problem`] of the document, in the order of its lines.
    pub fn from_document(document: &Document) -> Result<Self, Vec<Problem>> {
        let mut problems = Vec::new();
        let catalogue = Self::read(document, &mut problems);
        if problems.is_empty() {
            return Ok(catalogue);
        }
        problems.sort();
        Err(problems)
    }

    fn read(document: &Document, problems: &mut Vec<Problem>) -> Self {
        let mut catalogue = Self::default();
        for section in document.sections() {
            let reader = Reader::new(document, section, problems);
            match section.kind.as_str() {
                "pool" => catalogue.pools.extend(read_pool(reader)),
                "team" => catalogue.teams.extend(read_team(reader)),
                "queue" => catalogue.queues.extend(read_queue(reader)),
                other => problems.push(Problem {
                    file: document.file().to_owned(),
                    line: section.line,
                    message: unknown_kind(other),
                }),
            }
        }
        catalogue.check_names(document, problems);
        catalogue.pools.sort_by(|a, b| a.id.cmp(&b.id));
        catalogue.teams.sort_by(|a, b| a.id.cmp(&b.id));
        catalogue.queues.sort_by(|a, b| a.id.cmp(&b.id));
        catalogue
    }

    /// Reports duplicate entries, and pools and teams that a queue names but no entry defines.
    fn check_names(&self, document: &Document, problems: &mut Vec<Problem>) {
        for (index, section) in document.sections().iter().enumerate() {
            let is_duplicate = document.sections()[..index]
                .iter()
                .any(|earlier| earlier.kind == section.kind && earlier.name == section.name);
            let mut reader = Reader::new(document, section, problems);
            if is_duplicate {
                reader.problem_at("", "this entry is given twice: keep one of them");
            }
            if section.kind != "queue" {
                continue;
            }
            let name = section.name.as_deref().unwrap_or_default();
            let Some(queue) = self.queues.iter().find(|queue| queue.id.as_str() == name) else {
                continue;
            };
            if !self.pools.iter().any(|pool| pool.id == queue.pool) {
                let known = self.pools.iter().map(|pool| pool.id.as_str());
                reader.problem_at("pool", unknown_name("pool", queue.pool.as_str(), known));
            }
            for team in &queue.teams {
                if !self.teams.iter().any(|known| known.id == *team) {
                    let known = self.teams.iter().map(|team| team.id.as_str());
                    reader.problem_at("teams", unknown_name("team", team.as_str(), known));
                }
            }
        }
    }
}

fn unknown_kind(kind: &str) -> String {
    match nearest_name(kind, KINDS) {
        Some(nearest) => format!("unknown section [{kind}]: did you mean [{nearest} NAME]?"),
        None => {
            format!("unknown section [{kind}]: expected [pool NAME], [queue NAME] or [team NAME]")
        }
    }
}

fn unknown_name<'a>(kind: &str, name: &str, known: impl Iterator<Item = &'a str>) -> String {
    match nearest_name(name, known) {
        Some(nearest) => format!("no {kind} is called {name}: did you mean {nearest}?"),
        None => format!("no {kind} is called {name}: add [{kind} {name}]"),
    }
}

fn read_pool(mut reader: Reader<'_>) -> Option<Pool> {
    let id = reader.name();
    let owner = reader.required("owner");
    let class = reader.required("class");
    let min_available_percent = reader.ranged(
        "min_available_percent",
        Percent::new(70),
        Percent::ZERO..=Percent::new(100),
    );
    let slots_per_vm = reader.ranged(
        "slots_per_vm",
        Slots::new(8),
        Slots::new(1)..=Slots::new(10_000),
    );
    let connections_per_vm = reader.ranged(
        "connections_per_vm",
        Connections::new(64),
        Connections::new(1)..=Connections::new(100_000),
    );
    if connections_per_vm.get() < slots_per_vm.get() {
        reader.problem_at(
            "connections_per_vm",
            format!("connections_per_vm: expected at least slots_per_vm ({slots_per_vm}), found {connections_per_vm}"),
        );
    }
    reader.finish();
    Some(Pool {
        id: id?,
        owner: owner?,
        class: class?,
        min_available_percent,
        slots_per_vm,
        connections_per_vm,
    })
}

fn read_team(mut reader: Reader<'_>) -> Option<Team> {
    let id: Option<TeamId> = reader.name();
    if id.as_ref().is_some_and(|id| id.as_str() == WILDCARD_TEAMS) {
        let message = format!("a team can't be called {WILDCARD_TEAMS}: choose another name");
        reader.problem_at("", message);
    }
    let owner = reader.required("owner");
    let class = reader.optional_or("class", Class::Normal);
    let share = reader.ranged(
        "share",
        Share::new(1),
        Share::new(1)..=Share::new(1_000_000),
    );
    let limit = reader.required("limit");
    reader.finish();
    Some(Team {
        id: id?,
        owner: owner?,
        class,
        share,
        limit: limit?,
    })
}

fn read_queue(mut reader: Reader<'_>) -> Option<Queue> {
    let id = reader.name();
    let owner = reader.required("owner");
    let class = reader.required("class");
    let pool = reader.required("pool");
    let YesNo(open) = reader.optional_or("open", YesNo(false));
    let teams = match reader.optional::<String>("teams").as_deref() {
        Some(WILDCARD_TEAMS) => Vec::new(),
        // An empty list would allow every team, although its last team was just taken out.
        Some(list) if list.split(',').all(|item| item.trim().is_empty()) => {
            let message = format!("teams: expected names of teams or {WILDCARD_TEAMS}, found none");
            reader.problem_at("teams", message);
            Vec::new()
        }
        _ => reader.list("teams"),
    };
    let deadline_ms = reader.ranged(
        "deadline_ms",
        DEFAULT_DEADLINE_MS,
        Millis::new(1)..=MAX_DEADLINE_MS,
    );
    let max_deadline_ms = reader.ranged(
        "max_deadline_ms",
        deadline_ms.max(DEFAULT_DEADLINE_MS),
        Millis::new(1)..=MAX_DEADLINE_MS,
    );
    if max_deadline_ms < deadline_ms {
        reader.problem_at(
            "max_deadline_ms",
            format!("max_deadline_ms: expected at least deadline_ms ({deadline_ms}), found {max_deadline_ms}"),
        );
    }
    let WaitingRequests(max_waiting) = reader.ranged(
        "max_waiting",
        DEFAULT_MAX_WAITING,
        WaitingRequests(0)..=WaitingRequests(100_000),
    );
    let retry_percent = reader.ranged(
        "retry_percent",
        DEFAULT_RETRY_PERCENT,
        Percent::ZERO..=Percent::new(100),
    );
    let max_body = reader.ranged(
        "max_body",
        DEFAULT_MAX_BODY,
        ByteSize::new(0)..=ByteSize::new(1 << 40),
    );
    reader.finish();
    Some(Queue {
        id: id?,
        owner: owner?,
        class: class?,
        pool: pool?,
        open,
        teams,
        deadline_ms,
        max_deadline_ms,
        max_waiting,
        retry_percent,
        max_body,
    })
}

/// The value of `max_waiting`: a number of requests.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct WaitingRequests(u32);

impl fmt::Display for WaitingRequests {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for WaitingRequests {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self).map_err(|_| ParseValueError {
            expected: "a number of requests".to_owned(),
            found: text.to_owned(),
        })
    }
}

/// A switch, written `yes` or `no`.
struct YesNo(bool);

impl FromStr for YesNo {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "yes" => Ok(Self(true)),
            "no" => Ok(Self(false)),
            _ => Err(ParseValueError {
                expected: "yes or no".to_owned(),
                found: text.to_owned(),
            }),
        }
    }
}
