//! Client of the platform's lagging list of instances.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::infra::Error;
use crate::infra::fetch_body;
use crate::outbound;

/// Service name under which the entry instances are listed.
pub const ENTRY_SERVICE: &str = "lovageridge";
/// Time allowed for reading the list.
const READ_TIMEOUT: Duration = Duration::from_millis(1000);

/// One line of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub id: String,
    /// Service that the instance belongs to.
    pub service: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Address for work: an upstream's HTTP port, or an entry's callers' port.
    pub addr: SocketAddr,
    /// An entry's port for other instances.
    #[serde(default)]
    pub peers_addr: Option<SocketAddr>,
    /// Whether the instance is about to be reclaimed.
    #[serde(default)]
    pub leaving: bool,
}

/// Reads the list from the service at `addr`.
///
/// # Errors
/// Returns an error when the service gives no usable answer in time.
pub fn read(addr: SocketAddr) -> Result<Vec<ListedInstance>, Error> {
    let answer = fetch_body(outbound::get(format!("http://{addr}/instances")), READ_TIMEOUT)?;
    Ok(serde_json::from_slice(&answer)?)
}
