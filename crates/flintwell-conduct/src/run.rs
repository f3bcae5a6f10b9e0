//! The rollout loop: polls all members, lets the conductor's state machine decide, records each decision on disk and
//! then sends the resulting messages.

use crate::key_homes::moved_key_share;
use crate::member_client::{CallError, get, post};
use crate::state_folder;
use crate::store::{MemberReport, Order, Report, RolloutStore};
use flintwell_rollout::controller::{Command, Controller, FleetMember, Journal, Phase};
use flintwell_rollout::judge::Verdict;
use flintwell_rollout::plan::Plan;
use flintwell_rollout::wire::{EpochRequest, MemberCounters, PROTOCOL_VERSION, StageRequest, Status, hash};
use flintwell_settings::node_list::NodeList;
use flintwell_settings::{check_change, merge_settings};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

/// Between iterations of the loop. Reverting after a bad verdict takes two or three of them.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Between writes of the evidence of a stage.
const EVIDENCE_SAVE_INTERVAL_MS: u64 = 1_000;
/// How long `plan` measures the traffic.
const TRAFFIC_SAMPLE_TIME: Duration = Duration::from_secs(2);

type Errors = Vec<String>;

/// Reads a plan and the settings file that it names.
fn load_plan(file: &Path) -> Result<(Plan, Value), Errors> {
    let text = std::fs::read_to_string(file).map_err(|e| vec![format!("{}: {e}", file.display())])?;
    let plan = Plan::parse(&file.display().to_string(), &text)?;
    let settings_file = file.parent().unwrap_or(Path::new(".")).join(&plan.settings_file);
    let with_path = |error: &dyn std::fmt::Display| vec![format!("{}: {error}", settings_file.display())];
    let changes = std::fs::read(&settings_file).map_err(|e| with_path(&e))?;
    let changes: Value = serde_json::from_slice(&changes).map_err(|e| with_path(&e))?;
    if changes.is_object() {
        Ok((plan, changes))
    } else {
        Err(with_path(&"expected a JSON object of settings"))
    }
}

/// Calls all members concurrently; the results are in the order of the members.
async fn call_all<T, F>(
    members: &[(FleetMember, SocketAddr)],
    call: impl Fn(SocketAddr) -> F,
) -> Vec<Result<T, CallError>>
where
    T: Send + 'static,
    F: Future<Output = Result<T, CallError>> + Send + 'static,
{
    let mut calls = JoinSet::new();
    for (n, (_, addr)) in members.iter().enumerate() {
        let call = call(*addr);
        calls.spawn(async move { (n, call.await) });
    }
    let mut results: Vec<_> =
        members.iter().map(|_| Err(CallError::NoResponse("call did not complete".into()))).collect();
    while let Some(done) = calls.join_next().await {
        if let Ok((n, result)) = done {
            results[n] = result;
        }
    }
    results
}

/// A checked change: its epoch and each member's settings before and after it.
struct Prepared {
    epoch: u64,
    old: Vec<Value>,
    new: Vec<(String, Value)>,
}

async fn prepare(plan: &Plan, changes: &Value) -> Result<Prepared, Errors> {
    let members = &plan.members;
    let statuses: Vec<Result<Status, CallError>> =
        call_all(members, |addr| async move { get(addr, "status").await }).await;
    let settings: Vec<Result<Value, CallError>> =
        call_all(members, |addr| async move { get(addr, "settings").await }).await;
    let (mut errors, mut fence, mut old, mut new) = (Vec::new(), 0, Vec::new(), Vec::new());
    for (((place, addr), status), settings) in members.iter().zip(statuses).zip(settings) {
        let name = &place.name;
        match (status, settings) {
            (Ok(status), Ok(settings)) => {
                fence = fence.max(status.fence).max(status.epoch);
                if status.fleet != plan.fleet {
                    errors.push(format!("{name} at {addr} belongs to fleet {:?}", status.fleet));
                } else if status.name != *name {
                    errors.push(format!("member at {addr} is {:?}, expected {name:?}", status.name));
                }
                if status.unconfirmed {
                    errors.push(format!("{name}: epoch {} is in force but not confirmed", status.epoch));
                }
                let changed = merge_settings(settings.clone(), changes.clone());
                // A change of program is checked by each supervisor, since the file is on the supervisor's machine.
                if let (false, Err(why)) = (plan.is_program_update, check_change(&settings, &changed)) {
                    errors.push(format!("{name}: {why}"));
                }
                new.push((name.clone(), changed));
                old.push(settings);
            }
            (Err(error), _) | (_, Err(error)) => errors.push(format!("{name} at {addr}: {error}")),
        }
    }
    let epoch = plan.epoch.unwrap_or(fence + 1);
    if epoch <= fence {
        errors.push(format!("epoch {epoch} is not above {fence}, the highest epoch known to the fleet"));
    }
    if errors.is_empty() && old.iter().zip(&new).all(|(old, new)| *old == new.1) {
        errors.push("the settings would not change on any member".into());
    }
    if errors.is_empty() { Ok(Prepared { epoch, old, new }) } else { Err(errors) }
}

