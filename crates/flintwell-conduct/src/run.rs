//! The loop of one who rolls out: hears all members, lets the state machine decide, writes, then speaks.

use crate::book::{Book, Order, Report, Standing};
use crate::folder;
use crate::homes::moved;
use crate::line::{Failed, ask, say};
use flintwell_rollout::controller::{Command, Controller, FleetMember, Journal, Phase};
use flintwell_rollout::judge::Verdict;
use flintwell_rollout::plan::Plan;
use flintwell_rollout::wire::{EpochRequest, MemberCounters, PROTOCOL_VERSION, StageRequest, Status, hash};
use flintwell_settings::listing::Listing;
use flintwell_settings::{check_change, laid_over};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

const TURN: Duration = Duration::from_millis(250); // between rounds; a verdict is undone in two or three
const KEPT: u64 = 1_000; // ms between writes of a stage's evidence
const SAMPLED: Duration = Duration::from_secs(2); // over which `plan` looks at the traffic

type Wrong = Vec<String>;

fn read(file: &Path) -> Result<(Plan, Value), Wrong> {
    let text = std::fs::read_to_string(file).map_err(|e| vec![format!("{}: {e}", file.display())])?;
    let plan = Plan::parse(&file.display().to_string(), &text)?;
    let beside = file.parent().unwrap_or(Path::new(".")).join(&plan.settings_file);
    let told = |error: &dyn std::fmt::Display| vec![format!("{}: {error}", beside.display())];
    let over = std::fs::read(&beside).map_err(|e| told(&e))?;
    let over: Value = serde_json::from_slice(&over).map_err(|e| told(&e))?;
    if over.is_object() { Ok((plan, over)) } else { Err(told(&"an object with settings is needed")) }
}

/// All at once, in the members' order.
async fn all<T, F>(
    members: &[(FleetMember, SocketAddr)],
    call: impl Fn(SocketAddr) -> F,
) -> Vec<Result<T, Failed>>
where
    T: Send + 'static,
    F: Future<Output = Result<T, Failed>> + Send + 'static,
{
    let mut calls = JoinSet::new();
    for (n, (_, at)) in members.iter().enumerate() {
        let call = call(*at);
        calls.spawn(async move { (n, call.await) });
    }
    let mut said: Vec<_> = members.iter().map(|_| Err(Failed::Unheard("no answer".into()))).collect();
    while let Some(done) = calls.join_next().await {
        if let Ok((n, result)) = done {
            said[n] = result;
        }
    }
    said
}

/// What each member would get, and under what number.
struct Prepared {
    epoch: u64,
    old: Vec<Value>,
    new: Vec<(String, Value)>,
}

async fn prepare(plan: &Plan, over: &Value) -> Result<Prepared, Wrong> {
    let members = &plan.members;
    let told: Vec<Result<Status, Failed>> = all(members, |at| async move { ask(at, "status").await }).await;
    let settings: Vec<Result<Value, Failed>> =
        all(members, |at| async move { ask(at, "settings").await }).await;
    let (mut wrong, mut fence, mut old, mut new) = (Vec::new(), 0, Vec::new(), Vec::new());
    for (((place, at), status), settings) in members.iter().zip(told).zip(settings) {
        let name = &place.name;
        match (status, settings) {
            (Ok(status), Ok(settings)) => {
                fence = fence.max(status.fence).max(status.epoch);
                if status.fleet != plan.fleet {
                    wrong.push(format!("{name} at {at} is of fleet {:?}", status.fleet));
                } else if status.name != *name {
                    wrong.push(format!("at {at} is {:?}, not {name:?}", status.name));
                }
                if status.unconfirmed {
                    wrong.push(format!("{name}: epoch {} is in force and not confirmed", status.epoch));
                }
                let changed = laid_over(settings.clone(), over.clone());
                // A supervisor checks a program itself: it lies on its own machine.
                if let (false, Err(why)) = (plan.is_program_update, check_change(&settings, &changed)) {
                    wrong.push(format!("{name}: {why}"));
                }
                new.push((name.clone(), changed));
                old.push(settings);
            }
            (Err(failed), _) | (_, Err(failed)) => wrong.push(format!("{name} at {at} {failed}")),
        }
    }
    let epoch = plan.epoch.unwrap_or(fence + 1);
    if epoch <= fence {
        wrong.push(format!("epoch {epoch} is not above {fence}, which the fleet knows"));
    }
    if wrong.is_empty() && old.iter().zip(&new).all(|(old, new)| *old == new.1) {
        wrong.push("nothing would change".into());
    }
    if wrong.is_empty() { Ok(Prepared { epoch, old, new }) } else { Err(wrong) }
}

