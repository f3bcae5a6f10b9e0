//! Changes of settings through the management API: handles the messages of a rollout, records each step on disk and
//! reverts settings that are not confirmed in time.

use crate::fleet::registry::Registry;
use crate::process::clock::Clock;
use crate::log_line;
use crate::management::metrics::Metrics;
use flintwell_rollout::member::{Member, Refusal};
use flintwell_rollout::wire::{Named, Stage, Status};
use flintwell_settings::check_change;
use flintwell_state::Disk;
use hyper::StatusCode;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;

const IDLE: Duration = Duration::from_secs(3_600); // sleep with nothing due; the next change interrupts it

/// This proxy's part in a rollout of settings.
pub struct Rollout {
    pub name: String,
    pub clock: Clock,
    pub started_ms: u64,
    pub member: RefCell<Member>,
    pub disk: Disk,
    pub counts: Rc<Metrics>,
    pub changed: Notify,
    /// Applies settings to all components at once.
    pub put: Box<dyn Fn(&Value)>,
    pub registry: Rc<Registry>,
}

/// JSON body of a successful call, or status and reason of a failed one.
pub type Said = Result<String, (StatusCode, String)>;

fn refused(refusal: Refusal) -> (StatusCode, String) {
    (StatusCode::CONFLICT, refusal.to_string())
}

fn read<T: DeserializeOwned>(text: &[u8]) -> Result<T, (StatusCode, String)> {
    serde_json::from_slice(text).map_err(|error| (StatusCode::BAD_REQUEST, error.to_string()))
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

    fn told(&self) -> Said {
        serde_json::to_string(&self.status())
            .map_err(|error| (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()))
    }

    /// Serves a GET request; `what` is the path below `/api/rollout/`.
    pub fn asked(&self, what: &str) -> Said {
        let wrong = |error: serde_json::Error| (StatusCode::INTERNAL_SERVER_ERROR, error.to_string());
        match what {
            "status" => self.told(),
            "settings" => serde_json::to_string(&self.member.borrow().in_force().settings).map_err(wrong),
            "nodes" => serde_json::to_string(&self.registry.effective_list()).map_err(wrong),
            "figures" => {
                let epoch = self.member.borrow().in_force().epoch;
                serde_json::to_string(&self.counts.compared(epoch, self.started_ms)).map_err(wrong)
            }
            _ => Err((StatusCode::NOT_FOUND, "unknown path".into())),
        }
    }

    /// Handles a message from the rollout's conductor (POST); the response is the resulting status.
    pub fn word(&self, what: &str, text: &[u8]) -> Said {
        let now = self.now();
        let (step, puts) = match what {
            "stage" => {
                let stage: Stage = read(text)?;
                (Some(self.member.borrow().stage(&stage, check_change).map_err(refused)?), false)
            }
            "apply" => (self.member.borrow().apply(now, &read::<Named>(text)?).map_err(refused)?, true),
            "confirm" => (self.member.borrow().confirm(&read::<Named>(text)?).map_err(refused)?, false),
            "renew" => {
                self.member.borrow_mut().renew(now, &read::<Named>(text)?).map_err(refused)?;
                self.changed.notify_one();
                (None, false)
            }
            "revert" => {
                let before = self.member.borrow().in_force().epoch;
                let back = self.member.borrow_mut().revert(&read::<Named>(text)?);
                back.map_err(refused)?;
                if self.member.borrow().in_force().epoch != before {
                    self.went_back(before);
                }
                (None, false)
            }
            _ => return Err((StatusCode::NOT_FOUND, "unknown path".into())),
        };
        if let Some(step) = step {
            // Recorded before they are applied: without a record, a restart would let unconfirmed settings stay in force
            // beyond their time.
            if let Err(error) = self.disk.write(&step.record) {
                log_line!("rollout state not written to disk: {error}");
                let why = format!("change could not be recorded; nothing has changed: {error}");
                return Err((StatusCode::INSUFFICIENT_STORAGE, why));
            }
            self.member.borrow_mut().take(step);
            if puts {
                let member = self.member.borrow();
                (self.put)(&member.in_force().settings);
                log_line!("settings of epoch {} in force, not yet confirmed", member.in_force().epoch);
            }
            self.changed.notify_one();
        }
        self.told()
    }

    /// Applies the settings reverted to. This does not depend on recording them, since unconfirmed settings are reverted
    /// at the next start anyway.
    fn went_back(&self, from: u64) {
        let member = self.member.borrow();
        (self.put)(&member.in_force().settings);
        log_line!("settings of epoch {from} reverted to epoch {}", member.in_force().epoch);
        if let Err(error) = self.disk.write(member.record()) {
            log_line!("rollout state not written to disk: {error}");
        }
    }

    /// Reverts settings whose confirmation does not arrive in time.
    pub async fn follow(&self) {
        loop {
            let due = self.member.borrow().due();
            let wait = due.map_or(IDLE, |due| Duration::from_millis(due.saturating_sub(self.now())));
            tokio::select! {
                () = sleep(wait) => {
                    let before = self.member.borrow().in_force().epoch;
                    let back = self.member.borrow_mut().tick(self.now());
                    if back.is_some() {
                        self.went_back(before);
                    }
                }
                () = self.changed.notified() => {}
            }
        }
    }
}
