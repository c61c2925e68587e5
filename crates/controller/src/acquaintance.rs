//! Keeps a controller in contact with the daemons that it knows from its log.

use std::sync::Arc;

use hollowbarrow_schema::DaemonId;

use crate::core::ControllerCore;

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
