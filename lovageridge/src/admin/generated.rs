//! Types of the administration port.
//!
//! Generated from `schema/admin.json` by `cargo typify --no-builder`; `tests/schema.rs` holds them
//! together. Not edited by hand.

#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "An error of the administration port."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct AdminError {
    #[doc = "Stable code."]
    pub code: ::std::string::String,
    #[doc = "Text for a person."]
    pub message: ::std::string::String,
}
#[doc = "What became of an edit."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(tag = "result")]
pub enum EditReply {
    #[doc = "Accepted\n\nThe edit is in force; the version is the document's."]
    #[serde(rename = "accepted")]
    Accepted { version: u64 },
    #[doc = "Conflict\n\nA section has changed since the author read it."]
    #[serde(rename = "conflict")]
    Conflict { current_version: u64, section: ::std::string::String },
    #[doc = "Forbidden\n\nThe team may not edit a section."]
    #[serde(rename = "forbidden")]
    Forbidden { section: ::std::string::String },
    #[doc = "Invalid\n\nThe document would not be valid."]
    #[serde(rename = "invalid")]
    Invalid { faults: ::std::vec::Vec<::std::string::String> },
    #[serde(rename = "unconfirmed")]
    Unconfirmed,
}
#[doc = "Body of a call that edits sections."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct EditRequest {
    #[doc = "Changed sections."]
    pub changes: ::std::vec::Vec<SectionChange>,
    #[doc = "Name chosen by the author; the same edit sent twice is applied once."]
    pub edit_id: ::std::string::String,
}
#[doc = "Why a model or adapter is or is not loaded."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Explanation {
    #[doc = "Leads of the cells that could load it, with their epochs."]
    pub cells: ::std::vec::Vec<::std::string::String>,
    #[doc = "Model behind it; null when the document has neither."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub model: ::std::option::Option<::std::string::String>,
    #[doc = "What was asked for."]
    pub name: ::std::string::String,
    #[doc = "The reasons, in words."]
    pub reasons: ::std::vec::Vec<::std::string::String>,
    #[doc = "Workers that hold it, as this instance sees them."]
    pub resident_on: ::std::vec::Vec<::std::string::String>,
}
#[doc = "One past edit of the log, for audits."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct HistoryEntry {
    #[doc = "Changed sections with their base versions."]
    pub changes: ::std::vec::Vec<SectionChange>,
    #[doc = "Name of the edit."]
    pub edit_id: ::std::string::String,
    #[doc = "Offset of the record."]
    pub offset: u64,
    #[doc = "What became of it, when still known."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub result: ::std::option::Option<EditReply>,
    #[doc = "Team that signed it."]
    pub team: ::std::string::String,
    #[doc = "Time of the edit in ms since the Unix epoch."]
    pub written_unix_ms: u64,
}
#[doc = "A change of one section."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct SectionChange {
    #[doc = "Version of the section that the author saw; 0 for a section that did not exist."]
    pub base_version: u64,
    #[doc = "New body; null or left out removes the section."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub body: ::std::option::Option<::std::string::String>,
    #[doc = "Section, such as `model.grain-chat`."]
    pub section: ::std::string::String,
}
#[doc = "One section with its version."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct SectionView {
    #[doc = "Body in INI."]
    pub body: ::std::string::String,
    #[doc = "Section, such as `model.grain-chat`."]
    pub section: ::std::string::String,
    #[doc = "Version to name as base of an edit."]
    pub version: u64,
}
#[doc = "The sections of the document in force."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug)]
pub struct Sections {
    #[doc = "The sections in order of name."]
    pub sections: ::std::vec::Vec<SectionView>,
    #[doc = "Version of the document."]
    pub version: u64,
}
#[doc = " Error types."]
pub mod error {
    #[doc = r" Error from a `TryFrom` or `FromStr` implementation."]
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