/// Requests and fetches a second of all members.
async fn traffic(members: &[(FleetMember, SocketAddr)]) -> (f64, f64) {
    let look = || all::<MemberCounters, _>(members, |at| async move { ask(at, "figures").await });
    let sum = |figures: Vec<Result<MemberCounters, Failed>>| {
        let of = |figures: &MemberCounters| {
            let all: u64 = figures.classes.values().map(flintwell_rollout::wire::RequestCounts::total).sum();
            (all, figures.origin_attempts)
        };
        figures.iter().flatten().map(of).fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    };
    let before = sum(look().await);
    tokio::time::sleep(SAMPLED).await;
    let after = sum(look().await);
    let rate = |after: u64, before: u64| after.saturating_sub(before) as f64 / SAMPLED.as_secs_f64();
    (rate(after.0, before.0), rate(after.1, before.1))
}

pub async fn plan(file: &Path) -> Result<u8, Wrong> {
    let (plan, over) = read(file)?;
    let prepared = prepare(&plan, &over).await?;
    println!("epoch {} for {} members of {}", prepared.epoch, plan.members.len(), plan.fleet);
    let mut from = 0;
    for (n, &to) in plan.stages.iter().enumerate() {
        let names: Vec<&str> = plan.members[from..to].iter().map(|member| &*member.0.name).collect();
        println!("stage {}: {to} in all, new {}", n + 1, names.join(" "));
        from = to;
    }
    if plan.is_program_update {
        println!("nothing was changed; `flintwell rollout start {}` begins", file.display());
        return Ok(0);
    }
    let lists: Vec<Result<Listing, Failed>> =
        all(&plan.members, |at| async move { ask(at, "nodes").await }).await;
    let mut shares = Vec::new();
    for ((old, new), list) in prepared.old.iter().zip(&prepared.new).zip(lists) {
        if let Ok(list) = list {
            shares.push(moved(old, &new.1, &list).map_err(|why| vec![why])?);
        }
    }
    let share = shares.iter().sum::<f64>() / shares.len().max(1) as f64;
    let (requests, fetches) = traffic(&plan.members).await;
    println!("keys that go to another cache first: {:.1} %", share * 100.0);
    println!("now {requests:.0} requests a second, {fetches:.0} fetches");
    for (n, &to) in plan.stages.iter().enumerate() {
        let part = to as f64 / plan.members.len() as f64;
        let asked = fetches + requests * part * share;
        println!("stage {}: at most {asked:.0} fetches a second until the moved keys are warm", n + 1);
    }
    println!("nothing was changed; `flintwell rollout start {}` begins", file.display());
    Ok(0)
}

pub async fn start(file: &Path) -> Result<u8, Wrong> {
    let (plan, over) = read(file)?;
    let mut book = Book::open(&folder(file)).map_err(|why| vec![why])?;
    let journal = match book.last.clone().filter(|journal| !journal.is_finished()) {
        Some(journal) => {
            println!("goes on with epoch {}, {:?}", journal.epoch, journal.phase);
            journal
        }
        None => {
            let prepared = prepare(&plan, &over).await?;
            let journal = Journal::new(prepared.epoch);
            book.begin(&journal, &prepared.new).map_err(|why| vec![why])?;
            journal
        }
    };
    conduct(&plan, book, journal).await
}

pub async fn undo(file: &Path) -> Result<u8, Wrong> {
    let (plan, _) = read(file)?;
    let mut book = Book::open(&folder(file)).map_err(|why| vec![why])?;
    let Some(mut journal) = book.last.clone().filter(|journal| journal.phase == Phase::Done) else {
        return Err(vec!["nothing was rolled out to its end by this plan; abort one under way".into()]);
    };
    (journal.phase, journal.reason) = (Phase::Undoing, "undone by the staff".into());
    book.write(&journal).map_err(|why| vec![why])?;
    conduct(&plan, book, journal).await
}

