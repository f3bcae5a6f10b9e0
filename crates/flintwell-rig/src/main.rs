//! flintwell-rig: runs fault plans against several real proxy processes and checks the rules over the whole fleet.

use clap::{Parser, Subcommand};
use flintwell_rig::crowd::CrowdKind;
use flintwell_rig::crowd_trial::{CrowdResult, CrowdTrial};
use flintwell_rig::fleet::{Fleet, FleetSpec};
use flintwell_rig::plan::{Outcome, Plan};
use flintwell_rig::{days, record, rollouts, soak};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

#[derive(Parser)]
#[command(version, about = "Runs a fleet of flintwell processes on loopback, with injected faults")]
struct Arguments {
    /// Path of the proxy program
    #[arg(long, global = true, default_value = "target/release/flintwell")]
    program: PathBuf,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Starts a small fleet with light traffic for experiments, until Ctrl-C
    Try {
        /// Number of proxies
        #[arg(long, default_value_t = 3)]
        proxies: usize,
    },
    /// Runs a plan once and prints the figures of each second
    Run {
        /// Plan file (TOML)
        plan: PathBuf,
        /// Overrides the seed of the plan
        #[arg(long)]
        seed: Option<u64>,
        /// Prints the outcome as one JSON object
        #[arg(long)]
        json: bool,
        /// Folder for the plan as it was run, the merged timeline and the figures
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Runs the plan written by `run --out` again and compares the totals of both runs
    Replay {
        /// Folder written by `run --out`
        folder: PathBuf,
    },
    /// Rolls out many good and bad changes, each on a new fleet, and prints the result of each
    Rollouts {
        /// Number of proxies
        #[arg(long, default_value_t = 24)]
        proxies: usize,
        /// Number of runs
        #[arg(long, default_value_t = 40)]
        count: u64,
        /// First seed
        #[arg(long, default_value_t = 0)]
        from: u64,
        /// File for the results, one JSON object per line
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Runs randomized faults (cuts, losses, pauses, kills) on proxies that exchange messages, one run per seed
    Days {
        /// Number of proxies
        #[arg(long, default_value_t = 9)]
        proxies: usize,
        /// Number of runs
        #[arg(long, default_value_t = 100)]
        count: u64,
        /// First seed
        #[arg(long, default_value_t = 0)]
        from: u64,
        /// File for the results, one JSON object per line
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Runs randomized overlapping faults around an overloaded discovery: silences, resets, drains, restarts
    Soak {
        /// Number of proxies
        #[arg(long, default_value_t = 24)]
        proxies: usize,
        /// Number of runs
        #[arg(long, default_value_t = 20)]
        count: u64,
        /// First seed
        #[arg(long, default_value_t = 0)]
        from: u64,
    },
    /// Runs one proxy with little memory and a crowd of bad clients, through a series of kills
    Crowd {
        /// Number of runs
        #[arg(long, default_value_t = 1)]
        count: u64,
        /// First seed
        #[arg(long, default_value_t = 0)]
        from: u64,
        /// What the clients do, in turn; drawn by the seed without it
        #[arg(long, value_delimiter = ',')]
        kinds: Vec<CrowdKind>,
        /// Overrides the number of clients drawn
        #[arg(long)]
        clients: Option<usize>,
        /// Overrides the memory limit, MB
        #[arg(long)]
        memory_mb: Option<u64>,
        /// Overrides the limit on descriptors
        #[arg(long)]
        sockets: Option<usize>,
        /// Overrides the number of kills
        #[arg(long)]
        kills: Option<usize>,
        /// Prints the log of the proxy
        #[arg(long)]
        log: bool,
    },
    /// Kills the rollout command and members at random times and checks that the members agree afterwards
    Kills {
        /// Number of proxies
        #[arg(long, default_value_t = 6)]
        proxies: usize,
        /// Number of kills of the rollout command
        #[arg(long, default_value_t = 100)]
        count: usize,
    },
    /// Runs a plan with many seeds and prints the violated rules
    Sweep {
        /// Plan file (TOML)
        plan: PathBuf,
        /// Number of seeds, starting with the seed of the plan
        #[arg(long, default_value_t = 10)]
        seeds: u64,
    },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run_until_terminated(run(&arguments))),
        Err(error) => Err(error.to_string()),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("flintwell-rig: {error}");
            ExitCode::from(2)
        }
    }
}

