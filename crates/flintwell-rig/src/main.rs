//! flintwell-rig: plays a plan of faults on several real processes and judges the rules over all of them.

use clap::{Parser, Subcommand};
use flintwell_rig::fleet::{Fleet, FleetSpec};
use flintwell_rig::plan::{Outcome, Plan};
use flintwell_rig::{days, record, rollouts, soak};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

#[derive(Parser)]
#[command(version, about = "Several processes of flintwell on loopback, with faults between them")]
struct Arguments {
    /// The program that each proxy runs
    #[arg(long, global = true, default_value = "target/release/flintwell")]
    program: PathBuf,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Starts a small fleet with light traffic to try things on, until Ctrl-C
    Try {
        #[arg(long, default_value_t = 3)]
        proxies: usize,
    },
    /// Plays a plan once and prints what happened, second by second
    Run {
        plan: PathBuf,
        /// Another seed than the plan's
        #[arg(long)]
        seed: Option<u64>,
        /// Prints one JSON object
        #[arg(long)]
        json: bool,
        /// A folder for the plan as it was played, one merged timeline and the figures
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Plays again what `run --out` left in a folder, and shows both plays side by side
    Replay { folder: PathBuf },
    /// Rolls out many changes, good and bad, each on a fresh fleet, and says how each went
    Rollouts {
        #[arg(long, default_value_t = 24)]
        proxies: usize,
        /// How many
        #[arg(long, default_value_t = 40)]
        count: u64,
        /// The first seed
        #[arg(long, default_value_t = 0)]
        from: u64,
        /// One JSON object a line, for each rollout
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Plays days of cuts, losses, pauses, kills and faults drawn by their seed, on proxies that speak to one another
    Days {
        #[arg(long, default_value_t = 9)]
        proxies: usize,
        /// How many
        #[arg(long, default_value_t = 100)]
        count: u64,
        /// The first seed
        #[arg(long, default_value_t = 0)]
        from: u64,
        /// One JSON object a line, for each day
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Plays days of overlapping faults round a discovery that has too many callers: silences, resets, drains, restarts
    Soak {
        #[arg(long, default_value_t = 24)]
        proxies: usize,
        /// How many
        #[arg(long, default_value_t = 20)]
        count: u64,
        /// The first seed
        #[arg(long, default_value_t = 0)]
        from: u64,
    },
    /// Kills the one who rolls out, and members, at random points, and looks whether the fleet is whole afterwards
    Kills {
        #[arg(long, default_value_t = 6)]
        proxies: usize,
        /// Of the one who rolls out
        #[arg(long, default_value_t = 100)]
        count: usize,
    },
    /// Plays a plan with many seeds and prints what breaks
    Sweep {
        plan: PathBuf,
        /// How many, from the plan's own on
        #[arg(long, default_value_t = 10)]
        seeds: u64,
    },
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build();
    let done = match runtime {
        Ok(runtime) => runtime.block_on(ended_or(run(&arguments))),
        Err(error) => Err(error.to_string()),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("flintwell-rig: {error}");
            ExitCode::from(2)
        }
    }
}

/// Danger: ended by a signal we would leave our processes behind; dropped, a fleet ends them by their ids.
async fn ended_or(run: impl Future<Output = Result<bool, String>>) -> Result<bool, String> {
    let mut ends = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
    tokio::select! {
        done = run => done,
        _ = ends.recv() => Err("ended by a signal".into()),
    }
}

/// Whether all rules were kept.
async fn run(arguments: &Arguments) -> Result<bool, String> {
    let folder = tempfile::tempdir().map_err(|e| format!("a folder for files: {e}"))?;
    match &arguments.command {
        Command::Try { proxies } => {
            try_out(*proxies, &arguments.program, folder.path()).await?;
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
                shows(&outcome);
            }
            Ok(outcome.breaches.is_empty())
        }
        Command::Replay { folder: left } => {
            let (plan, before) = record::read_run(left)?;
            let outcome = plan.run(&arguments.program, folder.path()).await?;
            println!("{:12} {:>9} {:>9}", "seed", before.seed, outcome.seed);
            for ((what, then), (_, now)) in record::totals(&before).into_iter().zip(record::totals(&outcome))
            {
                println!("{what:12} {then:9} {now:9}");
            }
            println!("{:12} {:9} {:9}", "breaches", before.breaches.len(), outcome.breaches.len());
            outcome.breaches.iter().for_each(|one| println!("rule {}: {}", one.rule, one.what));
            Ok(outcome.breaches.is_empty())
        }
        Command::Rollouts { proxies, count, from, out } => {
            let mut shape = FleetSpec { proxies: *proxies, ..FleetSpec::default() };
            shape.zones = ["a", "b", "c"].map(str::to_owned).into();
            shape.load.rate = 30.0;
            let mut lines = String::new();
            let (mut right, mut lost) = (0, 0);
            for seed in *from..from + count {
                let below = folder.path().join(seed.to_string());
                std::fs::create_dir_all(&below).map_err(|e| e.to_string())?;
                let rolled = rollouts::run_rollout(seed, &shape, &arguments.program, &below).await?;
                println!(
                    "{:3} {:4} {:34} {:12} {} {:2} of {} in {:5.1} s, harmed {:5.1} s {:5.3}, lost {} {}",
                    seed,
                    if rolled.good { "good" } else { "bad" },
                    rolled.change,
                    format!("{:?}", rolled.concurrent_fault),
                    if rolled.is_correct() { "right" } else { "WRONG" },
                    rolled.reached,
                    rolled.members,
                    rolled.took_s,
                    rolled.harmed_s,
                    rolled.not_served,
                    rolled.lost,
                    rolled.why
                );
                rolled
                    .breaches
                    .iter()
                    .take(3)
                    .for_each(|one| println!("    rule {}: {}", one.rule, one.what));
                (right, lost) = (right + u64::from(rolled.is_correct()), lost + rolled.lost);
                lines += &(serde_json::to_string(&rolled).map_err(|e| e.to_string())? + "\n");
            }
            println!("{right} of {count} right, {lost} requests lost");
            if let Some(out) = out {
                std::fs::write(out, lines).map_err(|e| format!("{}: {e}", out.display()))?;
            }
            Ok(right == *count && lost == 0)
        }
        Command::Days { proxies, count, from, out } => {
            let zones = ["a", "b", "c"].map(str::to_owned).into();
            let shape = FleetSpec { proxies: *proxies, zones, peer_messaging: true, ..FleetSpec::default() };
            let (mut kept, mut lines) = (0, String::new());
            for seed in *from..from + count {
                let below = folder.path().join(seed.to_string());
                let day = days::run_day(seed, &shape, &arguments.program, &below).await?;
                let whole = day.converged_after_s.map_or("never".into(), |whole| format!("{whole:.1} s"));
                let (all, well) = (day.requests, day.served);
                println!(
                    "{seed:4}: {all} requests, {well} served, {} breaches, whole {whole}",
                    day.breaches.len()
                );
                day.breaches.iter().take(3).for_each(|one| println!("    rule {}: {}", one.rule, one.what));
                kept += u64::from(day.breaches.is_empty() && day.converged_after_s.is_some());
                lines += &(serde_json::to_string(&day).map_err(|e| e.to_string())? + "\n");
            }
            println!("{kept} of {count} with all rules kept and the fleet whole afterwards");
            if let Some(out) = out {
                std::fs::write(out, lines).map_err(|e| format!("{}: {e}", out.display()))?;
            }
            Ok(kept == *count)
        }
        Command::Soak { proxies, count, from } => {
            let mut kept = 0;
            for seed in *from..from + count {
                let below = folder.path().join(format!("soak-{seed}"));
                let day = soak::run_day(seed, *proxies, &arguments.program, &below).await?;
                println!(
                    "{seed:4}: {} requests, {} served, {} lapses, lists {:.1} s old, ready in {:.1} s",
                    day.requests, day.served, day.lease_lapses, day.oldest_list_s, day.ready_s
                );
                day.violations.iter().take(5).for_each(|one| println!("    {one}"));
                if !day.violations.is_empty() {
                    println!("    {}", serde_json::to_string(&day.events).map_err(|e| e.to_string())?);
                }
                kept += u64::from(day.violations.is_empty());
            }
            println!("{kept} of {count} with all rules kept");
            Ok(kept == *count)
        }
        Command::Kills { proxies, count } => {
            let mut shape = FleetSpec { proxies: *proxies, ..FleetSpec::default() };
            shape.zones = ["a", "b"].map(str::to_owned).into();
            shape.load.rate = 60.0;
            let killed = rollouts::run_kills(*count, &shape, &arguments.program, folder.path()).await?;
            println!("{}", serde_json::to_string(&killed).map_err(|e| e.to_string())?);
            Ok(killed.inconsistent == 0 && killed.lost == 0)
        }
        Command::Sweep { plan, seeds } => {
            let first = Plan::read(plan)?;
            let mut kept = 0;
            for n in 0..*seeds {
                let plan = Plan { seed: first.seed + n, ..first.clone() };
                let below = folder.path().join(n.to_string());
                let outcome = plan.run(&arguments.program, &below).await?;
                kept += u64::from(outcome.breaches.is_empty());
                let all: usize = outcome.seconds.iter().map(|second| second.requests).sum();
                let well: usize = outcome.seconds.iter().map(|second| second.served).sum();
                let fetched: usize = outcome.seconds.iter().map(|second| second.fetches).sum();
                let refused: usize = outcome.seconds.iter().map(|second| second.origin_refused).sum();
                println!(
                    "seed {}: {all} requests, {well} served, {refused} refused for {fetched} fetched, {} breaches",
                    plan.seed,
                    outcome.breaches.len()
                );
                outcome
                    .breaches
                    .iter()
                    .take(5)
                    .for_each(|breach| println!("  rule {}: {}", breach.rule, breach.what));
            }
            println!("{kept} of {seeds} seeds with all rules kept");
            Ok(kept == *seeds)
        }
    }
}

fn shows(outcome: &Outcome) {
    println!("second requests served refused failed unanswered attempts fetches refused-there");
    for (n, one) in outcome.seconds.iter().enumerate() {
        println!(
            "{n:6} {:8} {:8} {:11} {:10} {:10} {:9} {:7} {:7}",
            one.requests,
            one.served,
            one.refused,
            one.failed,
            one.unanswered,
            one.attempts,
            one.fetches,
            one.origin_refused
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

/// A fleet to try a rollout on: its members as a plan, and what to type.
async fn try_out(proxies: usize, program: &Path, folder: &Path) -> Result<(), String> {
    let mut shape = FleetSpec { proxies, zones: vec!["a".into(), "b".into()], ..FleetSpec::default() };
    shape.load.rate = 40.0;
    let fleet_name = shape.fleet_name.clone();
    let mut fleet = Fleet::start(shape, program, folder).await?;
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
        "{proxies} proxies, {} nodes, light traffic; Ctrl-C ends all",
        fleet.backends.node_specs().len()
    );
    for proxy in &fleet.proxies {
        println!("  {}: clients at {}, staff at {}", proxy.process.name, proxy.listen, proxy.management);
    }
    println!("try:  {} rollout plan {}", program.display(), file.display());
    println!("      {} rollout start {}", program.display(), file.display());
    println!("new settings: {}", new.display());
    tokio::signal::ctrl_c().await.map_err(|e| e.to_string())
}
