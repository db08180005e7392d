//! `lovageridge gateway`: runs an instance on the users' platform.

use anyhow::Context as _;

use crate::cli::EXIT_INVALID;
use crate::cli::Exit;
use crate::cli::options::GatewayOptions;
use crate::gateway::run;
use crate::gateway::settings::GatewaySettings;
use crate::platform::settings;

/// Runs the instance.
///
/// # Errors
/// Returns faults of the settings, or why the instance could not start.
pub fn run(options: &GatewayOptions) -> Result<(), Exit> {
    let path = options.settings.clone().unwrap_or_else(settings::path);
    let settings = read(&path)?;
    let reload = move || read(&path).map_err(|exit| exit.message);
    run::run(settings, reload).map_err(anyhow::Error::from)?;
    Ok(())
}

/// Reads the settings file at `path`.
///
/// # Errors
/// Returns why the file cannot be read, or its first fault.
pub fn read(path: &str) -> Result<GatewaySettings, Exit> {
    let text = std::fs::read_to_string(path).with_context(|| format!("cannot read {path}"))?;
    settings::parse(&text).map_err(|fault| Exit::new(EXIT_INVALID, format!("{path}: {fault}")))
}
