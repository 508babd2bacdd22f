//! Who owns the shard, as a daemon that does not knows it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use monoio::time::{sleep, timeout};
use vanillafold_wire::Caller;

use super::config::OperatorRecord;
use super::hub::Fleet;
use super::message::{FleetAnswer, FleetRequest};
use super::platform::{FleetPlatform, KeyedRow, MetadataStore};
use super::settings::{
    CALL_CONNECT_TIMEOUT, CALL_TIMEOUT, OWNERS_GROUP, PING_INTERVAL, READ_RETRY, SHARD_PARTITION,
};
use super::time::now;

/// The owner that is known.
#[derive(Debug, Default)]
pub(crate) struct Directory {
    owner: RefCell<Option<Rc<Caller>>>,
    member: RefCell<String>,
    /// The owner that is known does not answer, or is none.
    pub(crate) doubtful: Cell<bool>,
}

impl Directory {
    /// How to call the owner; `None` if none is known.
    pub(crate) fn owner(&self) -> Option<Rc<Caller>> {
        self.owner.borrow().clone()
    }

    fn set(&self, member: &str) {
        if *self.member.borrow() == member {
            return;
        }
        member.clone_into(&mut self.member.borrow_mut());
        let address = member.split('/').next().and_then(|text| text.parse().ok());
        log::info!(owner = member; "the shard has this owner");
        *self.owner.borrow_mut() =
            address.map(|address| Rc::new(Caller::new(address, CALL_CONNECT_TIMEOUT)));
    }
}

/// Keeps track of the owner, and of its configuration where the store can't be reached.
pub(crate) async fn keep<P: FleetPlatform>(fleet: Rc<Fleet<P>>) {
    let mut store = fleet.platform.store();
    let mut read_owners = true;
    loop {
        if read_owners || fleet.directory.doubtful.replace(false) {
            match store.owners(OWNERS_GROUP).await {
                Ok(rows) => {
                    let row = rows.iter().find(|row| row.partition == SHARD_PARTITION);
                    if let Some(row) = row {
                        fleet.directory.set(&row.member);
                    }
                }
                Err(error) => log::debug!(error = error.to_string(); "owners not read"),
            }
        }
        let known = ping(&fleet).await;
        let wait = match known {
            true => PING_INTERVAL,
            false => READ_RETRY,
        };
        let changed = timeout(wait, fleet.group_changed.take()).await.is_ok();
        read_owners = changed || !known;
        if changed && !known {
            sleep(READ_RETRY / 4).await;
        }
    }
}

/// Asks the owner whether it is there; true if it is, or if it is this daemon.
async fn ping<P: FleetPlatform>(fleet: &Rc<Fleet<P>>) -> bool {
    if fleet.open_office().is_some() {
        return true;
    }
    let Some(owner) = fleet.directory.owner() else {
        return false;
    };
    let request = FleetRequest::Ping {
        zone: fleet.settings.zone.clone(),
        epoch: fleet.latest_epoch.get(),
    };
    match fleet.call(&owner, &request, CALL_TIMEOUT).await {
        Ok(FleetAnswer::Pong {
            epoch,
            config_version,
        }) => {
            let latest = fleet.latest_epoch.get();
            fleet.latest_epoch.set(latest.max(epoch));
            if epoch >= latest {
                fleet.owner_heard_at.set(Some(now()));
            }
            let known = fleet.config().map_or(0, |config| config.version);
            if config_version > known {
                fetch_config(fleet, &owner, known).await;
            }
            epoch >= latest
        }
        Ok(_) => false,
        Err(error) => {
            log::debug!(error = error.to_string(); "the owner does not answer");
            false
        }
    }
}

async fn fetch_config<P: FleetPlatform>(fleet: &Rc<Fleet<P>>, owner: &Caller, known: u64) {
    let request = FleetRequest::Config(known);
    let raw = match fleet.call(owner, &request, CALL_TIMEOUT).await {
        Ok(FleetAnswer::Config(raw)) if !raw.is_empty() => raw,
        Ok(_) => return,
        Err(error) => {
            log::debug!(error = error.to_string(); "configuration not fetched");
            return;
        }
    };
    let row = KeyedRow {
        key: super::follow::CONFIG_KEY.to_owned(),
        value: raw,
    };
    match fleet.platform.operator_record(&row) {
        Ok(Some(OperatorRecord::Config(config))) => {
            fleet.adopt_config(*config, row.value, "owner");
        }
        Ok(_) => {}
        Err(error) => log::warn!(error = error; "configuration from the owner can't be read"),
    }
}