/// Stops the run on SIGTERM. Without a handler the signal would end this process at once and leave the proxies running;
/// dropping the run drops its fleet, which kills them by their ids.
async fn run_until_terminated(run: impl Future<Output = Result<bool, String>>) -> Result<bool, String> {
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
    tokio::select! {
        result = run => result,
        _ = terminate.recv() => Err("terminated by a signal".into()),
    }
}

/// Runs the command; returns whether all checks passed.
async fn run(arguments: &Arguments) -> Result<bool, String> {
    let folder = tempfile::tempdir().map_err(|e| format!("cannot create a temporary folder: {e}"))?;
    match &arguments.command {
        Command::Try { proxies } => {
            run_interactive(*proxies, &arguments.program, folder.path()).await?;
            Ok(true)
        }
        Command::Run { plan, seed, json, out } => {
            let mut plan = Plan::read(plan)?;
            plan.seed = seed.unwrap_or(plan.seed);
            let outcome = plan.run(&arguments.program, folder.path()).await?;
            if let Some(out) = out {
                record::write_run(out, &plan, &outcome)?;
            }
            if *json {
                println!("{}", serde_json::to_string(&outcome).map_err(|e| e.to_string())?);
            } else {
                print_outcome(&outcome);
            }
            Ok(outcome.breaches.is_empty())
        }
        Command::Replay { folder: run_dir } => {
            let (plan, before) = record::read_run(run_dir)?;
            let outcome = plan.run(&arguments.program, folder.path()).await?;
            println!("{:12} {:>9} {:>9}", "seed", before.seed, outcome.seed);
            for ((label, before), (_, after)) in
                record::totals(&before).into_iter().zip(record::totals(&outcome))
            {
                println!("{label:12} {before:9} {after:9}");
            }
            println!("{:12} {:9} {:9}", "breaches", before.breaches.len(), outcome.breaches.len());
            outcome.breaches.iter().for_each(|breach| println!("rule {}: {}", breach.rule, breach.what));
            Ok(outcome.breaches.is_empty())
        }
        Command::Rollouts { proxies, count, from, out } => {
            let mut spec = FleetSpec { proxies: *proxies, ..FleetSpec::default() };
            spec.zones = ["a", "b", "c"].map(str::to_owned).into();
            spec.load.rate = 30.0;
            let mut lines = String::new();
            let (mut correct, mut lost) = (0, 0);
            for seed in *from..from + count {
                let run_dir = folder.path().join(seed.to_string());
                std::fs::create_dir_all(&run_dir).map_err(|e| e.to_string())?;
                let result = rollouts::run_rollout(seed, &spec, &arguments.program, &run_dir).await?;
                println!(
                    "{:3} {:4} {:34} {:12} {} {:2} of {} in {:5.1} s, harmed {:5.1} s {:5.3}, lost {} {}",
                    seed,
                    if result.good { "good" } else { "bad" },
                    result.change,
                    format!("{:?}", result.concurrent_fault),
                    if result.is_correct() { "right" } else { "WRONG" },
                    result.reached,
                    result.members,
                    result.took_s,
                    result.harmed_s,
                    result.not_served,
                    result.lost,
                    result.why
                );
                result
                    .breaches
                    .iter()
                    .take(3)
                    .for_each(|breach| println!("    rule {}: {}", breach.rule, breach.what));
                (correct, lost) = (correct + u64::from(result.is_correct()), lost + result.lost);
                lines += &(serde_json::to_string(&result).map_err(|e| e.to_string())? + "\n");
            }
            println!("{correct} of {count} right, {lost} requests lost");
            if let Some(out) = out {
                std::fs::write(out, lines).map_err(|e| format!("{}: {e}", out.display()))?;
            }
            Ok(correct == *count && lost == 0)
        }
        Command::Days { proxies, count, from, out } => {
            let zones = ["a", "b", "c"].map(str::to_owned).into();
            let spec = FleetSpec { proxies: *proxies, zones, peer_messaging: true, ..FleetSpec::default() };
            let (mut passed, mut lines) = (0, String::new());
            for seed in *from..from + count {
                let run_dir = folder.path().join(seed.to_string());
                let day = days::run_day(seed, &spec, &arguments.program, &run_dir).await?;
                let converged =
                    day.converged_after_s.map_or("never".into(), |converged| format!("{converged:.1} s"));
                let (requests, served) = (day.requests, day.served);
                println!(
                    "{seed:4}: {requests} requests, {served} served, {} breaches, whole {converged}",
                    day.breaches.len()
                );
                day.breaches
                    .iter()
                    .take(3)
                    .for_each(|breach| println!("    rule {}: {}", breach.rule, breach.what));
                passed += u64::from(day.breaches.is_empty() && day.converged_after_s.is_some());
                lines += &(serde_json::to_string(&day).map_err(|e| e.to_string())? + "\n");
            }
            println!("{passed} of {count} without violations and with a converged fleet");
            if let Some(out) = out {
                std::fs::write(out, lines).map_err(|e| format!("{}: {e}", out.display()))?;
            }
            Ok(passed == *count)
        }
        Command::Soak { proxies, count, from } => {
            let mut passed = 0;
            for seed in *from..from + count {
                let run_dir = folder.path().join(format!("soak-{seed}"));
                let day = soak::run_day(seed, *proxies, &arguments.program, &run_dir).await?;
                println!(
                    "{seed:4}: {} requests, {} served, {} second responses, {} lapses, lists {:.1} s old, \
                     ready in {:.1} s, peak {:.1} MB, crowd: {}",
                    day.requests,
                    day.served,
                    day.repeated,
                    day.lease_lapses,
                    day.oldest_list_s,
                    day.ready_s,
                    day.peak_bytes as f64 / f64::from(1 << 20),
                    day.bad_crowd.as_deref().unwrap_or("none")
                );
                day.violations.iter().take(5).for_each(|breach| println!("    {breach}"));
                if !day.violations.is_empty() {
                    println!("    {}", serde_json::to_string(&day.events).map_err(|e| e.to_string())?);
                }
                passed += u64::from(day.violations.is_empty());
            }
            println!("{passed} of {count} with all rules kept");
            Ok(passed == *count)
        }
        Command::Crowd { count, from, kinds, clients, memory_mb, sockets, kills, log } => {
            let mut passed = 0;
            for seed in *from..from + count {
                let mut trial = CrowdTrial::draw(seed);
                if !kinds.is_empty() {
                    trial.kinds.clone_from(kinds);
                }
                trial.clients = clients.unwrap_or(trial.clients);
                trial.memory_mb = memory_mb.unwrap_or(trial.memory_mb);
                trial.sockets = sockets.unwrap_or(trial.sockets);
                trial.kills = kills.unwrap_or(trial.kills);
                let run_dir = folder.path().join(format!("crowd-{seed}"));
                let result = trial.run(&arguments.program, &run_dir).await?;
                print_crowd_result(&trial, &result);
                result.log.iter().filter(|_| *log).for_each(|line| println!("    {line}"));
                passed += u64::from(result.keeps_all());
            }
            println!("{passed} of {count} within limits, with all rules kept");
            Ok(passed == *count)
        }
        Command::Kills { proxies, count } => {
            let mut spec = FleetSpec { proxies: *proxies, ..FleetSpec::default() };
            spec.zones = ["a", "b"].map(str::to_owned).into();
            spec.load.rate = 60.0;
            let summary = rollouts::run_kills(*count, &spec, &arguments.program, folder.path()).await?;
            println!("{}", serde_json::to_string(&summary).map_err(|e| e.to_string())?);
            Ok(summary.inconsistent == 0 && summary.lost == 0)
        }
        Command::Sweep { plan, seeds } => {
            let base = Plan::read(plan)?;
            let mut passed = 0;
            for n in 0..*seeds {
                let plan = Plan { seed: base.seed + n, ..base.clone() };
                let run_dir = folder.path().join(n.to_string());
                let outcome = plan.run(&arguments.program, &run_dir).await?;
                passed += u64::from(outcome.breaches.is_empty());
                let requests: usize = outcome.seconds.iter().map(|second| second.requests).sum();
                let served: usize = outcome.seconds.iter().map(|second| second.served).sum();
                let fetches: usize = outcome.seconds.iter().map(|second| second.fetches).sum();
                let refused: usize = outcome.seconds.iter().map(|second| second.origin_refused).sum();
                println!(
                    "seed {}: {requests} requests, {served} served, {refused} refused for {fetches} fetched, {} breaches",
                    plan.seed,
                    outcome.breaches.len()
                );
                outcome
                    .breaches
                    .iter()
                    .take(5)
                    .for_each(|breach| println!("  rule {}: {}", breach.rule, breach.what));
            }
            println!("{passed} of {seeds} seeds with all rules kept");
            Ok(passed == *seeds)
        }
    }
}

