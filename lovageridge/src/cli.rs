//! The command line: arguments, exit codes and commands.

pub mod check;
pub mod configuration;
pub mod gateway;
pub mod options;
pub mod remote;
pub mod serve;

use std::process::ExitCode;

use gumdrop::Options;

use crate::cli::options::Command;
use crate::cli::options::CommandLine;

/// Exit code of a command that failed.
pub const EXIT_FAILED: u8 = 1;
/// Exit code of invalid arguments.
pub const EXIT_USAGE: u8 = 2;
/// Exit code of a configuration that has only warnings, if these are to fail.
pub const EXIT_WARNINGS: u8 = 2;
/// Exit code of settings or a document with faults.
pub const EXIT_INVALID: u8 = 3;
/// Exit code of an edit that was refused.
pub const EXIT_REFUSED: u8 = 4;

/// The exit code and message of a command that failed.
#[derive(Debug)]
pub struct Exit {
    /// Exit code; one of the `EXIT_` constants.
    pub code: u8,
    /// Message printed on standard error.
    pub message: String,
}

impl Exit {
    /// Returns a failure with the given exit code and message.
    pub fn new(code: u8, message: impl Into<String>) -> Self {
        Self { code, message: message.into() }
    }
}

impl From<anyhow::Error> for Exit {
    fn from(error: anyhow::Error) -> Self {
        Self::new(EXIT_FAILED, format!("{error:#}"))
    }
}

/// Runs the command that the arguments name.
pub fn run() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run_with(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(exit) => {
            eprintln!("lovageridge: {}", exit.message);
            ExitCode::from(exit.code)
        }
    }
}

fn run_with(arguments: &[String]) -> Result<(), Exit> {
    let command_line = CommandLine::parse_args_default(arguments)
        .map_err(|e| Exit::new(EXIT_USAGE, options::with_hint(&e.to_string(), arguments)))?;
    if command_line.help_requested() || command_line.command.is_none() {
        println!("{}", options::help(&command_line));
        return if command_line.help_requested() {
            Ok(())
        } else {
            Err(Exit::new(EXIT_USAGE, "a command is missing"))
        };
    }
    match command_line.command {
        Some(Command::Serve(options)) => serve::run(&options),
        Some(Command::Gateway(options)) => gateway::run(&options),
        Some(Command::Check(options)) => check::run(&options),
        Some(Command::Publish(options)) => remote::publish(&options),
        Some(Command::Sections(options)) => remote::sections(&options),
        Some(Command::Status(options)) => remote::status(&options),
        Some(Command::Drain(options)) => remote::drain(&options),
        Some(Command::Version(_)) => {
            println!("lovageridge {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        None => Ok(()),
    }
}
