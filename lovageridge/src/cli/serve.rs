//! `lovageridge serve`: runs an instance until SIGINT or SIGTERM.

use anyhow::Context as _;
use log::LevelFilter;
use log::info;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use simplelog::ColorChoice;
use simplelog::ConfigBuilder;
use simplelog::TermLogger;
use simplelog::TerminalMode;

use crate::cli::EXIT_INVALID;
use crate::cli::Exit;
use crate::cli::options::ServeOptions;
use crate::instance::Instance;
use crate::settings::Settings;
use crate::telemetry::events;

/// Runs the instance.
///
/// # Errors
/// Returns faults of the settings, or why the instance could not start.
pub fn run(options: &ServeOptions) -> Result<(), Exit> {
    let text = std::fs::read_to_string(&options.settings)
        .with_context(|| format!("cannot read {}", options.settings))?;
    let settings = Settings::parse(&text).map_err(|faults| {
        let lines: Vec<String> =
            faults.iter().map(|fault| format!("{}: {fault}", options.settings)).collect();
        Exit::new(EXIT_INVALID, lines.join("\n"))
    })?;
    start_log(options.log_level)?;
    let mut signals = Signals::new([SIGINT, SIGTERM]).context("cannot watch signals")?;
    let instance_id = settings.instance_id.clone();
    let detail = format!("callers={} admin={}", settings.callers_addr, settings.admin_addr);
    let instance = Instance::start(settings).map_err(anyhow::Error::from)?;
    info!("{}", events::READY.text(&instance_id, &detail));
    signals.forever().next();
    instance.shut_down();
    Ok(())
}

/// Starts the log on standard error, with times in UTC.
fn start_log(level: LevelFilter) -> Result<(), anyhow::Error> {
    let config = ConfigBuilder::new().set_time_format_rfc3339().build();
    TermLogger::init(level, config, TerminalMode::Stderr, ColorChoice::Never)
        .context("cannot start the log")
}