/// Requests and origin fetches per second, summed over all members.
async fn measure_traffic(members: &[(FleetMember, SocketAddr)]) -> (f64, f64) {
    let sample = || call_all::<MemberCounters, _>(members, |addr| async move { get(addr, "figures").await });
    let sum = |figures: Vec<Result<MemberCounters, CallError>>| {
        let counts = |figures: &MemberCounters| {
            let requests: u64 =
                figures.classes.values().map(flintwell_rollout::wire::RequestCounts::total).sum();
            (requests, figures.origin_attempts)
        };
        figures.iter().flatten().map(counts).fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    };
    let before = sum(sample().await);
    tokio::time::sleep(TRAFFIC_SAMPLE_TIME).await;
    let after = sum(sample().await);
    let rate =
        |after: u64, before: u64| after.saturating_sub(before) as f64 / TRAFFIC_SAMPLE_TIME.as_secs_f64();
    (rate(after.0, before.0), rate(after.1, before.1))
}

/// Prints the stages of a rollout and, for a change of settings, its expected load on the origin.
pub async fn plan(file: &Path) -> Result<u8, Errors> {
    let (plan, changes) = load_plan(file)?;
    let prepared = prepare(&plan, &changes).await?;
    println!("epoch {} for {} members of fleet {}", prepared.epoch, plan.members.len(), plan.fleet);
    let mut from = 0;
    for (n, &to) in plan.stages.iter().enumerate() {
        let names: Vec<&str> = plan.members[from..to].iter().map(|member| &*member.0.name).collect();
        println!("stage {}: {to} members in total, added: {}", n + 1, names.join(" "));
        from = to;
    }
    if plan.is_program_update {
        println!("nothing has changed; start with `flintwell rollout start {}`", file.display());
        return Ok(0);
    }
    let lists: Vec<Result<NodeList, CallError>> =
        call_all(&plan.members, |addr| async move { get(addr, "nodes").await }).await;
    let mut shares = Vec::new();
    for ((old, new), list) in prepared.old.iter().zip(&prepared.new).zip(lists) {
        if let Ok(list) = list {
            shares.push(moved_key_share(old, &new.1, &list).map_err(|why| vec![why])?);
        }
    }
    let share = shares.iter().sum::<f64>() / shares.len().max(1) as f64;
    let (requests, fetches) = measure_traffic(&plan.members).await;
    println!("keys with a new home cache: {:.1} %", share * 100.0);
    println!("current traffic: {requests:.0} requests/s, {fetches:.0} origin fetches/s");
    for (n, &to) in plan.stages.iter().enumerate() {
        let changed = to as f64 / plan.members.len() as f64;
        let max_fetches = fetches + requests * changed * share;
        println!(
            "stage {}: at most {max_fetches:.0} origin fetches/s until the moved keys are cached",
            n + 1
        );
    }
    println!("nothing has changed; start with `flintwell rollout start {}`", file.display());
    Ok(0)
}

/// Starts a rollout, or resumes one that is not finished, and runs it to its end.
pub async fn start(file: &Path) -> Result<u8, Errors> {
    let (plan, changes) = load_plan(file)?;
    let mut store = RolloutStore::open(&state_folder(file)).map_err(|why| vec![why])?;
    let journal = match store.last_state.clone().filter(|journal| !journal.is_finished()) {
        Some(journal) => {
            println!("resuming epoch {}, {:?}", journal.epoch, journal.phase);
            journal
        }
        None => {
            let prepared = prepare(&plan, &changes).await?;
            let journal = Journal::new(prepared.epoch);
            store.begin(&journal, &prepared.new).map_err(|why| vec![why])?;
            journal
        }
    };
    conduct(&plan, store, journal).await
}

/// Reverts a finished rollout on all members.
pub async fn undo(file: &Path) -> Result<u8, Errors> {
    let (plan, _) = load_plan(file)?;
    let mut store = RolloutStore::open(&state_folder(file)).map_err(|why| vec![why])?;
    let Some(mut journal) = store.last_state.clone().filter(|journal| journal.phase == Phase::Done) else {
        return Err(vec!["this plan has no finished rollout; use `abort` for one in progress".into()]);
    };
    (journal.phase, journal.reason) = (Phase::Undoing, "undone by the operator".into());
    store.append(&journal).map_err(|why| vec![why])?;
    conduct(&plan, store, journal).await
}

