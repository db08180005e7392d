//! Client of a model engine's orders and state.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::outbound;

/// Time allowed for connecting to an engine.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time allowed for an answer to an order or a state query.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1500);

/// What an order asks of an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "op")]
pub enum Order {
    /// Raise the fencing number only.
    Fence,
    /// Load a model.
    Load {
        /// Name of the model.
        model: String,
        /// Size over all accelerators, in MB.
        size_mb: u64,
        /// Accelerators that hold the weights.
        accelerators: Vec<u32>,
    },
    /// Unload a model once its work in progress has ended.
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
        /// Size, in MB.
        size_mb: u64,
    },
    /// Unload an adapter once its work in progress has ended.
    UnloadAdapter {
        /// Name of the adapter.
        adapter: String,
    },
}

/// An order with the number that fences out earlier leads.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FencedOrder {
    /// Epoch of the lead that gives the order.
    pub fence: u64,
    /// What to do.
    #[serde(flatten)]
    pub order: Order,
}

/// State of a model on an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Weights are on their way.
    Loading,
    /// The model takes work.
    Resident,
    /// The model ends its work and then leaves memory.
    Unloading,
}

/// A model or adapter that takes memory on an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeldWeights {
    /// Name of the model.
    pub model: String,
    /// Name of the adapter; `None` for the model itself.
    #[serde(default)]
    pub adapter: Option<String>,
    /// How far it is.
    pub phase: Phase,
    /// Size over all accelerators, in MB.
    pub size_mb: u64,
    /// Accelerators that hold it.
    pub accelerators: Vec<u32>,
}

/// An engine's report of itself.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineState {
    /// Highest fencing number seen.
    pub fence: u64,
    /// Whether the engine is about to leave.
    pub leaving: bool,
    /// Memory for weights of each accelerator, in MB.
    pub accelerators_mb: Vec<u64>,
    /// What takes memory.
    pub held: Vec<HeldWeights>,
    /// Sequences that are batched at once.
    pub slots: u64,
    /// Sequences in progress or queued; reported with a lag.
    pub load: u64,
    /// Checkpoints on the engine's own disk or in its host memory.
    #[serde(default)]
    pub cached: Vec<String>,
}

/// An order that did not go through.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection was not made; the order cannot have been seen.
    #[error("not sent: {0}")]
    NotSent(attohttpc::Error),
    /// The order may have been seen.
    #[error("no answer: {0}")]
    NoResponse(attohttpc::Error),
    /// The answer was not in the expected form; the order may have taken effect.
    #[error("malformed answer: {0}")]
    Malformed(String),
    /// The engine has seen a higher fencing number.
    #[error("fenced out")]
    Fenced,
    /// The engine refused the order for another reason.
    #[error("refused with status {status_code}: {reason}")]
    Refused {
        /// HTTP status.
        status_code: u16,
        /// Text of the answer.
        reason: String,
    },
}

/// Status with which an engine refuses an old fencing number.
pub const STATUS_FENCED: u16 = 412;

/// Sends `order` to the engine at `addr` and returns its state after taking the order.
///
/// # Errors
/// See [`Error`]; only [`Error::NotSent`] and the refusals exclude that the order takes effect.
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
        _ => Err(Error::Refused { status_code, reason: response.text_utf8().unwrap_or_default() }),
    }
}

fn classify_error(error: attohttpc::Error) -> Error {
    if is_connect_failure(&error) { Error::NotSent(error) } else { Error::NoResponse(error) }
}

/// Tells whether `error` shows that no connection was made, so that nothing was sent.
pub fn is_connect_failure(error: &attohttpc::Error) -> bool {
    match error.kind() {
        attohttpc::ErrorKind::Io(e) => e.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