/// Prints the conditions of a trial with a crowd, and what it has shown.
fn print_crowd_result(trial: &CrowdTrial, result: &CrowdResult) {
    let megabytes = |bytes: u64| bytes as f64 / f64::from(1 << 20);
    println!(
        "{:4}: {} {:?}, {} MB, {} descriptors, {} kills: peak {:.1} MB, usual {} of {} served, {} lost, p99 {:.0} ms; \
         crowd {} served, {} refused, {} unanswered, {} cut off",
        trial.seed,
        trial.clients,
        trial.kinds,
        trial.memory_mb,
        trial.sockets,
        trial.kills,
        megabytes(result.peak_bytes),
        result.usual_served,
        result.usual_requests,
        result.usual_lost,
        result.usual_p99_ms,
        result.crowd_served,
        result.crowd_refused,
        result.crowd_unanswered,
        result.crowd_cut_off
    );
    result.unexpected_ends.iter().for_each(|end| println!("    ended by itself: {end}"));
    result.breaches.iter().take(5).for_each(|breach| println!("    {breach}"));
}

/// Prints the figures of each second and the violated rules.
fn print_outcome(outcome: &Outcome) {
    println!("second requests served refused failed unanswered attempts fetches refused-there");
    for (n, second) in outcome.seconds.iter().enumerate() {
        println!(
            "{n:6} {:8} {:8} {:11} {:10} {:10} {:9} {:7} {:7}",
            second.requests,
            second.served,
            second.refused,
            second.failed,
            second.unanswered,
            second.attempts,
            second.fetches,
            second.origin_refused
        );
    }
    for breach in &outcome.breaches {
        println!("rule {} broken at {:.0} ms: {}", breach.rule, breach.at_ms, breach.what);
    }
    println!(
        "seed {}: {}",
        outcome.seed,
        if outcome.breaches.is_empty() { "all rules kept" } else { "BROKEN" }
    );
}

