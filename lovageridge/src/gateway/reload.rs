//! Reloads the settings while an instance runs.

use std::time::Duration;

use tokio::signal::unix::Signal;

use crate::gateway::Gateway;
use crate::gateway::eventlog::Severity;
use crate::gateway::settings::GatewaySettings;
use crate::telemetry::events;

/// Interval at which the settings are read without a signal. A change is applied after two reads,
/// both within the time allowed for a new configuration.
const POLL_INTERVAL: Duration = Duration::from_millis(700);

/// Current settings, or why they cannot be used.
pub type LoadedSettings = Result<GatewaySettings, String>;

/// Applies changed settings until the process ends: at once after a signal, otherwise when two
/// consecutive reads agree, since a single read may see a partly written file.
pub async fn run(gateway: &Gateway, read: impl Fn() -> LoadedSettings, mut hangup: Signal) {
    let mut applied: LoadedSettings = Ok((*gateway.settings()).clone());
    let mut previous = applied.clone();
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(POLL_INTERVAL) => false,
        };
        let newest = read();
        if signalled || newest == previous && newest != applied {
            let result = apply(gateway, &newest);
            let line = gateway.log.line(events::SETTINGS_READ, Severity::Notable);
            line.text("result", result).text("signal", signalled).emit();
            applied.clone_from(&newest);
        }
        previous = newest;
    }
}

fn apply(gateway: &Gateway, newest: &LoadedSettings) -> String {
    let newest = match newest {
        Ok(newest) => newest,
        Err(reason) => return format!("kept the settings in force: {reason}"),
    };
    let in_force = gateway.settings();
    let updated = in_force.updated_with(newest.clone());
    let needs_restart = updated != *newest;
    let changed = updated != *in_force;
    if changed {
        gateway.apply_settings(updated);
    }
    match (changed, needs_restart) {
        (false, false) => "unchanged",
        (true, false) => "in force",
        (_, true) => "in force, but for the name, the domain and the ports, which need a restart",
    }
    .to_owned()
}
