//! Parser of the settings file that the platform writes: lines of the form `a.b=value`.

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

/// Parses the settings of an instance. Unknown keys are ignored, so that the platform can add some.
///
/// # Errors
/// Returns an error that names the first key found to be missing or unusable; an instance then does not
/// start, or keeps the settings that it has.
pub fn parse(text: &str) -> Result<GatewaySettings, Error> {
    let entries: Table<&str, &str> =
        text.lines().filter_map(|line| line.trim().split_once('=')).collect();
    let ip: IpAddr = required(&entries, "Ip")?;
    let ports = entries.get("InternalPorts").copied().unwrap_or_default();
    let peers_port = ports
        .split(',')
        .next()
        .and_then(|port| port.trim().parse::<u16>().ok())
        .ok_or_else(|| Error::field("InternalPorts", "is not two ports such as 7380,7395"))?;
    let seeds = entries.get("Seeds").copied().unwrap_or_default();
    // The port for peers is the same on all machines, so only the IP address of a seed is used.
    let seeds = seeds.split(',').map(str::trim).filter(|seed| !seed.is_empty());
    let seeds = seeds
        .map(|seed| match seed.parse::<SocketAddr>() {
            Ok(addr) => Ok(SocketAddr::new(addr.ip(), peers_port)),
            Err(_) => Err(Error::field("Seeds", format!("{seed:?} is not an IP address and port"))),
        })
        .collect::<Result<Vec<_>, _>>()?;
    let builder = GatewaySettingsBuilder::new(
        required::<String>(&entries, "NodeName")?,
        required::<String>(&entries, "Zone")?,
    )
    .callers_addr(required(&entries, "Listen.Front")?)
    .ready_addr(required(&entries, "Listen.Ready")?)
    .peers_addr(SocketAddr::new(ip, peers_port))
    .metrics_addr(SocketAddr::new(ip, peers_port + 1))
    .store_addr(required(&entries, "Platform.Address")?)
    .seeds(seeds)
    .lease_ms(whole(&entries, "Bounds.LeaseMs", settings::DEFAULT_LEASE_MS, f64::ceil)?)
    .grace_ms(thousandths(&entries, "Bounds.GraceS", settings::DEFAULT_GRACE_MS)?)
    .drain_ms(whole(&entries, "Bounds.DrainMs", settings::DEFAULT_DRAIN_MS, f64::ceil)?)
    .retry_permille(thousandths(
        &entries,
        "Bounds.RetryBudgetRatio",
        settings::DEFAULT_RETRY_PERMILLE,
    )?)
    .retry_slack(whole(&entries, "Bounds.BudgetSlack", settings::DEFAULT_RETRY_SLACK, f64::floor)?)
    .retry_window_ms(thousandths(
        &entries,
        "Bounds.BudgetWindowS",
        settings::DEFAULT_RETRY_WINDOW_MS,
    )?)
    .load_window_ms(thousandths(
        &entries,
        "Bounds.CeilingWindowS",
        settings::DEFAULT_LOAD_WINDOW_MS,
    )?)
    .workers_check(optional(&entries, "Bounds.RequireFence", false)?)
    .cpu_permille(thousandths(&entries, "Limits.CpuShare", settings::DEFAULT_CPU_PERMILLE)?)
    .memory_mb(decimal(&entries, "Limits.MemoryMb")?.map(|mb| mb as u64).filter(|mb| *mb > 0))
    .strict_revoke(optional(&entries, "Bounds.StrictRevoke", false)?)
    .revoke_ms(whole(&entries, "Bounds.RevokeMs", settings::DEFAULT_REVOKE_MS, f64::floor)?)
    .quota_window_ms(thousandths(
        &entries,
        "Bounds.QuotaWindowS",
        settings::DEFAULT_QUOTA_WINDOW_MS,
    )?)
    .quota_overshoot_permille(thousandths(
        &entries,
        "Bounds.QuotaOvershoot",
        settings::DEFAULT_QUOTA_OVERSHOOT_PERMILLE,
    )?)
    .quota_slack(whole(&entries, "Bounds.QuotaSlack", 0, f64::floor)?);
    Ok(builder.build())
}

fn required<T: FromStr>(entries: &Table<&str, &str>, key: &'static str) -> Result<T, Error> {
    let value = entries.get(key).ok_or_else(|| Error::field(key, "is missing"))?;
    value.trim().parse().map_err(|_| Error::field(key, format!("{value:?} is not a valid value")))
}

fn optional<T: FromStr>(
    entries: &Table<&str, &str>,
    key: &'static str,
    default: T,
) -> Result<T, Error> {
    if entries.contains(key) { required(entries, key) } else { Ok(default) }
}

/// Returns a number that may have a fraction, rounded to a whole one by `round`, in the direction that
/// keeps the bound.
fn whole(
    entries: &Table<&str, &str>,
    key: &'static str,
    default: u64,
    round: impl Fn(f64) -> f64,
) -> Result<u64, Error> {
    let value = decimal(entries, key)?;
    Ok(value.map_or(default, |value| round(value) as u64))
}

/// Returns a decimal value in units of 1/1000, such as seconds in ms.
fn thousandths(entries: &Table<&str, &str>, key: &'static str, default: u64) -> Result<u64, Error> {
    let value = decimal(entries, key)?;
    Ok(value.map_or(default, |value| (value * 1000.0) as u64))
}

/// Returns the number under `key`, if the key is present.
fn decimal(entries: &Table<&str, &str>, key: &'static str) -> Result<Option<f64>, Error> {
    if !entries.contains(key) {
        return Ok(None);
    }
    let value: f64 = required(entries, key)?;
    if value.is_finite() && value >= 0.0 {
        Ok(Some(value))
    } else {
        Err(Error::field(key, format!("{value:?} is not a number of 0 or more")))
    }
}
