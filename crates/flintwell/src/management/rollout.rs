//! Changes of settings through the management API: handles the messages of a rollout, records each step on disk and
//! reverts settings that are not confirmed in time.

use crate::fleet::registry::Registry;
use crate::log_line;
use crate::management::metrics::Metrics;
use crate::process::clock::Clock;
use flintwell_rollout::member::{Member, Refusal};
use flintwell_rollout::wire::{EpochRequest, StageRequest, Status};
use flintwell_settings::check_change;
use flintwell_state::RecordStore;
use hyper::StatusCode;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;

const IDLE_SLEEP: Duration = Duration::from_secs(3_600); // sleep with nothing due; the next change interrupts it

/// This proxy's part in a rollout of settings.
pub struct Rollout {
    pub name: String,
    pub clock: Clock,
    pub started_ms: u64,
    pub member: RefCell<Member>,
    pub record_store: RecordStore,
    pub metrics: Rc<Metrics>,
    /// Wakes `run` when the next deadline may have changed.
    pub changed: Notify,
    /// Applies settings to all components at once.
    pub apply: Box<dyn Fn(&Value)>,
    pub registry: Rc<Registry>,
}

/// JSON body of a successful call, or status and reason of a failed one.
pub type Reply = Result<String, (StatusCode, String)>;

fn conflict(refusal: Refusal) -> (StatusCode, String) {
    (StatusCode::CONFLICT, refusal.to_string())
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, (StatusCode, String)> {
    serde_json::from_slice(body).map_err(|error| (StatusCode::BAD_REQUEST, error.to_string()))
}

impl Rollout {
    fn now(&self) -> u64 {
        (self.clock.now() / 1_000).max(0) as u64
    }

    /// Rollout state of this proxy.
    pub fn status(&self) -> Status {
        let program = env!("CARGO_PKG_VERSION");
        self.member.borrow().status(self.now(), &self.name, program, self.started_ms)
    }

    fn status_reply(&self) -> Reply {
        serde_json::to_string(&self.status())
            .map_err(|error| (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()))
    }

    /// Serves a GET request; `endpoint` is the path below `/api/rollout/`.
    pub fn get(&self, endpoint: &str) -> Reply {
        let internal_error =
            |error: serde_json::Error| (StatusCode::INTERNAL_SERVER_ERROR, error.to_string());
        match endpoint {
            "status" => self.status_reply(),
            "settings" => {
                serde_json::to_string(&self.member.borrow().active().settings).map_err(internal_error)
            }
            "nodes" => serde_json::to_string(&self.registry.effective_list()).map_err(internal_error),
            "figures" => {
                let epoch = self.member.borrow().active().epoch;
                serde_json::to_string(&self.metrics.rollout_figures(epoch, self.started_ms))
                    .map_err(internal_error)
            }
            _ => Err((StatusCode::NOT_FOUND, "unknown path".into())),
        }
    }

    /// Handles a message from the rollout's conductor (POST); the response is the resulting status.
    pub fn post(&self, endpoint: &str, body: &[u8]) -> Reply {
        let now = self.now();
        let (step, applies) = match endpoint {
            "stage" => {
                let stage: StageRequest = decode(body)?;
                (Some(self.member.borrow().stage(&stage, check_change).map_err(conflict)?), false)
            }
            "apply" => {
                (self.member.borrow().apply(now, &decode::<EpochRequest>(body)?).map_err(conflict)?, true)
            }
            "confirm" => {
                (self.member.borrow().confirm(&decode::<EpochRequest>(body)?).map_err(conflict)?, false)
            }
            "renew" => {
                self.member.borrow_mut().renew(now, &decode::<EpochRequest>(body)?).map_err(conflict)?;
                self.changed.notify_one();
                (None, false)
            }
            "revert" => {
                let before = self.member.borrow().active().epoch;
                let reverted = self.member.borrow_mut().revert(&decode::<EpochRequest>(body)?);
                reverted.map_err(conflict)?;
                if self.member.borrow().active().epoch != before {
                    self.apply_reverted(before);
                }
                (None, false)
            }
            _ => return Err((StatusCode::NOT_FOUND, "unknown path".into())),
        };
        if let Some(step) = step {
            // Recorded before they are applied: unconfirmed settings without a record would stay in force beyond their
            // time after a restart.
            if let Err(error) = self.record_store.write(&step.record) {
                log_line!("rollout state not written to disk: {error}");
                let why = format!("change could not be recorded; nothing has changed: {error}");
                return Err((StatusCode::INSUFFICIENT_STORAGE, why));
            }
            self.member.borrow_mut().commit(step);
            if applies {
                let member = self.member.borrow();
                (self.apply)(&member.active().settings);
                log_line!("settings of epoch {} in force, not yet confirmed", member.active().epoch);
            }
            self.changed.notify_one();
        }
        self.status_reply()
    }

    /// Applies the settings reverted to. This does not depend on recording them, since unconfirmed settings are reverted
    /// at the next start anyway.
    fn apply_reverted(&self, from: u64) {
        let member = self.member.borrow();
        (self.apply)(&member.active().settings);
        log_line!("settings of epoch {from} reverted to epoch {}", member.active().epoch);
        if let Err(error) = self.record_store.write(member.record()) {
            log_line!("rollout state not written to disk: {error}");
        }
    }

    /// Reverts settings whose confirmation does not arrive in time.
    pub async fn run(&self) {
        loop {
            let due = self.member.borrow().expires_at();
            let wait = due.map_or(IDLE_SLEEP, |due| Duration::from_millis(due.saturating_sub(self.now())));
            tokio::select! {
                () = sleep(wait) => {
                    let before = self.member.borrow().active().epoch;
                    let reverted = self.member.borrow_mut().tick(self.now());
                    if reverted.is_some() {
                        self.apply_reverted(before);
                    }
                }
                () = self.changed.notified() => {}
            }
        }
    }
}
