//! Orders to model workers, and the workers' responses and reports.

use crate::gateway::directory::LoadedModel;

/// Kind of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Loads a model or adapter into accelerator memory.
    Load,
    /// Unloads a model or adapter from accelerator memory.
    Unload,
}

impl OrderKind {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::Unload => "unload",
        }
    }
}

/// An order to load or unload a model or adapter on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Whether to load or to unload.
    pub kind: OrderKind,
    /// Name of the model.
    pub model: String,
    /// Name of the adapter; `None` if the order is for the model itself.
    pub adapter: Option<String>,
    /// Number of orders that the worker must have accepted before this one. If it has accepted more
    /// or fewer, it rejects the order.
    pub expected_orders: u64,
    /// Fencing number of the lead that sends the order.
    pub fence: u64,
}

/// Result of sending an order to a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The worker is executing the order.
    Accepted,
    /// The worker is already in the state that the order requests.
    AlreadyHolds,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// The worker has received a higher fencing number.
    Fenced,
    /// Another worker instance now has the address.
    OtherInstance,
    /// The worker refused the order for another reason.
    Refused {
        /// HTTP status of the response.
        status_code: u16,
    },
    /// No response; the worker may still execute the order later.
    Unknown,
}

/// A worker's report on its state, which may have changed since it was sent.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WorkerReport {
    /// Models in accelerator memory, sorted by name.
    pub models: Vec<LoadedModel>,
    /// Whether the worker is executing an order.
    pub busy: bool,
    /// Number of orders accepted since the worker started.
    pub orders_accepted: u64,
    /// Number of requests in progress.
    pub running: u32,
    /// Number of requests queued at the worker.
    pub waiting: u32,
    /// Whether it states that it has no request; false if it does not tell.
    pub is_idle: bool,
    /// Models with a copy in host memory.
    pub in_memory: Vec<String>,
    /// Models with a copy on disk.
    pub on_disk: Vec<String>,
    /// Adapters that are being loaded, as pairs of model and adapter.
    pub loading_adapters: Vec<(String, String)>,
    /// Start time of the worker, as Unix time in ms.
    pub start_unix_ms: u64,
}
