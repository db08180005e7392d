//! Client of the platform's list of instances, which is updated with a delay.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::infra::Error;
use crate::infra::fetch_body;
use crate::outbound;

/// Service name under which the entry instances are listed.
pub const ENTRY_SERVICE: &str = "lovageridge";
/// Timeout for reading the list.
const READ_TIMEOUT: Duration = Duration::from_millis(1000);

/// An instance as shown in the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub id: String,
    /// Service that the instance belongs to.
    pub service: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Address for requests: the HTTP port of an upstream, or the callers' port of an entry instance.
    pub addr: SocketAddr,
    /// Address of an entry instance's port for other instances; `None` for an upstream.
    #[serde(default)]
    pub peers_addr: Option<SocketAddr>,
    /// Whether the platform is about to reclaim the instance.
    #[serde(default)]
    pub leaving: bool,
}

/// Reads the list from the service at `addr`.
///
/// # Errors
/// Returns an error if the service does not send a valid response in time.
pub fn read(addr: SocketAddr) -> Result<Vec<ListedInstance>, Error> {
    let response = fetch_body(outbound::get(format!("http://{addr}/instances")), READ_TIMEOUT)?;
    Ok(serde_json::from_slice(&response)?)
}
