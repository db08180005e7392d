//! Records of the `decisions` log streams; each cell has its own stream.

use serde::Deserialize;
use serde::Serialize;

use crate::document::Target;
use crate::sorted::Table;

/// Returns the name of the log stream that holds the decisions of `cell`.
pub fn stream_name(cell: &str) -> String {
    format!("decisions.{}", cell.replace('/', "."))
}

/// A record of a `decisions` stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Record {
    /// A load was decided; its order follows.
    Load(LoadDecision),
    /// The decision needs no reservation any more: the worker reported the replica, or the order
    /// failed or was cancelled.
    Settled {
        /// Epoch of the decision.
        epoch: u64,
        /// Number of the decision within its epoch.
        sequence: u64,
    },
    /// The unload of a replica was ordered.
    Unload {
        /// Epoch of the decision.
        epoch: u64,
        /// Worker that holds the replica.
        worker: String,
        /// Model or adapter to unload.
        target: Target,
    },
}

/// A decision to load one replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadDecision {
    /// Epoch of the lead that decided.
    pub epoch: u64,
    /// Number of the decision within its epoch.
    pub sequence: u64,
    /// Worker that loads the replica.
    pub worker: String,
    /// Model or adapter to load.
    pub target: Target,
    /// Size over all accelerators, in MB.
    pub size_mb: u64,
    /// Accelerators that will hold the weights.
    pub accelerators: Vec<u32>,
}

/// Returns the decisions in `records` that are not settled.
///
/// An append whose response was lost is retried, so the log may contain a duplicate of a decision
/// after the record that settles it; the decision stays settled.
pub fn unsettled(records: impl IntoIterator<Item = Record>) -> Vec<LoadDecision> {
    let mut open: Table<(u64, u64), LoadDecision> = Table::new();
    let mut settled: Table<(u64, u64), ()> = Table::new();
    for record in records {
        match record {
            Record::Load(load) => {
                let key = (load.epoch, load.sequence);
                if !settled.contains(&key) {
                    open.insert(key, load);
                }
            }
            Record::Settled { epoch, sequence } => {
                open.remove(&(epoch, sequence));
                settled.insert((epoch, sequence), ());
            }
            Record::Unload { .. } => {}
        }
    }
    open.iter().map(|(_, load)| load.clone()).collect()
}