/// Runs a rollout until it is done or undone.
async fn conduct(plan: &Plan, mut store: RolloutStore, journal: Journal) -> Result<u8, Errors> {
    let began = Instant::now();
    let now = || began.elapsed().as_millis() as u64;
    let places: Vec<FleetMember> = plan.members.iter().map(|member| member.0.clone()).collect();
    let mut settings = Vec::new();
    for place in &places {
        settings.push(store.member_settings(&place.name).map_err(|why| vec![why])?);
    }
    let members = places.into_iter().zip(settings.iter().map(hash)).collect();
    let epoch = journal.epoch;
    let mut conductor = Controller::new(now(), plan.config.clone(), members, plan.stages.clone(), journal);
    store.load_evidence().into_iter().for_each(|evidence| conductor.restore_evidence(evidence));
    let mut evidence_saved_at = now();
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_line = String::new();
    loop {
        ticks.tick().await;
        let responses: Vec<Result<(Status, MemberCounters), CallError>> =
            call_all(&plan.members, |addr| async move {
                let (status, figures) = tokio::join!(get(addr, "status"), get(addr, "figures"));
                Ok((status?, figures?))
            })
            .await;
        for (n, response) in responses.into_iter().enumerate() {
            if let Ok((status, figures)) = response {
                conductor.on_report(now(), n, status, Some(figures));
            }
        }
        match store.take_order() {
            Some(Order::Pause) => conductor.set_paused(true),
            Some(Order::Resume) => conductor.set_paused(false),
            Some(Order::Abort) if conductor.journal().phase != Phase::Confirming => {
                conductor.undo("aborted by the operator")
            }
            Some(Order::Abort) => {
                println!(
                    "not aborted: all stages have passed; revert with `undo` once the change is confirmed"
                )
            }
            None => {}
        }
        let messages = conductor.step(now());
        // Danger: a process that resumes this rollout would not know of messages that were sent before the decision
        // behind them was on disk.
        if store.last_state.as_ref() != Some(conductor.journal()) {
            store.append(conductor.journal()).map_err(|why| vec![why])?;
        }
        if conductor.journal().phase == Phase::Rolling
            && now() >= evidence_saved_at + EVIDENCE_SAVE_INTERVAL_MS
        {
            evidence_saved_at = now();
            store.save_evidence(&conductor.evidence()).map_err(|why| vec![why])?;
        }
        let report = report(plan, &conductor);
        store.write_report(&report);
        let line = format!("{}", report).lines().take(3).collect::<Vec<_>>().join("; ");
        if line != last_line {
            println!("{line}");
            last_line = line;
        }
        if conductor.journal().is_finished() {
            return Ok(u8::from(conductor.journal().phase != Phase::Done));
        }
        send_messages(plan, &settings, epoch, &mut conductor, messages, &now).await;
    }
}

/// Sends messages to members concurrently and passes their responses to the conductor.
async fn send_messages(
    plan: &Plan,
    settings: &[Value],
    epoch: u64,
    conductor: &mut Controller,
    messages: Vec<(usize, Command)>,
    now: &impl Fn() -> u64,
) {
    let stage = conductor.journal().stages_begun;
    let mut calls: JoinSet<(usize, Command, Result<Status, CallError>)> = JoinSet::new();
    for (n, message) in messages {
        let (addr, fleet) = (plan.members[n].1, plan.fleet.clone());
        let (settings, hash, within_ms) =
            (settings[n].clone(), hash(&settings[n]), plan.config.confirm_timeout_ms);
        let named = EpochRequest {
            protocol: PROTOCOL_VERSION,
            fleet: fleet.clone(),
            epoch,
            hash: hash.clone(),
            confirm_timeout_ms: within_ms,
            stage,
        };
        calls.spawn(async move {
            let result = match message {
                Command::Stage => {
                    post(
                        addr,
                        "stage",
                        &StageRequest { protocol: PROTOCOL_VERSION, fleet, epoch, hash, settings },
                    )
                    .await
                }
                Command::Apply => post(addr, "apply", &named).await,
                Command::Renew => post(addr, "renew", &named).await,
                Command::Confirm => post(addr, "confirm", &named).await,
                Command::Revert => post(addr, "revert", &named).await,
                Command::Restart => post(addr, "again", &named).await,
            };
            (n, message, result)
        });
    }
    while let Some(done) = calls.join_next().await {
        match done {
            Ok((n, _, Ok(status))) => conductor.on_status(now(), n, status),
            // Rejected settings stay rejected. Any later message that fails is sent again according to the status that
            // the member reports.
            Ok((n, Command::Stage, Err(CallError::Rejected(why)))) => conductor.on_refusal(n, why),
            _ => {}
        }
    }
}

fn report(plan: &Plan, conductor: &Controller) -> Report {
    let verdict = match conductor.verdict() {
        Verdict::NoHarmFound(judged) => {
            format!("no regression found in {judged} requests to changed members")
        }
        Verdict::Worse(measure, by) => {
            format!("changed members perform worse: {measure}, by {:.1} %", by * 100.0)
        }
    };
    let member_report = |(n, (place, _)): (usize, &(FleetMember, SocketAddr))| {
        let status = conductor.status(n);
        MemberReport {
            name: place.name.clone(),
            zone: place.zone.clone(),
            has_answered: status.is_some(),
            epoch: status.map(|status| status.epoch),
            unconfirmed: status.is_some_and(|status| status.unconfirmed),
            program: status.map(|status| status.program.clone()).unwrap_or_default(),
            refused: conductor.refusal(n).map(str::to_owned),
        }
    };
    Report {
        journal: conductor.journal().clone(),
        stages: plan.stages.clone(),
        hold: conductor.hold_reason().map(str::to_owned),
        verdict,
        members: plan.members.iter().enumerate().map(member_report).collect(),
    }
}
