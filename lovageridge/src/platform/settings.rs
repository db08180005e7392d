//! The settings file that the platform writes: lines of the form `a.b=value`.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::str::FromStr;

use crate::gateway::settings::GatewaySettings;
use crate::gateway::settings::GatewaySettingsBuilder;
use crate::platform::Error;
use crate::sorted::Table;

/// Environment variable with the path of the settings file.
pub const PATH_VARIABLE: &str = "LOVAGERIDGE_CONFIG";
/// Path of the settings file when the variable is not set.
pub const DEFAULT_PATH: &str = "/etc/lovageridge/settings.conf";

/// Returns the path of the settings file.
pub fn path() -> String {
    std::env::var(PATH_VARIABLE).unwrap_or_else(|_| DEFAULT_PATH.to_owned())
}

/// Reads the settings of an instance; unknown keys are ignored.
///
/// # Errors
/// Returns the first key that is missing or has no usable value.
pub fn parse(text: &str) -> Result<GatewaySettings, Error> {
    let rows: Table<&str, &str> =
        text.lines().filter_map(|line| line.trim().split_once('=')).collect();
    let ip: IpAddr = required(&rows, "Ip")?;
    let ports = rows.get("InternalPorts").copied().unwrap_or_default();
    let peers_port = ports
        .split(',')
        .next()
        .and_then(|port| port.trim().parse::<u16>().ok())
        .ok_or_else(|| Error::field("InternalPorts", "is not two ports such as 7380,7395"))?;
    let seeds = rows.get("Seeds").copied().unwrap_or_default();
    // The port for peers is the same on all machines, so only the address of a seed matters.
    let seeds = seeds.split(',').filter_map(|seed| seed.trim().parse::<SocketAddr>().ok());
    let seeds: Vec<SocketAddr> = seeds.map(|seed| SocketAddr::new(seed.ip(), peers_port)).collect();
    let builder = GatewaySettingsBuilder::new(
        required::<String>(&rows, "NodeName")?,
        required::<String>(&rows, "Zone")?,
    )
    .callers_addr(required(&rows, "Listen.Front")?)
    .ready_addr(required(&rows, "Listen.Ready")?)
    .peers_addr(SocketAddr::new(ip, peers_port))
    .metrics_addr(SocketAddr::new(ip, peers_port + 1))
    .store_addr(required(&rows, "Platform.Address")?)
    .seeds(seeds)
    .lease_ms(optional(&rows, "Bounds.LeaseMs", 3000)?)
    .grace_ms(seconds_ms(&rows, "Bounds.GraceS", 8.0)?)
    .retry_ratio(optional(&rows, "Bounds.RetryBudgetRatio", 0.2)?)
    .retry_slack(optional(&rows, "Bounds.BudgetSlack", 50)?)
    .retry_window_ms(seconds_ms(&rows, "Bounds.BudgetWindowS", 10.0)?)
    .load_window_ms(seconds_ms(&rows, "Bounds.CeilingWindowS", 5.0)?)
    .workers_check(optional(&rows, "Bounds.RequireFence", false)?);
    Ok(builder.build())
}

fn required<T: FromStr>(rows: &Table<&str, &str>, key: &'static str) -> Result<T, Error> {
    let value = rows.get(key).ok_or_else(|| Error::field(key, "is missing"))?;
    value.trim().parse().map_err(|_| Error::field(key, format!("{value:?} cannot be used")))
}

fn optional<T: FromStr>(
    rows: &Table<&str, &str>,
    key: &'static str,
    default: T,
) -> Result<T, Error> {
    if rows.contains(key) { required(rows, key) } else { Ok(default) }
}

fn seconds_ms(rows: &Table<&str, &str>, key: &'static str, default_s: f64) -> Result<u64, Error> {
    let value_s: f64 = optional(rows, key, default_s)?;
    Ok((value_s * 1000.0) as u64)
}
