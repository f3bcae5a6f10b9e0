//! flintwell: a sidecar that spreads keys over cache servers before a slow origin.

mod accept;
mod access;
mod answer;
mod body;
mod carry;
mod clock;
mod config;
mod counts;
mod decode;
mod desk;
mod discovery;
mod framing;
mod front;
mod handoff;
mod handover;
mod inherit;
mod link;
mod log;
mod management;
mod pool;
mod relay;
mod reload;
mod roster;
mod serve;
mod shutdown;
mod store;
mod stream;
mod succession;
mod watch;

use clap::{Parser, Subcommand};
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
    /// Serves accesses until SIGTERM
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
    /// Prints the version
    Version,
}

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        Command::Serve { config } => config::read(&config).and_then(|read| serve::serve(read, config)),
        Command::Check { config } => config::read(&config).map(|config| println!("{config}")),
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
