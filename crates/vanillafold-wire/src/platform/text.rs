//! A VM as a line of the platform's list: `id zone rack pool address state`.

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

/// The text is no [`VmEntry`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("expected `id zone rack pool address state`, found {found:?}: {problem}")]
pub struct ParseVmEntryError {
    /// What was there.
    pub found: String,
    /// What is wrong with it.
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
            vm: field(line, vm)?,
            zone: field(line, zone)?,
            rack: field(line, rack)?,
            home_pool: field(line, home_pool)?,
            address: field(line, address)?,
            state: field(line, state)?,
        })
    }
}

fn field<T>(line: &str, text: &str) -> Result<T, ParseVmEntryError>
where
    T: FromStr,
    T::Err: fmt::Display,
{
    text.parse().map_err(|error: T::Err| ParseVmEntryError {
        found: line.to_owned(),
        problem: error.to_string(),
    })
}
