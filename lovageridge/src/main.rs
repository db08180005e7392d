//! Command of lovageridge.

use std::process::ExitCode;

fn main() -> ExitCode {
    lovageridge::cli::run()
}
