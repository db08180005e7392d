//! Orders to model workers and what workers answer.

use crate::gateway::directory::LoadedModel;

/// What an order does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderKind {
    /// Brings a model or adapter into accelerator memory.
    Load,
    /// Drops it.
    Unload,
}

impl OrderKind {
    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::Unload => "unload",
        }
    }
}

/// An order to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// What to do.
    pub kind: OrderKind,
    /// Model.
    pub model: String,
    /// Adapter of the model, if the order concerns one.
    pub adapter: Option<String>,
    /// Number of orders that the worker must have accepted before; others void this one.
    pub expected_orders: u64,
    /// Fencing number.
    pub fence: u64,
}

/// A worker's answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The order is being carried out.
    Accepted,
    /// What the order asks for holds already.
    AlreadyHolds,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// A higher fencing number has been seen.
    Fenced,
    /// Another instance has the address.
    OtherInstance,
    /// The worker refuses for another reason.
    Refused {
        /// HTTP status.
        status_code: u16,
    },
    /// No answer; the order may be carried out later.
    Unknown,
}

/// A worker's report on itself, as of a moment ago.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WorkerReport {
    /// Models in accelerator memory, by name.
    pub models: Vec<LoadedModel>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Orders accepted since the start.
    pub orders_accepted: u64,
    /// Requests in progress.
    pub running: u32,
    /// Requests in the queue.
    pub waiting: u32,
    /// Models with a copy in host memory.
    pub in_memory: Vec<String>,
    /// Models with a copy on disk.
    pub on_disk: Vec<String>,
    /// Adapters on their way, with their models.
    pub loading_adapters: Vec<(String, String)>,
    /// Start of the worker, as Unix time in ms.
    pub start_unix_ms: u64,
}