/// Starts a fleet, writes a rollout plan for it and prints the commands to start the rollout.
async fn run_interactive(proxies: usize, program: &Path, folder: &Path) -> Result<(), String> {
    let mut spec = FleetSpec { proxies, zones: vec!["a".into(), "b".into()], ..FleetSpec::default() };
    spec.load.rate = 40.0;
    let fleet_name = spec.fleet_name.clone();
    let mut fleet = Fleet::start(spec, program, folder).await?;
    let day = Duration::from_secs(86_400);
    fleet.start_clients(1, day);
    let mut plan =
        format!("fleet = \"{fleet_name}\"\nsettings = \"new-settings.json\"\n\n[times]\nwatch_s = 10\n\n");
    plan += "[limits]\naccesses = 1000\n";
    for proxy in &fleet.proxies {
        let (name, zone, at) = (&proxy.process.name, &proxy.zone, proxy.management);
        plan += &format!("\n[[members]]\nname = \"{name}\"\nzone = \"{zone}\"\nat = \"{at}\"\n");
    }
    let file = folder.join("rollout.toml");
    let new = folder.join("new-settings.json");
    let write =
        |file: &Path, text: &str| std::fs::write(file, text).map_err(|e| format!("{}: {e}", file.display()));
    write(&file, &plan)?;
    write(&new, r#"{"limits": {"max_hand_offs": 3}}"#)?;
    println!(
        "{proxies} proxies, {} nodes, light traffic; Ctrl-C stops all",
        fleet.backends.node_specs().len()
    );
    for proxy in &fleet.proxies {
        println!("  {}: clients at {}, management at {}", proxy.process.name, proxy.listen, proxy.management);
    }
    println!("try:  {} rollout plan {}", program.display(), file.display());
    println!("      {} rollout start {}", program.display(), file.display());
    println!("new settings: {}", new.display());
    tokio::signal::ctrl_c().await.map_err(|e| e.to_string())
}
