//! Records of the `config` stream of the log.
//!
//! They are stored as JSON: names of fields and variants are part of the stored format.

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

/// An edit; either all of its changes take effect or none.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Edit {
    /// Identifier chosen by the author; an edit that is sent twice is applied once.
    pub edit_id: String,
    /// Team whose token the author presented.
    pub team: String,
    /// Changed sections.
    pub changes: Vec<SectionChange>,
    /// Wall-clock time of the edit, in ms since the Unix epoch; used for auditing only.
    pub written_unix_ms: u64,
}

/// One section of a snapshot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SectionState {
    /// Section, such as `model.grain-chat`.
    pub section: String,
    /// Version of the document in which the section was last changed.
    pub version: u64,
    /// Body of the section.
    pub body: String,
}

/// The complete state of the configuration, for instances that cannot read the log from its first
/// record.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Version of the document.
    pub version: u64,
    /// Offset after the last record that the snapshot includes.
    pub next_offset: u64,
    /// All sections.
    pub sections: Vec<SectionState>,
    /// Identifiers of recent edits and the verdicts on them.
    pub verdicts: Vec<(String, Verdict)>,
}

/// A record of the stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Record {
    /// An edit by a team.
    Edit(Edit),
    /// The complete state, appended before the edits that it includes expire in the log.
    Checkpoint(Snapshot),
}
