//! Records of the `config` stream of the log.

use serde::Deserialize;
use serde::Serialize;

use crate::config::fold::Verdict;

/// Name of the log stream that carries the configuration.
pub const STREAM: &str = "config";

/// A change of one section.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SectionChange {
    /// Section, such as `model.grain-chat`.
    pub section: String,
    /// Version of the section that the author saw; 0 for a section that did not exist.
    pub base_version: u64,
    /// New body; `None` removes the section.
    pub body: Option<String>,
}

/// An edit that takes effect as a whole or not at all.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Edit {
    /// Name chosen by the author; the same edit sent twice is applied once.
    pub edit_id: String,
    /// Team that signs the edit.
    pub team: String,
    /// Changed sections.
    pub changes: Vec<SectionChange>,
    /// Wall-clock time of the edit, in ms since the Unix epoch; for the audit only.
    pub written_unix_ms: u64,
}

/// One section of a snapshot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SectionState {
    /// Section, such as `model.grain-chat`.
    pub section: String,
    /// Version at which the section was last changed.
    pub version: u64,
    /// Body of the section.
    pub body: String,
}

/// The whole state of the fold, for instances that cannot read from the first record.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Version of the document.
    pub version: u64,
    /// First offset that is not yet folded in.
    pub next_offset: u64,
    /// All sections.
    pub sections: Vec<SectionState>,
    /// Verdicts of recent edits.
    pub verdicts: Vec<(String, Verdict)>,
}

/// A record of the stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Record {
    /// An edit by a team.
    Edit(Edit),
    /// The state again, appended before the records that it rests on expire.
    Checkpoint(Snapshot),
}
