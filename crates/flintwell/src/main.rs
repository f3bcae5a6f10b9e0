//! flintwell: a sidecar proxy that distributes keys over cache nodes in front of a slow origin.

mod clients;
mod fleet;
mod management;
mod memory;
mod nodes;
mod process;
mod requests;

use clap::{Parser, Subcommand};
use process::{config, serve};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(version, about = "Sidecar proxy that distributes keys over cache nodes in front of a slow origin")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve requests until SIGTERM
    Serve {
        /// Configuration file (JSON)
        #[arg(long, env = "EDGE_CONFIG")]
        config: PathBuf,
    },
    /// Validate a configuration file and print a summary
    Check {
        /// Configuration file (JSON)
        #[arg(env = "EDGE_CONFIG")]
        config: PathBuf,
    },
    /// Change the settings of a fleet in stages, stopping if a stage performs worse
    Rollout {
        #[command(subcommand)]
        command: flintwell_conduct::Command,
    },
    /// Show the state of the fleet as seen by one proxy
    Fleet {
        #[command(subcommand)]
        command: management::fleet_status::Command,
    },
    /// Hold the listening socket for clients and run versions of the program on it
    Supervise {
        /// Configuration file (TOML)
        #[arg(long)]
        config: PathBuf,
    },
    /// Print the version
    Version,
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Serve { config } => config::load(&config).and_then(|loaded| serve::serve(loaded, config)),
        Command::Check { config } => config::load(&config).map(|config| println!("{config}")),
        Command::Supervise { config } => flintwell_supervise::supervise(&config),
        Command::Fleet { command } => management::fleet_status::run(&command),
        Command::Rollout { command } => return rollout(command),
        Command::Version => {
            println!("flintwell {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match result {
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
        Err(errors) => {
            errors.iter().for_each(|error| eprintln!("flintwell: {error}"));
            ExitCode::from(2)
        }
    }
}
