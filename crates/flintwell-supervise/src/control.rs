//! The rollout API of the supervisor: messages of a rollout's conductor, and queries.

use crate::http::{Call, get};
use crate::lifecycle::StartPurpose;
use crate::supervisor::{Supervisor, check_change};
use flintwell_rollout::member::Refusal;
use flintwell_rollout::wire::{EpochRequest, MemberCounters, StageRequest};
use hyper::{Method, StatusCode};
use serde::Serialize;
use serde_json::json;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Why a message is refused; a refused message changes nothing.
struct MessageError {
    status: StatusCode,
    why: String,
}

impl From<Refusal> for MessageError {
    fn from(refusal: Refusal) -> Self {
        MessageError { status: StatusCode::CONFLICT, why: refusal.to_string() }
    }
}

impl From<serde_json::Error> for MessageError {
    fn from(error: serde_json::Error) -> Self {
        MessageError { status: StatusCode::BAD_REQUEST, why: error.to_string() }
    }
}

fn not_recorded(why: String) -> MessageError {
    MessageError { status: StatusCode::INSUFFICIENT_STORAGE, why }
}

/// Status and body of the response to a call.
pub async fn handle_call(supervisor: Rc<RefCell<Supervisor>>, call: Call) -> (StatusCode, String) {
    if call.method != Method::POST {
        return answer_query(&supervisor, &call.path).await;
    }
    let result = handle_message(&mut supervisor.borrow_mut(), &call);
    match result {
        Ok(()) => encode(&supervisor.borrow().status()),
        Err(error) => (error.status, json!({"error": error.why}).to_string()),
    }
}

fn encode(value: &impl Serialize) -> (StatusCode, String) {
    match serde_json::to_string(value) {
        Ok(text) => (StatusCode::OK, text),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, json!({"error": error.to_string()}).to_string()),
    }
}

fn handle_message(supervisor: &mut Supervisor, call: &Call) -> Result<(), MessageError> {
    if call.path == "stage" {
        return stage(supervisor, &serde_json::from_slice(&call.body)?);
    }
    let handle = match &*call.path {
        "apply" => apply,
        "renew" => renew,
        "again" => restart_as_control,
        "confirm" => confirm,
        "revert" => revert,
        _ => return Err(MessageError { status: StatusCode::NOT_FOUND, why: "unknown path".into() }),
    };
    handle(supervisor, &serde_json::from_slice(&call.body)?)
}

fn stage(supervisor: &mut Supervisor, request: &StageRequest) -> Result<(), MessageError> {
    let transition = supervisor.member.stage(request, check_change)?;
    supervisor.write_transition(&transition).map_err(not_recorded)?;
    supervisor.change_error = None;
    supervisor.member.commit(transition);
    Ok(())
}

/// Starts the staged version, which is in force once it is ready. A repeated message has no effect.
fn apply(supervisor: &mut Supervisor, request: &EpochRequest) -> Result<(), MessageError> {
    let transition = supervisor.member.apply(supervisor.now(), request)?;
    let can_start = supervisor.lifecycle.can_start() && supervisor.change_error.is_none();
    if let Some(transition) = transition.filter(|_| can_start) {
        let version = transition.record.active.clone();
        supervisor.begin_start(&version, StartPurpose::Change(Box::new(transition)));
    }
    Ok(())
}

fn renew(supervisor: &mut Supervisor, request: &EpochRequest) -> Result<(), MessageError> {
    let now = supervisor.now();
    Ok(supervisor.member.renew(now, request)?)
}

/// Restarts the version in force, once for each stage.
fn restart_as_control(supervisor: &mut Supervisor, request: &EpochRequest) -> Result<(), MessageError> {
    // The message must belong to the newest change known here; one of an older rollout is rejected.
    let fence = supervisor.member.record().fence;
    if request.fleet != supervisor.settings.fleet || request.epoch < fence {
        let (fleet, epoch, own) = (&request.fleet, request.epoch, &supervisor.settings.fleet);
        let why = format!("fleet {fleet:?}, epoch {epoch}: expected fleet {own:?}, epoch {fence} or later");
        return Err(MessageError { status: StatusCode::CONFLICT, why });
    }
    let stage = (request.epoch, request.stage);
    let is_restarted = supervisor.control_stage == Some(stage);
    if !is_restarted && supervisor.lifecycle.can_start() && supervisor.lifecycle.current().is_some() {
        let version = supervisor.member.active().clone();
        supervisor.begin_start(&version, StartPurpose::Control(stage));
    }
    Ok(())
}

fn confirm(supervisor: &mut Supervisor, request: &EpochRequest) -> Result<(), MessageError> {
    if let Some(transition) = supervisor.member.confirm(request)? {
        supervisor.write_transition(&transition).map_err(not_recorded)?;
        supervisor.member.commit(transition);
    }
    Ok(())
}

fn revert(supervisor: &mut Supervisor, request: &EpochRequest) -> Result<(), MessageError> {
    supervisor.member.revert(request)?;
    supervisor.cancel_change(&request.hash);
    supervisor.write_record();
    Ok(())
}

/// The current process, as queries name it.
struct QueriedProcess {
    address: SocketAddr,
    epoch: u64,
    started_unix_ms: u64,
}

async fn answer_query(supervisor: &Rc<RefCell<Supervisor>>, path: &str) -> (StatusCode, String) {
    let current = supervisor.borrow().lifecycle.current().map(|process| QueriedProcess {
        address: process.address,
        epoch: process.version.epoch,
        started_unix_ms: process.started_unix_ms,
    });
    match (path, current) {
        ("status", _) => encode(&supervisor.borrow().status()),
        ("settings", _) => encode(&supervisor.borrow().member.active().settings),
        ("figures", Some(process)) => encode(&figures(&process).await),
        ("nodes", Some(process)) => match get(process.address, "/api/rollout/nodes").await {
            Some(text) => (StatusCode::OK, String::from_utf8_lossy(&text).trim().to_owned()),
            None => (StatusCode::BAD_GATEWAY, json!({"error": "the process did not answer"}).to_string()),
        },
        _ => (StatusCode::NOT_FOUND, json!({"error": "unknown path, or no process is running"}).to_string()),
    }
}

/// Counters of the process. It counts epochs of its settings; the supervisor's epoch is that of the program's version.
async fn figures(process: &QueriedProcess) -> MemberCounters {
    let response = get(process.address, "/api/rollout/figures").await;
    let counters = response.and_then(|text| serde_json::from_slice::<MemberCounters>(&text).ok());
    MemberCounters {
        epoch: process.epoch,
        started_ms: process.started_unix_ms,
        ..counters.unwrap_or_default()
    }
}
