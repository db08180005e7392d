//! Types of the administration interface, as `docs/admin-api.json` describes them.

use serde::Deserialize;
use serde::Serialize;

use crate::config::record::SectionChange;

/// One section with its version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SectionView {
    /// Section, such as `model.grain-chat`.
    pub section: String,
    /// Version to name as base of an edit.
    pub version: u64,
    /// Body in INI.
    pub body: String,
}

/// The sections of the document in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sections {
    /// Version of the document.
    pub version: u64,
    /// The sections in order of name.
    pub sections: Vec<SectionView>,
}

/// Body of a call that edits sections.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EditRequest {
    /// Name chosen by the author; the same edit sent twice is applied once.
    pub edit_id: String,
    /// Changed sections.
    pub changes: Vec<SectionChange>,
}

/// What became of an edit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum EditReply {
    /// The edit is in force.
    Accepted {
        /// Version of the document that holds it.
        version: u64,
    },
    /// A section has changed since the author read it.
    Conflict {
        /// The section.
        section: String,
        /// Its present version.
        current_version: u64,
    },
    /// The team may not edit a section.
    Forbidden {
        /// The section.
        section: String,
    },
    /// The document would not be valid.
    Invalid {
        /// Each fault.
        faults: Vec<String>,
    },
    /// The log has not confirmed the edit; the same `edit_id` may be sent again.
    Unconfirmed,
}

impl EditReply {
    /// Returns the HTTP status of the reply.
    pub fn status(&self) -> u16 {
        match self {
            Self::Accepted { .. } => 200,
            Self::Conflict { .. } => 409,
            Self::Forbidden { .. } => 403,
            Self::Invalid { .. } => 422,
            Self::Unconfirmed => 503,
        }
    }
}

/// One past edit of the log, for audits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HistoryEntry {
    /// Offset of the record.
    pub offset: u64,
    /// Name of the edit.
    pub edit_id: String,
    /// Team that signed it.
    pub team: String,
    /// Time of the edit in ms since the Unix epoch.
    pub written_unix_ms: u64,
    /// Changed sections with their base versions.
    pub changes: Vec<SectionChange>,
    /// What became of it, when still known.
    pub result: Option<EditReply>,
}

/// An error of the administration port.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdminError {
    /// Stable code.
    pub code: String,
    /// Text for a person.
    pub message: String,
}
