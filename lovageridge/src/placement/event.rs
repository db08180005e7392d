//! Events of the placement duty.

use std::net::SocketAddr;

use flume::Sender;

use crate::leadership::lead_table::LeadTable;
use crate::placement::call::CallResult;
use crate::placement::record::LoadDecision;
use crate::placement::status::CellStatus;
use crate::wire::ColdStartRequest;
use crate::wire::UsageReport;

/// An event for the placement duty.
#[derive(Debug)]
pub enum Event {
    /// Callers of an instance wait for a target.
    ColdStartRequest {
        /// The asking instance.
        from: String,
        /// Where the reply goes; `None` for the own instance.
        reply_addr: Option<SocketAddr>,
        /// What it asks.
        request: ColdStartRequest,
    },
    /// An instance has used targets.
    UsageReport {
        /// The telling instance.
        from: String,
        /// What it tells.
        report: UsageReport,
    },
    /// A call to a worker has ended.
    CallResult {
        /// Cell of the worker.
        cell: String,
        /// What came of the call.
        result: CallResult,
    },
    /// The claims were read to their end.
    LeadTableRead {
        /// State after the read.
        lead_table: Box<LeadTable>,
        /// Time at which the read was begun, in ms.
        started_ms: u64,
    },
    /// A decision stands in the log.
    DecisionLogged {
        /// Cell of the decision.
        cell: String,
        /// Epoch of the decision.
        epoch: u64,
        /// Number of the decision.
        sequence: u64,
    },
    /// The decisions of a cell were read.
    UnsettledRead {
        /// The cell.
        cell: String,
        /// Epoch for which they were read.
        epoch: u64,
        /// Decisions that are not settled.
        decisions: Vec<LoadDecision>,
    },
    /// The instance gives up its cells.
    Release {
        /// Told when the releases are in the log or the log is down.
        done: Sender<()>,
    },
    /// The administration asks for the state of the cells.
    Status {
        /// Where the state goes.
        reply: Sender<Vec<CellStatus>>,
    },
}
