//! Keeps a controller in contact with the daemons that it knows from its log and its data folder.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use hollowbarrow_schema::{ContactRecord, DaemonId, FleetMessage};
use tokio::time::Instant;

use crate::contact_file::{StoreContactsError, read_contacts, write_contacts};
use crate::core::ControllerCore;

/// Interval at which silent gateways are sent the controllers.
const CALL_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest interval between two writes of the contacts.
const STORE_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the contacts of the former process; none are known if there are none or they are damaged.
pub(crate) fn load_contacts(data: &std::path::Path) -> ContactRecord {
    match read_contacts(data) {
        Ok(record) => record.unwrap_or_default(),
        Err(error) => {
            log::warn!("event=contacts_unreadable reason={:?}", error.to_string());
            ContactRecord::default()
        }
    }
}

/// Says hello to the voters that the log names and to the leader, until the process ends. The log
/// alone is no contact: it carries neither views nor the state of workers.
pub(crate) async fn learn_voters(core: Arc<ControllerCore>) {
    let mut views = core.log.watch();
    loop {
        let known: Vec<DaemonId> = {
            let view = views.borrow_and_update();
            view.voters.iter().chain(&view.leader).cloned().collect()
        };
        known.iter().for_each(|id| core.learn_controller(id));
        if views.changed().await.is_err() {
            return;
        }
    }
}

/// Tells silent gateways which controllers there are, until the process ends: they may have restarted
/// with seeds that are gone.
pub(crate) async fn call_silent_gateways(core: Arc<ControllerCore>) {
    // The gateways of the former process have restarted too if all power was lost.
    let mut called = core.contacts().to_record().gateways;
    loop {
        if !called.is_empty() {
            let mut controllers = core.links().controllers();
            controllers.push(core.links().id().clone());
            core.links().send_to_all(&called, FleetMessage::Controllers(controllers));
        }
        tokio::time::sleep(CALL_INTERVAL).await;
        let now = Instant::now();
        let mut contacts = core.contacts();
        let expired = contacts.expire(now);
        called = contacts.silent_gateways(now);
        drop(contacts);
        expired.iter().for_each(|id| core.links().mesh().forget(id));
    }
}

/// Stores the contacts whenever they change, until the process ends.
pub(crate) async fn store_contacts(core: Arc<ControllerCore>, data: PathBuf) {
    let mut stored = core.contacts().to_record();
    let mut failing = false;
    loop {
        tokio::time::sleep(STORE_INTERVAL).await;
        let record = core.contacts().to_record();
        if record == stored {
            continue;
        }
        let outcome = write_in_background(&data, &record).await;
        match &outcome {
            Ok(()) => stored = record,
            Err(error) if !failing => {
                log::warn!("event=contacts_not_stored reason={:?}", error.to_string());
            }
            Err(_) => {}
        }
        failing = outcome.is_err();
    }
}

/// Writes on another thread, since a disk may take seconds.
async fn write_in_background(
    data: &std::path::Path,
    record: &ContactRecord,
) -> Result<(), StoreContactsError> {
    let (data, record) = (data.to_owned(), record.clone());
    let writing = tokio::task::spawn_blocking(move || write_contacts(&data, &record));
    writing.await.expect("writing does not panic")
}
