//! Execution of the orders that engines receive.

use std::time::Duration;

use http::StatusCode;
use serde_json::{Value, json};

use super::groups::{Group, SiteGroups};
use super::http::{SiteRequest, SiteResponse, text_response};

/// Duration of a join, whether or not the model was staged on the host before.
const JOIN_DURATION: Duration = Duration::from_millis(60);

/// Time from the order to open until the head serves requests.
const OPEN_DURATION: Duration = Duration::from_millis(60);

impl SiteGroups {
    pub(super) fn order(&self, id: &str, request: &SiteRequest) -> SiteResponse {
        let Ok(order) = serde_json::from_slice::<Value>(&request.body) else {
            return text_response(StatusCode::BAD_REQUEST, "");
        };
        let accepted = self.with(id, |engine| engine.orders).unwrap_or(0);
        if order["precondition"]
            .as_u64()
            .is_some_and(|expected| expected != accepted)
        {
            return text_response(StatusCode::CONFLICT, "");
        }
        let status = match order["operation"].as_str() {
            Some("join") => self.join(id, &order),
            Some("open") => self.open(id, &order),
            Some("close") => self.close(id, &order),
            Some("leave") => self.leave(id, &order),
            Some("stage") => self.stage(id, &order),
            _ => StatusCode::BAD_REQUEST,
        };
        self.refresh_entry(id);
        text_response(status, "")
    }

    fn is_serving_group(&self, group: &Group) -> bool {
        let head = &group.members[0];
        let state = self.with(head, |head| {
            let own_group = head.group.as_ref().filter(|own| own.name == group.name);
            own_group.is_some_and(|own| matches!(own.state, "open" | "closing"))
                && !head.unresponsive
        });
        state.unwrap_or(false)
    }

    fn join(&self, id: &str, order: &Value) -> StatusCode {
        let text = |name: &str| order[name].as_str().unwrap_or_default().to_owned();
        let members: Vec<String> = order["members"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|member| member.as_str().map(str::to_owned))
            .collect();
        let Some(rank) = members.iter().position(|member| member == id) else {
            return StatusCode::BAD_REQUEST;
        };
        let epoch = order["epoch"].as_u64().unwrap_or(0);
        let is_outdated = self.with(id, |engine| epoch < engine.highest_epoch);
        if is_outdated == Some(true) {
            return StatusCode::PRECONDITION_FAILED;
        }
        let old = self.with(id, |engine| engine.group.clone()).flatten();
        if let Some(old) = old.filter(|old| self.is_serving_group(old)) {
            self.record_violation(format!(
                "{id} joined {} while {} was open",
                text("group"),
                old.name
            ));
        }
        self.with(id, |engine| {
            engine.orders += 1;
            engine.highest_epoch = epoch;
            engine.loaded = Some(text("model"));
            engine.staged = Some(text("model"));
            engine.group = Some(Group {
                name: text("group"),
                epoch,
                rank,
                members,
                state: "joining",
            });
        });
        self.set_state_after(id, JOIN_DURATION, "joining", "ready");
        StatusCode::ACCEPTED
    }

    fn stage(&self, id: &str, order: &Value) -> StatusCode {
        self.with(id, |engine| {
            engine.orders += 1;
            engine.staged = order["model"].as_str().map(str::to_owned);
        });
        StatusCode::ACCEPTED
    }

    fn open(&self, id: &str, order: &Value) -> StatusCode {
        let accepted = self.with(id, |engine| {
            let accepted = engine.group.as_ref().is_some_and(|group| {
                order["group"] == json!(group.name) && group.state == "ready" && group.rank == 0
            });
            engine.orders += u64::from(accepted);
            accepted
        });
        if accepted != Some(true) {
            return StatusCode::CONFLICT;
        }
        self.set_state_after(id, OPEN_DURATION, "ready", "open");
        StatusCode::ACCEPTED
    }

    fn close(&self, id: &str, order: &Value) -> StatusCode {
        let closed = self.with(id, |engine| {
            let group = engine.group.as_mut()?;
            if order["group"] != json!(group.name) {
                return None;
            }
            if order["close_mode"] == "cancel" {
                engine.cancelled = Some(group.name.clone());
            }
            let wait = engine.running > 0 && order["close_mode"] == "wait";
            group.state = if wait { "closing" } else { "ready" };
            engine.orders += 1;
            Some(())
        });
        match closed.flatten() {
            Some(()) => StatusCode::ACCEPTED,
            None => StatusCode::CONFLICT,
        }
    }

    /// Records the end of a stream; a closing head becomes ready after its last one.
    pub(super) fn end_stream(&self, id: &str) {
        let closed = self.with(id, |engine| {
            engine.running -= 1;
            let idle = engine.running == 0;
            let group = engine.group.as_mut().filter(|_| idle);
            let closing = group.filter(|group| group.state == "closing");
            closing.map(|group| group.state = "ready").is_some()
        });
        if closed == Some(true) {
            self.refresh_entry(id);
        }
    }

    fn leave(&self, id: &str, order: &Value) -> StatusCode {
        self.with(id, |engine| {
            let member = engine.group.as_ref();
            if member.is_some_and(|group| order["group"] == json!(group.name)) {
                engine.group = None;
                engine.orders += 1;
            }
        });
        StatusCode::OK
    }

    fn set_state_after(&self, id: &str, delay: Duration, from: &'static str, to: &'static str) {
        let (groups, id) = (self.clone(), id.to_owned());
        let name = self.group_name(&id);
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            groups.with(&id, |engine| {
                if let Some(group) = &mut engine.group
                    && Some(&group.name) == name.as_ref()
                    && group.state == from
                {
                    group.state = to;
                }
            });
            groups.refresh_entry(&id);
        });
    }
}
