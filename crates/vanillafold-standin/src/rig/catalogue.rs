//! The catalogue that demonstrations publish, with queues such as quotes and bookings of a repair
//! firm and proofs of an engraving house.

/// The author of [`DEMO_CATALOGUE`] and owner of the keys of its teams.
pub const DEMO_OPERATOR: &str = "ops";

/// The ids of all teams in [`DEMO_CATALOGUE`].
pub const DEMO_TEAMS: [&str; 6] = [
    "cafes",
    "hostels",
    "riders",
    "counters",
    "schools",
    "back-office",
];

/// The catalogue that demonstrations publish, in the INI format that `vanillafoldctl apply` reads.
pub const DEMO_CATALOGUE: &str = "\
[pool quotes]
owner = ops@shop.example
class = urgent
min_available_percent = 70

[pool bookings]
owner = ops@shop.example
class = urgent
min_available_percent = 70

[pool stock]
owner = depot@shop.example
class = normal
min_available_percent = 60

[pool proofs]
owner = studio@shop.example
class = urgent
min_available_percent = 70

[pool archive]
owner = studio@shop.example
class = overnight
min_available_percent = 50

[team cafes]
owner = sales@shop.example
class = urgent
share = 30
limit = 120

[team hostels]
owner = sales@shop.example
class = urgent
share = 20
limit = 80

[team riders]
owner = field@shop.example
class = urgent
share = 20
limit = 80

[team counters]
owner = studio@shop.example
class = urgent
share = 15
limit = 64

[team schools]
owner = studio@shop.example
share = 10
limit = 40

[team back-office]
owner = office@shop.example
class = overnight
share = 5
limit = 24

[queue quotes]
owner = ops@shop.example
class = urgent
pool = quotes
teams = cafes, hostels, counters, schools
deadline_ms = 2000
max_deadline_ms = 5000

[queue bookings]
owner = ops@shop.example
class = urgent
pool = bookings
teams = cafes, hostels, riders
deadline_ms = 2000
max_deadline_ms = 5000

[queue stock]
owner = depot@shop.example
class = normal
pool = stock
teams = riders, back-office
deadline_ms = 3000
max_deadline_ms = 5000

[queue proofs]
owner = studio@shop.example
class = urgent
pool = proofs
teams = counters, schools
deadline_ms = 2000
max_deadline_ms = 5000

[queue archive]
owner = studio@shop.example
class = overnight
pool = archive
deadline_ms = 5000
max_deadline_ms = 5000

[queue opening-hours]
owner = ops@shop.example
class = normal
pool = stock
open = yes
deadline_ms = 2000
max_deadline_ms = 5000
";

/// Returns [`DEMO_CATALOGUE`] as it is, or with lower team limits if `tight`, so that bursts of the
/// load reach them.
#[must_use]
pub fn demo_catalogue(tight: bool) -> String {
    match tight {
        true => tight_catalogue(),
        false => DEMO_CATALOGUE.to_owned(),
    }
}

/// Returns [`DEMO_CATALOGUE`] with team limits so low that bursts reach them. Some limits are lower
/// than the number of daemons, so that not every daemon can have a unit of its own.
fn tight_catalogue() -> String {
    [
        ("limit = 120", "limit = 9"),
        ("limit = 80", "limit = 6"),
        ("limit = 64", "limit = 4"),
        ("limit = 40", "limit = 3"),
        ("limit = 24", "limit = 2"),
    ]
    .iter()
    .fold(DEMO_CATALOGUE.to_owned(), |text, (wide, tight)| {
        text.replace(wide, tight)
    })
}