/// Until it is over.
async fn conduct(plan: &Plan, mut book: Book, journal: Journal) -> Result<u8, Wrong> {
    let began = Instant::now();
    let now = || began.elapsed().as_millis() as u64;
    let places: Vec<FleetMember> = plan.members.iter().map(|member| member.0.clone()).collect();
    let mut settings = Vec::new();
    for place in &places {
        settings.push(book.settings(&place.name).map_err(|why| vec![why])?);
    }
    let members = places.into_iter().zip(settings.iter().map(hash)).collect();
    let epoch = journal.epoch;
    let mut conductor = Controller::new(now(), plan.config.clone(), members, plan.stages.clone(), journal);
    book.evidence().into_iter().for_each(|kept| conductor.restore_evidence(kept));
    let mut kept_at = now();
    let mut turns = interval(TURN);
    turns.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut said = String::new();
    loop {
        turns.tick().await;
        let heard: Vec<Result<(Status, MemberCounters), Failed>> = all(&plan.members, |at| async move {
            let (status, figures) = tokio::join!(ask(at, "status"), ask(at, "figures"));
            Ok((status?, figures?))
        })
        .await;
        for (n, heard) in heard.into_iter().enumerate() {
            if let Ok((status, figures)) = heard {
                conductor.on_report(now(), n, status, Some(figures));
            }
        }
        match book.ordered() {
            Some(Order::Pause) => conductor.set_paused(true),
            Some(Order::Resume) => conductor.set_paused(false),
            Some(Order::Abort) if conductor.journal().phase != Phase::Confirming => {
                conductor.undo("aborted by the staff")
            }
            Some(Order::Abort) => {
                println!("every stage has passed; it is confirmed first, then undone by `undo`")
            }
            None => {}
        }
        let words = conductor.step(now());
        // Danger: a word spoken before its decision lies on disk would be forgotten by whoever goes on after us.
        if book.last.as_ref() != Some(conductor.journal()) {
            book.write(conductor.journal()).map_err(|why| vec![why])?;
        }
        if conductor.journal().phase == Phase::Rolling && now() >= kept_at + KEPT {
            kept_at = now();
            book.keeps(&conductor.evidence()).map_err(|why| vec![why])?;
        }
        let report = report(plan, &conductor);
        book.shows(&report);
        let line = format!("{}", report).lines().take(3).collect::<Vec<_>>().join("; ");
        if line != said {
            println!("{line}");
            said = line;
        }
        if conductor.journal().is_finished() {
            return Ok(u8::from(conductor.journal().phase != Phase::Done));
        }
        speak(plan, &settings, epoch, &mut conductor, words, &now).await;
    }
}

async fn speak(
    plan: &Plan,
    settings: &[Value],
    epoch: u64,
    conductor: &mut Controller,
    words: Vec<(usize, Command)>,
    now: &impl Fn() -> u64,
) {
    let stage = conductor.journal().stages_begun;
    let mut calls: JoinSet<(usize, Command, Result<Status, Failed>)> = JoinSet::new();
    for (n, word) in words {
        let (at, fleet) = (plan.members[n].1, plan.fleet.clone());
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
            let said = match word {
                Command::Stage => {
                    say(
                        at,
                        "stage",
                        &StageRequest { protocol: PROTOCOL_VERSION, fleet, epoch, hash, settings },
                    )
                    .await
                }
                Command::Apply => say(at, "apply", &named).await,
                Command::Renew => say(at, "renew", &named).await,
                Command::Confirm => say(at, "confirm", &named).await,
                Command::Revert => say(at, "revert", &named).await,
                Command::Restart => say(at, "again", &named).await,
            };
            (n, word, said)
        });
    }
    while let Some(done) = calls.join_next().await {
        match done {
            Ok((n, _, Ok(status))) => conductor.on_status(now(), n, status),
            // What is refused on the way there is refused for good; later words are asked for anew by where it stands.
            Ok((n, Command::Stage, Err(Failed::Refused(why)))) => conductor.on_refusal(n, why),
            _ => {}
        }
    }
}

fn report(plan: &Plan, conductor: &Controller) -> Report {
    let verdict = match conductor.verdict() {
        Verdict::NoHarmFound(judged) => format!("no sign of harm in {judged} requests of the new"),
        Verdict::Worse(measure, by) => format!("the new are worse: {measure}, by {:.1} %", by * 100.0),
    };
    let standing = |(n, (place, _)): (usize, &(FleetMember, SocketAddr))| {
        let status = conductor.status(n);
        Standing {
            name: place.name.clone(),
            zone: place.zone.clone(),
            heard: status.is_some(),
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
        members: plan.members.iter().enumerate().map(standing).collect(),
    }
}
