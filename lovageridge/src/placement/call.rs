//! Calls of a lead to the workers of its cell, and what came of them.

use std::net::SocketAddr;

use crate::document::Target;
use crate::upstream::engine::EngineState;
use crate::upstream::engine::FencedOrder;

/// Number of bits of a fencing number that count the orders of one epoch.
const SEQUENCE_BITS: u32 = 24;

/// Returns the fencing number of order `sequence` of `epoch`.
///
/// Each order has a number of its own, so an order that is delayed on its way is refused once a
/// later one has arrived.
pub fn fencing_number(epoch: u64, sequence: u64) -> u64 {
    (epoch << SEQUENCE_BITS) | (sequence & ((1 << SEQUENCE_BITS) - 1))
}

/// What a call is for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// Read the state.
    Poll,
    /// Fence out earlier leads and read the state.
    Fence,
    /// Carry out the decision with this number.
    Load {
        /// Number of the decision within its epoch.
        sequence: u64,
    },
    /// Free memory.
    Unload {
        /// What is unloaded.
        target: Target,
    },
}

/// A call to make.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Name of the worker.
    pub worker: String,
    /// Address of the worker.
    pub addr: SocketAddr,
    /// What the call is for.
    pub purpose: Purpose,
    /// The order; `None` reads the state only.
    pub order: Option<FencedOrder>,
    /// Time after which the order must not be written any more, in ms.
    pub not_after_ms: u64,
}

/// Why a call gave no state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The worker cannot have seen the order.
    NotSent,
    /// The worker may have seen the order.
    NoAnswer,
    /// The worker has seen a higher fencing number.
    Fenced,
    /// The worker refused the order.
    Refused,
}

/// What came of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct CallResult {
    /// Name of the worker.
    pub worker: String,
    /// What the call was for.
    pub purpose: Purpose,
    /// Epoch under which the call was made.
    pub epoch: u64,
    /// Time at which the call was begun, in ms.
    pub started_ms: u64,
    /// State of the worker after the call.
    pub result: Result<EngineState, Failure>,
}
