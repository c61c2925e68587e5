//! Orders that a stand-in worker takes: its part in replicas.

use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

use super::Worker;
use crate::fleet::Membership;

const JOIN_TIME: Duration = Duration::from_millis(100);

impl Worker {
    /// Carries an order out and tells controllers what has become of the worker.
    pub(super) fn take_order(self: &Arc<Self>, order: &Value) -> u16 {
        let status = self.carry_out(order);
        let worker = Arc::clone(self);
        tokio::spawn(async move { worker.register().await });
        status
    }

    fn carry_out(self: &Arc<Self>, order: &Value) -> u16 {
        let text = |name: &str| order[name].as_str().unwrap_or_default().to_owned();
        let number = |name: &str| order[name].as_u64().unwrap_or_default();
        let (epoch, fence) = (number("epoch"), number("fence"));
        let mut state = self.lock();
        if fence < state.highest.1 || (text("op") == "join" && epoch < state.highest.0) {
            return 412;
        }
        state.highest.1 = fence;
        let own = state.membership.clone().filter(|held| held.epoch == epoch);
        match (text("op").as_str(), own) {
            ("join", Some(_)) => 200,
            ("join", None) => {
                let members = order["members"].as_array().cloned().unwrap_or_default();
                let members = members.iter().filter_map(Value::as_str).map(str::to_owned).collect();
                let name = text("group");
                if let Some(held) = &state.membership {
                    self.fleet.check_left(held, &self.id, &name);
                    self.fleet.note_left(held.epoch, &self.id);
                    self.fleet.set_closed(&self.id);
                }
                self.fleet.note_joined(epoch, &self.id);
                state.highest.0 = epoch;
                state.membership = Some(Membership { name, epoch, members, state: "joining" });
                tokio::spawn(Arc::clone(self).finish_join(epoch, text("model")));
                202
            }
            ("open", Some(held)) if held.state == "ready" => {
                self.fleet.set_open(epoch, &self.id);
                state.membership = Some(Membership { state: "open", ..held });
                202
            }
            ("close", Some(held)) if held.state == "open" => {
                self.fleet.set_closed(&self.id);
                state.membership = Some(Membership { state: "ready", ..held });
                202
            }
            ("leave", Some(_)) => {
                self.fleet.set_closed(&self.id);
                self.fleet.note_left(epoch, &self.id);
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
            if let Some(held) = &mut state.membership
                && held.epoch == epoch
            {
                held.state = "ready";
                self.fleet.note_ready(held, &self.id);
            }
        }
        self.register().await;
    }
}
