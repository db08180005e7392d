//! Client of a model engine's `/orders` and `/state` endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::outbound;

#[cfg(test)]
mod tests;

/// Timeout for connecting to an upstream.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for the response to an order or a state query.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1500);

/// The operation of an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "op")]
pub enum Order {
    /// Raise the fencing number without any other effect.
    Fence,
    /// Load a model into memory.
    Load {
        /// Name of the model.
        model: String,
        /// Total size over all accelerators, in MB.
        size_mb: u64,
        /// Indices of the accelerators to load the weights on.
        accelerators: Vec<u32>,
    },
    /// Unload a model once its requests in progress have ended.
    Unload {
        /// Name of the model.
        model: String,
    },
    /// Load an adapter onto a resident model.
    LoadAdapter {
        /// Name of the adapter.
        adapter: String,
        /// Name of the model.
        model: String,
        /// Size of the adapter, in MB.
        size_mb: u64,
    },
    /// Unload an adapter once its requests in progress have ended.
    UnloadAdapter {
        /// Name of the adapter.
        adapter: String,
    },
}

/// An order with a fencing number, so that the engine refuses orders of earlier leads.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FencedOrder {
    /// Fencing number: the epoch of the lead that sends the order.
    pub fence: u64,
    /// The operation.
    #[serde(flatten)]
    pub order: Order,
}

/// State of a model on an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The weights are being loaded.
    Loading,
    /// The model accepts requests.
    Resident,
    /// The model completes its requests in progress and is then removed from memory.
    Unloading,
}

/// A model or adapter that occupies memory on an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeldWeights {
    /// Name of the model.
    pub model: String,
    /// Name of the adapter; `None` for the model itself.
    #[serde(default)]
    pub adapter: Option<String>,
    /// Whether it is being loaded, resident or being unloaded.
    pub phase: Phase,
    /// Total size over all accelerators, in MB.
    pub size_mb: u64,
    /// Indices of the accelerators that hold it.
    pub accelerators: Vec<u32>,
}

/// An engine's report of its state.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineState {
    /// Highest fencing number received.
    pub fence: u64,
    /// Whether the engine is shutting down.
    pub leaving: bool,
    /// Memory for weights on each accelerator, in MB.
    pub accelerators_mb: Vec<u64>,
    /// Models and adapters that occupy memory.
    pub held: Vec<HeldWeights>,
    /// Number of sequences that the engine batches.
    pub slots: u64,
    /// Number of sequences in progress or queued; the report lags behind.
    pub load: u64,
    /// Models whose checkpoint is cached on the engine's disk or in its host memory.
    #[serde(default)]
    pub cached: Vec<String>,
}

/// Failure of an order or a state query.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection was not made; the engine cannot have received the order.
    #[error("not sent: {0}")]
    NotSent(attohttpc::Error),
    /// No response was received; the engine may have received the order.
    #[error("no response: {0}")]
    NoResponse(attohttpc::Error),
    /// The response could not be parsed; the order may have taken effect.
    #[error("malformed response: {0}")]
    Malformed(String),
    /// The engine has received a higher fencing number.
    #[error("refused: the engine has received a higher fencing number")]
    Fenced,
    /// The engine refused the order for another reason.
    #[error("refused with status {status_code}: {reason}")]
    Refused {
        /// HTTP status code.
        status_code: u16,
        /// Body of the response.
        reason: String,
    },
}

/// HTTP status code with which an engine refuses an old fencing number.
pub const STATUS_FENCED: u16 = 412;

/// Sends `order` to the engine at `addr` and returns the engine's state after accepting it.
///
/// # Errors
/// See [`Error`]; the order may still take effect, except after [`Error::NotSent`],
/// [`Error::Fenced`] and [`Error::Refused`].
pub fn send_order(addr: SocketAddr, order: &FencedOrder) -> Result<EngineState, Error> {
    let text = serde_json::to_string(order).unwrap_or_default();
    send(outbound::post(format!("http://{addr}/orders")).text(text))
}

/// Reads the state of the engine at `addr`.
///
/// # Errors
/// See [`Error`].
pub fn fetch_state(addr: SocketAddr) -> Result<EngineState, Error> {
    send(outbound::get(format!("http://{addr}/state")))
}

fn send<B: attohttpc::body::Body>(
    request: attohttpc::RequestBuilder<B>,
) -> Result<EngineState, Error> {
    let response = request
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(ORDER_TIMEOUT)
        .timeout(CONNECT_TIMEOUT + ORDER_TIMEOUT)
        .send()
        .map_err(classify_error)?;
    let status_code = response.status().as_u16();
    match status_code {
        200 => {
            let bytes = response.bytes().map_err(Error::NoResponse)?;
            serde_json::from_slice(&bytes).map_err(|e| Error::Malformed(e.to_string()))
        }
        STATUS_FENCED => Err(Error::Fenced),
        _ if !outbound::is_valid_status(status_code) => {
            Err(Error::Malformed(format!("invalid status {status_code}")))
        }
        _ => Err(Error::Refused { status_code, reason: response.text_utf8().unwrap_or_default() }),
    }
}

fn classify_error(error: attohttpc::Error) -> Error {
    if is_connect_failure(&error) { Error::NotSent(error) } else { Error::NoResponse(error) }
}

/// Returns whether `error` shows that no connection was made, so that nothing was sent.
pub fn is_connect_failure(error: &attohttpc::Error) -> bool {
    match error.kind() {
        attohttpc::ErrorKind::Io(e) => e.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
