//! The settings file that the platform writes: lines of the form `a.b=value`.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::str::FromStr;

use crate::gateway::settings;
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
    let seeds = seeds.split(',').map(str::trim).filter(|seed| !seed.is_empty());
    let seeds = seeds
        .map(|seed| match seed.parse::<SocketAddr>() {
            Ok(addr) => Ok(SocketAddr::new(addr.ip(), peers_port)),
            Err(_) => Err(Error::field("Seeds", format!("{seed:?} is no IP and port"))),
        })
        .collect::<Result<Vec<_>, _>>()?;
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
    .lease_ms(optional(&rows, "Bounds.LeaseMs", settings::DEFAULT_LEASE_MS)?)
    .grace_ms(thousandths(&rows, "Bounds.GraceS", settings::DEFAULT_GRACE_MS)?)
    .retry_permille(thousandths(
        &rows,
        "Bounds.RetryBudgetRatio",
        settings::DEFAULT_RETRY_PERMILLE,
    )?)
    .retry_slack(optional(&rows, "Bounds.BudgetSlack", settings::DEFAULT_RETRY_SLACK)?)
    .retry_window_ms(thousandths(&rows, "Bounds.BudgetWindowS", settings::DEFAULT_RETRY_WINDOW_MS)?)
    .load_window_ms(thousandths(&rows, "Bounds.CeilingWindowS", settings::DEFAULT_LOAD_WINDOW_MS)?)
    .workers_check(optional(&rows, "Bounds.RequireFence", false)?)
    .cpu_permille(thousandths(&rows, "Limits.CpuShare", settings::DEFAULT_CPU_PERMILLE)?);
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

/// Returns a fraction in 1/1000, such as seconds in ms.
fn thousandths(rows: &Table<&str, &str>, key: &'static str, default: u64) -> Result<u64, Error> {
    if !rows.contains(key) {
        return Ok(default);
    }
    let value: f64 = required(rows, key)?;
    Ok((value * 1000.0) as u64)
}
