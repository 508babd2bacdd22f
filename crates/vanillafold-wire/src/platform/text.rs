//! Parsing and display of an entry of the VM list: a line `id zone rack pool address state`.

use std::fmt;
use std::str::FromStr;

use super::VmEntry;

impl fmt::Display for VmEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {} {} {} {} {}",
            self.vm, self.zone, self.rack, self.home_pool, self.address, self.state
        )
    }
}

/// The error of parsing a line that is no [`VmEntry`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected `id zone rack pool address state`, found {found:?}: {problem}")]
pub struct ParseVmEntryError {
    /// The line that was found.
    pub found: String,
    /// Why a field is invalid, or the number of fields if it is not six.
    pub problem: String,
}

impl FromStr for VmEntry {
    type Err = ParseVmEntryError;

    fn from_str(line: &str) -> Result<Self, Self::Err> {
        let fields: Vec<&str> = line.split_ascii_whitespace().collect();
        let [vm, zone, rack, home_pool, address, state] = fields[..] else {
            return Err(ParseVmEntryError {
                found: line.to_owned(),
                problem: format!("{} fields", fields.len()),
            });
        };
        Ok(Self {
            vm: parse_field(line, vm)?,
            zone: parse_field(line, zone)?,
            rack: parse_field(line, rack)?,
            home_pool: parse_field(line, home_pool)?,
            address: parse_field(line, address)?,
            state: parse_field(line, state)?,
        })
    }
}

fn parse_field<T>(line: &str, text: &str) -> Result<T, ParseVmEntryError>
where
    T: FromStr,
    T::Err: fmt::Display,
{
    text.parse().map_err(|error: T::Err| ParseVmEntryError {
        found: line.to_owned(),
        problem: error.to_string(),
    })
}
