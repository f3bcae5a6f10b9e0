//! Hosts policy instances for a simulator: reads batches of events from standard input, passes them to the instances,
//! and writes the resulting actions to standard output.

mod wire;

use std::io::{BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let (mut input, mut output) = (std::io::stdin().lock(), std::io::stdout().lock());
    let mut instances = wire::Instances::default();
    let mut line = Vec::new();
    let mut line_number = 0u64;
    loop {
        line.clear();
        line_number += 1;
        match input.read_until(b'\n', &mut line) {
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) => {}
            Err(error) => return report_failure(line_number, &error),
        }
        if line.trim_ascii().is_empty() {
            continue;
        }
        let reply = match instances.process_batch(&line) {
            Ok(reply) => reply,
            Err(error) => return report_failure(line_number, &error),
        };
        if let Err(error) = output.write_all(&reply).and_then(|()| output.flush()) {
            return report_failure(line_number, &error);
        }
    }
}

fn report_failure(line_number: u64, error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("flintwell-simhost: line {line_number}: {error}");
    ExitCode::FAILURE
}
