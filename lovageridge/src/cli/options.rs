//! Arguments of the commands.

use std::net::SocketAddr;

use gumdrop::Options;

use crate::ini::closest_name;

/// Names of all commands and flags, for suggestions.
const KNOWN_NAMES: [&str; 25] = [
    "serve",
    "gateway",
    "check",
    "publish",
    "sections",
    "status",
    "drain",
    "version",
    "--help",
    "--settings",
    "--platform-settings",
    "--document",
    "--configuration",
    "--against",
    "--strict",
    "--admin",
    "--token",
    "--file",
    "--edit-id",
    "--section",
    "--base",
    "--json",
    "--prefix",
    "--explain",
    "--log-level",
];

/// lovageridge, a serving system for rarely used models.
#[derive(Debug, Options)]
pub struct CommandLine {
    /// print help
    pub help: bool,
    /// the command
    #[options(command)]
    pub command: Option<Command>,
}

/// The commands.
#[derive(Debug, Options)]
pub enum Command {
    /// run an instance
    Serve(ServeOptions),
    /// run an instance on the users' platform
    Gateway(GatewayOptions),
    /// check settings or a document and print every fault
    Check(CheckOptions),
    /// publish a document: all sections that differ, as one edit
    Publish(PublishOptions),
    /// print sections, or edit one
    Sections(SectionsOptions),
    /// print the status of an instance
    Status(StatusOptions),
    /// make an instance report to the load balancer that it is not ready
    Drain(DrainOptions),
    /// print the version
    Version(VersionOptions),
}

/// Arguments of `serve`.
#[derive(Debug, Options)]
pub struct ServeOptions {
    /// print help
    pub help: bool,
    /// file with the settings of the instance
    #[options(required, no_short, meta = "FILE")]
    pub settings: String,
    /// minimum severity of logged events: error, warn, info, debug
    #[options(no_short, meta = "LEVEL", default = "info")]
    pub log_level: log::LevelFilter,
}

/// Arguments of `gateway`.
#[derive(Debug, Options)]
pub struct GatewayOptions {
    /// print help
    pub help: bool,
    /// settings file, instead of the one that the platform names
    #[options(no_short, meta = "FILE")]
    pub settings: Option<String>,
}

/// Arguments of `check`.
#[derive(Debug, Options)]
pub struct CheckOptions {
    /// print help
    pub help: bool,
    /// file with the settings of an instance
    #[options(no_short, meta = "FILE")]
    pub settings: Option<String>,
    /// settings file of the platform
    #[options(no_short, meta = "FILE")]
    pub platform_settings: Option<String>,
    /// file with the venture's document
    #[options(no_short, meta = "FILE")]
    pub document: Option<String>,
    /// file with the operator's configuration for the users' platform; checked alone
    #[options(no_short, meta = "FILE")]
    pub configuration: Option<String>,
    /// with --configuration: file with the version in force, to print the differences
    #[options(no_short, meta = "FILE")]
    pub against: Option<String>,
    /// with --configuration: exit with 2 if there are only warnings
    #[options(no_short)]
    pub strict: bool,
    /// print faults as JSON
    #[options(no_short)]
    pub json: bool,
}

/// Arguments of `publish`.
#[derive(Debug, Options)]
pub struct PublishOptions {
    /// print help
    pub help: bool,
    /// administration port of an instance
    #[options(required, no_short, meta = "IP:PORT")]
    pub admin: Option<SocketAddr>,
    /// file that holds the team's token
    #[options(no_short, meta = "FILE")]
    pub token: Option<String>,
    /// file with the venture's document
    #[options(required, no_short, meta = "FILE")]
    pub file: String,
    /// name of the edit; sending the same name again applies it once
    #[options(no_short, meta = "ID")]
    pub edit_id: Option<String>,
}

/// Arguments of `sections`.
#[derive(Debug, Options)]
pub struct SectionsOptions {
    /// print help
    pub help: bool,
    /// administration port of an instance
    #[options(required, no_short, meta = "IP:PORT")]
    pub admin: Option<SocketAddr>,
    /// file that holds the team's token
    #[options(no_short, meta = "FILE")]
    pub token: Option<String>,
    /// section to print or edit
    #[options(no_short, meta = "NAME")]
    pub section: Option<String>,
    /// print only sections whose names start with this text
    #[options(no_short, meta = "TEXT")]
    pub prefix: Option<String>,
    /// file with the new body of the section
    #[options(no_short, meta = "FILE")]
    pub file: Option<String>,
    /// version of the section that the edit is based on
    #[options(no_short, meta = "VERSION")]
    pub base: Option<u64>,
    /// name of the edit; sending the same name again applies it once
    #[options(no_short, meta = "ID")]
    pub edit_id: Option<String>,
    /// print JSON
    #[options(no_short)]
    pub json: bool,
}

/// Arguments of `status`.
#[derive(Debug, Options)]
pub struct StatusOptions {
    /// print help
    pub help: bool,
    /// administration port of an instance
    #[options(required, no_short, meta = "IP:PORT")]
    pub admin: Option<SocketAddr>,
    /// file that holds the team's token
    #[options(no_short, meta = "FILE")]
    pub token: Option<String>,
    /// explain why this model is or is not loaded
    #[options(no_short, meta = "MODEL")]
    pub explain: Option<String>,
}

/// Arguments of `drain`.
#[derive(Debug, Options)]
pub struct DrainOptions {
    /// print help
    pub help: bool,
    /// administration port of the instance
    #[options(required, no_short, meta = "IP:PORT")]
    pub admin: Option<SocketAddr>,
    /// file that holds the team's token
    #[options(no_short, meta = "FILE")]
    pub token: Option<String>,
}

/// Arguments of `version`.
#[derive(Debug, Options)]
pub struct VersionOptions {
    /// print help
    pub help: bool,
}

/// Returns the help text of the command in `command_line`, or of all commands if it has none.
pub fn help(command_line: &CommandLine) -> String {
    match command_line.command.as_ref() {
        Some(command) => {
            let name = command.command_name().unwrap_or_default();
            format!("Usage: lovageridge {name} [OPTIONS]\n\n{}", command.self_usage())
        }
        None => format!(
            "Usage: lovageridge COMMAND [OPTIONS]\n\n{}\n\nCommands:\n{}\n\n\
             Exit codes: 0 done, 1 failed, 2 usage, 3 faults found, 4 edit refused;\n\
             check --configuration: 1 errors, 2 warnings with --strict.",
            CommandLine::usage(),
            CommandLine::command_list().unwrap_or_default()
        ),
    }
}

/// Adds the most similar known name to a message about an unknown one.
pub fn with_hint(message: &str, arguments: &[String]) -> String {
    let unknown = arguments.iter().find(|a| {
        let name = a.split('=').next().unwrap_or_default();
        message.contains(name.trim_start_matches('-')) && !KNOWN_NAMES.contains(&name)
    });
    let hint = unknown.and_then(|name| closest_name(name.split('=').next()?, KNOWN_NAMES));
    match hint {
        Some(name) => format!("{message}; did you mean '{name}'?"),
        None => message.to_owned(),
    }
}
