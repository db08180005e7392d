//! The `lovageridge` command.

use std::process::ExitCode;

fn main() -> ExitCode {
    lovageridge::cli::run()
}
