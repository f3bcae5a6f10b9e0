//! flintwell: a sidecar that spreads keys over cache servers before a slow origin.

mod clients;
mod fleet;
mod nodes;
mod process;
mod requests;
mod staff;

use clap::{Parser, Subcommand};
use process::{config, serve};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(version, about = "Spreads keys over cache servers before a slow origin")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serves requests until SIGTERM
    Serve {
        /// The configuration, a JSON file
        #[arg(long, env = "EDGE_CONFIG")]
        config: PathBuf,
    },
    /// Checks a configuration and says what it holds
    Check {
        /// The configuration, a JSON file
        #[arg(env = "EDGE_CONFIG")]
        config: PathBuf,
    },
    /// Changes the settings of a fleet in stages, and stops when a stage does worse
    Rollout {
        #[command(subcommand)]
        command: flintwell_conduct::Command,
    },
    /// Shows what a proxy knows of its fleet
    Fleet {
        #[command(subcommand)]
        command: staff::fleet_status::Command,
    },
    /// Holds the clients' socket and runs versions of the program at it
    Supervise {
        /// A TOML file
        #[arg(long)]
        config: PathBuf,
    },
    /// Prints the version
    Version,
}

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        Command::Serve { config } => config::read(&config).and_then(|read| serve::serve(read, config)),
        Command::Check { config } => config::read(&config).map(|config| println!("{config}")),
        Command::Supervise { config } => flintwell_supervise::supervise(&config),
        Command::Fleet { command } => staff::fleet_status::run(&command),
        Command::Rollout { command } => return rollout(command),
        Command::Version => {
            println!("flintwell {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("flintwell: {error}");
            ExitCode::FAILURE
        }
    }
}

fn rollout(command: flintwell_conduct::Command) -> ExitCode {
    match flintwell_conduct::run(command) {
        Ok(code) => ExitCode::from(code),
        Err(wrong) => {
            wrong.iter().for_each(|one| eprintln!("flintwell: {one}"));
            ExitCode::from(2)
        }
    }
}
