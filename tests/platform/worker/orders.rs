//! Execution of the orders that a stand-in worker receives: its membership in replicas.

use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

use super::Worker;
use crate::fleet::Membership;

const JOIN_TIME: Duration = Duration::from_millis(100);

impl Worker {
    /// Executes an order and sends a heartbeat with the new state to a controller.
    pub(super) fn handle_order(self: &Arc<Self>, order: &Value) -> u16 {
        let status = self.apply_order(order);
        let worker = Arc::clone(self);
        tokio::spawn(async move { worker.register().await });
        status
    }

    fn apply_order(self: &Arc<Self>, order: &Value) -> u16 {
        let text = |name: &str| order[name].as_str().unwrap_or_default().to_owned();
        let number = |name: &str| order[name].as_u64().unwrap_or_default();
        let (epoch, fence) = (number("epoch"), number("fence"));
        let mut state = self.lock();
        if fence < state.highest.1 || (text("op") == "join" && epoch < state.highest.0) {
            return 412;
        }
        state.highest.1 = fence;
        let current = state.membership.clone().filter(|membership| membership.epoch == epoch);
        match (text("op").as_str(), current) {
            ("join", Some(_)) => 200,
            ("join", None) => {
                let members = order["members"].as_array().cloned().unwrap_or_default();
                let members = members.iter().filter_map(Value::as_str).map(str::to_owned).collect();
                let name = text("group");
                if let Some(membership) = &state.membership {
                    self.fleet.check_closed(membership, &self.id, &name);
                    self.fleet.record_left(membership.epoch, &self.id);
                    self.fleet.set_closed(&self.id);
                }
                self.fleet.record_joined(epoch, &self.id);
                state.highest.0 = epoch;
                state.membership = Some(Membership { name, epoch, members, state: "joining" });
                tokio::spawn(Arc::clone(self).finish_join(epoch, text("model")));
                202
            }
            ("open", Some(membership)) if membership.state == "ready" => {
                self.fleet.set_open(epoch, &self.id);
                state.membership = Some(Membership { state: "open", ..membership });
                202
            }
            ("close", Some(membership)) if membership.state == "open" => {
                self.fleet.set_closed(&self.id);
                state.membership = Some(Membership { state: "ready", ..membership });
                202
            }
            ("leave", Some(_)) => {
                self.fleet.set_closed(&self.id);
                self.fleet.record_left(epoch, &self.id);
                state.membership = None;
                200
            }
            ("stage", _) => 202,
            _ => 409,
        }
    }

    async fn finish_join(self: Arc<Self>, epoch: u64, model: String) {
        tokio::time::sleep(JOIN_TIME).await;
        {
            let mut state = self.lock();
            state.model = Some(model);
            if let Some(membership) = &mut state.membership
                && membership.epoch == epoch
            {
                membership.state = "ready";
                self.fleet.record_ready(membership, &self.id);
            }
        }
        self.register().await;
    }
}
