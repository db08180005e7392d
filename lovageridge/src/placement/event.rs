//! Events of the placement driver.

use std::net::SocketAddr;

use flume::Sender;

use crate::leadership::lead_table::LeadTable;
use crate::placement::call::CallResult;
use crate::placement::record::LoadDecision;
use crate::placement::status::CellStatus;
use crate::wire::ColdStartRequest;
use crate::wire::UsageReport;

/// An event for the placement driver.
#[derive(Debug)]
pub enum Event {
    /// Callers of an instance wait for a model or adapter.
    ColdStartRequest {
        /// Instance at which they wait.
        from: String,
        /// Address for the reply; `None` if the request is from this instance.
        reply_addr: Option<SocketAddr>,
        /// Target that they wait for, and their deadline.
        request: ColdStartRequest,
    },
    /// An instance reports its use of models and adapters.
    UsageReport {
        /// Reporting instance.
        from: String,
        /// Targets with their requests in progress.
        report: UsageReport,
    },
    /// A call to a worker has ended.
    CallResult {
        /// Cell of the worker.
        cell: String,
        /// Result of the call.
        result: CallResult,
    },
    /// The stream of claims was read to its end.
    LeadTableRead {
        /// Leads after the read.
        lead_table: Box<LeadTable>,
        /// Time at which the read started, in ms.
        started_ms: u64,
    },
    /// The log has confirmed a decision.
    DecisionLogged {
        /// Cell of the decision.
        cell: String,
        /// Epoch of the decision.
        epoch: u64,
        /// Number of the decision within its epoch.
        sequence: u64,
    },
    /// The decisions of a cell were read from the log.
    UnsettledRead {
        /// Name of the cell.
        cell: String,
        /// Epoch of the lead that starts after the read.
        epoch: u64,
        /// Decisions whose result is not in the log.
        decisions: Vec<LoadDecision>,
    },
    /// The instance is shutting down and releases its cells.
    Release {
        /// Notified when the releases are in the log or the log has proved unreachable.
        done: Sender<()>,
    },
    /// An admin request reads the state of the cells.
    Status {
        /// Channel for the response.
        reply: Sender<Vec<CellStatus>>,
    },
}
