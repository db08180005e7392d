//! Records of the `decisions` streams of the log, one stream for each cell.

use serde::Deserialize;
use serde::Serialize;

use crate::document::Target;
use crate::sorted::Table;

/// Returns the name of the stream that carries the decisions of `cell`.
pub fn stream_name(cell: &str) -> String {
    format!("decisions.{}", cell.replace('/', "."))
}

/// A record of the stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Record {
    /// A replica was decided; its order follows.
    Load(LoadDecision),
    /// The worker has shown the replica, or the order is known to have failed.
    Settled {
        /// Epoch of the decision.
        epoch: u64,
        /// Number of the decision within its epoch.
        sequence: u64,
    },
    /// A replica was given up.
    Unload {
        /// Epoch of the decision.
        epoch: u64,
        /// Worker that holds the replica.
        worker: String,
        /// What is unloaded.
        target: Target,
    },
}

/// Decision to load one replica.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadDecision {
    /// Epoch of the deciding lead.
    pub epoch: u64,
    /// Number of the decision within its epoch.
    pub sequence: u64,
    /// Worker that loads.
    pub worker: String,
    /// What is loaded.
    pub target: Target,
    /// Size over all accelerators, in MB.
    pub size_mb: u64,
    /// Accelerators that hold the weights.
    pub accelerators: Vec<u32>,
}

/// Returns the decisions among `records` that are not settled.
///
/// An append whose answer was lost is repeated, so a decision may stand in the log once more after
/// it was settled; that does not make it undone again.
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
