//! The commands `zone evacuate`, `zone restore` and `zone list`: requests that an availability zone
//! gets no new work.

use bpaf::{Parser, construct, long};
use vanillafold::state::{CatalogueChange, State};
use vanillafold::types::ZoneId;

use crate::publish::{PublishError, Publisher};
use crate::{CommonOptions, common, open_publisher};

/// A parsed command line of `zone`.
#[derive(Debug, Clone)]
pub(crate) enum ZoneCommand {
    Evacuate { common: CommonOptions, zone: ZoneId },
    Restore { common: CommonOptions, zone: ZoneId },
    List { common: CommonOptions },
}

/// Why an evacuation was not requested, withdrawn or listed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(crate) enum ZoneError {
    /// There is no request to withdraw.
    #[error("zone {zone} is not evacuated, nothing was withdrawn; evacuated zones: {evacuated}")]
    NotEvacuated {
        /// The zone of the command.
        zone: ZoneId,
        /// The names of the evacuated zones.
        evacuated: String,
    },
    /// The change was not published or not accepted.
    #[error(transparent)]
    Publish(#[from] PublishError),
}

/// Returns the parser of the commands.
pub(crate) fn zone_commands() -> impl Parser<ZoneCommand> {
    let zone = || {
        long("zone")
            .help("Name of the availability zone")
            .argument::<ZoneId>("ZONE")
    };
    let evacuate = {
        let zone = zone();
        construct!(ZoneCommand::Evacuate { common(), zone })
            .to_options()
            .descr("Send no new requests to the zone; those that run there finish")
            .command("evacuate")
    };
    let restore = {
        let zone = zone();
        construct!(ZoneCommand::Restore { common(), zone })
            .to_options()
            .descr("Withdraw the evacuation of the zone")
            .command("restore")
    };
    let list = construct!(ZoneCommand::List { common() })
        .to_options()
        .descr("List the evacuated zones")
        .command("list");
    construct!([evacuate, restore, list])
}

impl ZoneCommand {
    /// Runs the command and returns the text to print.
    ///
    /// # Errors
    ///
    /// Returns a [`ZoneError`] if the log could not be read, or the change was not published or
    /// accepted.
    pub(crate) async fn run(self) -> Result<String, ZoneError> {
        match self {
            Self::Evacuate { common, zone } => {
                let mut publisher = open_publisher(&common).await?;
                evacuate(&mut publisher, zone).await
            }
            Self::Restore { common, zone } => {
                let mut publisher = open_publisher(&common).await?;
                restore(&mut publisher, zone).await
            }
            Self::List { common } => {
                let publisher = open_publisher(&common).await?;
                Ok(list(publisher.state()))
            }
        }
    }
}

/// Requests the evacuation of a zone, also if it is requested already: the later request is not
/// undone by a withdrawal that was decided before it.
async fn evacuate(publisher: &mut Publisher, zone: ZoneId) -> Result<String, ZoneError> {
    let earlier = publisher.state().evacuation(&zone);
    let change = CatalogueChange::EvacuateZone(zone.clone());
    let offset = publisher.publish(change).await?;
    let mut text = format!("evacuation of zone {zone} requested at offset {offset}");
    if let Some(earlier) = earlier {
        text.push_str(&format!(", again after offset {earlier}"));
    }
    // The request is in force whether or not the list can be read.
    if let Ok(0) = publisher.count_vms(&zone).await {
        text.push_str(&format!(
            "\nthe platform lists no VM in zone {zone}; check its name"
        ));
    }
    Ok(text)
}

async fn restore(publisher: &mut Publisher, zone: ZoneId) -> Result<String, ZoneError> {
    let Some(expected_revision) = publisher.state().evacuation(&zone) else {
        let zones = publisher.state().evacuated_zones();
        let names: Vec<String> = zones.map(|zone| zone.value.to_string()).collect();
        let evacuated = match names.as_slice() {
            [] => "none".to_owned(),
            names => names.join(", "),
        };
        return Err(ZoneError::NotEvacuated { zone, evacuated });
    };
    let change = CatalogueChange::RestoreZone {
        zone: zone.clone(),
        expected_revision,
    };
    let offset = publisher.publish(change).await?;
    Ok(format!(
        "evacuation of zone {zone} withdrawn at offset {offset}"
    ))
}

fn list(state: &State) -> String {
    let zones = state.evacuated_zones();
    let lines: Vec<String> = zones
        .map(|zone| format!("zone={} offset={}", zone.value, zone.revision))
        .collect();
    match lines.as_slice() {
        [] => "no zone is evacuated".to_owned(),
        lines => lines.join("\n"),
    }
}
