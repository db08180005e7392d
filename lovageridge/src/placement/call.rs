//! Calls from a lead to the workers of its cell, and their results.

use std::net::SocketAddr;

use crate::document::Target;
use crate::upstream::engine::EngineState;
use crate::upstream::engine::FencedOrder;

/// Low bits of a fencing number that count the orders of one epoch.
const SEQUENCE_BITS: u32 = 24;

/// Returns the fencing number of order `sequence` of `epoch`.
///
/// Every order has a different number, so a worker refuses an order that was delayed in the network
/// once a later one has arrived.
pub fn fencing_number(epoch: u64, sequence: u64) -> u64 {
    (epoch << SEQUENCE_BITS) | (sequence & ((1 << SEQUENCE_BITS) - 1))
}

/// Purpose of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// Read the worker's state.
    Poll,
    /// Raise the worker's fencing number, so that it refuses earlier leads, and read its state.
    Fence,
    /// Load the replica of a decision.
    Load {
        /// Number of the decision within its epoch.
        sequence: u64,
    },
    /// Unload a replica to free its memory.
    Unload {
        /// Model or adapter to unload.
        target: Target,
    },
}

/// A call to a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Name of the worker.
    pub worker: String,
    /// Address of the worker's HTTP port.
    pub addr: SocketAddr,
    /// Purpose of the call.
    pub purpose: Purpose,
    /// Order to carry out; `None` only reads the state.
    pub order: Option<FencedOrder>,
    /// Time from which the order must not be sent any more, in ms.
    pub not_after_ms: u64,
}

/// Reason why a call returned no state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The order was not sent, so the worker cannot have received it.
    NotSent,
    /// The response is missing; the worker may have received the order.
    NoAnswer,
    /// The worker has already accepted a higher fencing number.
    Fenced,
    /// The worker refused the order.
    Refused,
}

/// Result of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct CallResult {
    /// Name of the worker.
    pub worker: String,
    /// Purpose of the call.
    pub purpose: Purpose,
    /// Epoch under which the call was made.
    pub epoch: u64,
    /// Time at which the call started, in ms.
    pub started_ms: u64,
    /// State of the worker after the call, or the reason why it is unknown.
    pub result: Result<EngineState, Failure>,
}
