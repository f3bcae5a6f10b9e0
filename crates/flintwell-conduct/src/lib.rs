//! The `flintwell rollout` commands: runs a rollout, calls the members over HTTP and keeps the journal on disk. The
//! decisions are made in `flintwell-rollout`.

mod key_homes;
mod member_client;
mod run;
mod store;

use clap::Subcommand;
use std::path::{Path, PathBuf};

/// Subcommands of `flintwell rollout`.
#[derive(Subcommand)]
pub enum Command {
    /// Show what a rollout would do without changing anything
    Plan { plan: PathBuf },
    /// Start a rollout, or resume an interrupted one, and run it to its end
    Start { plan: PathBuf },
    /// Show the state of a rollout
    Status {
        plan: PathBuf,
        /// Print the state as a JSON object
        #[arg(long)]
        json: bool,
    },
    /// Start no further stage; members that have the change keep it
    Pause { plan: PathBuf },
    /// Resume a paused rollout
    Resume { plan: PathBuf },
    /// Revert the change on all members while the rollout is in progress
    Abort { plan: PathBuf },
    /// Revert the change on all members after the rollout is done
    Undo { plan: PathBuf },
}

/// Runs a command and returns its exit code: 0 done, 1 reverted or rejected by a member. After an error, for which the
/// program exits with 2, nothing has changed unless the journal could not be written during a rollout.
pub fn run(command: Command) -> Result<u8, Vec<String>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| vec![error.to_string()])?;
    match command {
        Command::Plan { plan } => runtime.block_on(run::plan(&plan)),
        Command::Start { plan } => runtime.block_on(run::start(&plan)),
        Command::Status { plan, json } => store::print_status(&state_folder(&plan), json),
        Command::Pause { plan } => store::submit_order(&state_folder(&plan), store::Order::Pause),
        Command::Resume { plan } => store::submit_order(&state_folder(&plan), store::Order::Resume),
        Command::Abort { plan } => store::submit_order(&state_folder(&plan), store::Order::Abort),
        Command::Undo { plan } => runtime.block_on(run::undo(&plan)),
    }
}

/// The folder with the state of a rollout, next to its plan file.
fn state_folder(plan: &Path) -> PathBuf {
    let mut name = plan.file_name().unwrap_or_default().to_owned();
    name.push(".state");
    plan.with_file_name(name)
}
