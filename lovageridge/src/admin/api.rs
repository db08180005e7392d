//! Types of the administration port and their conversion to and from the internal types.
//!
//! The types are generated from `schema/admin.json`.

pub use crate::admin::generated::AdminError;
pub use crate::admin::generated::EditReply;
pub use crate::admin::generated::EditRequest;
pub use crate::admin::generated::Explanation;
pub use crate::admin::generated::HistoryEntry;
pub use crate::admin::generated::SectionChange;
pub use crate::admin::generated::SectionView;
pub use crate::admin::generated::Sections;
use crate::config::fold::Verdict;
use crate::config::record;

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

impl From<Verdict> for EditReply {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::Accepted { version } => Self::Accepted { version },
            Verdict::Conflict { section, current_version } => {
                Self::Conflict { section, current_version }
            }
            Verdict::Forbidden { section } => Self::Forbidden { section },
            Verdict::Invalid { faults } => Self::Invalid { faults },
        }
    }
}

impl From<SectionChange> for record::SectionChange {
    fn from(change: SectionChange) -> Self {
        let SectionChange { section, base_version, body } = change;
        Self { section, base_version, body }
    }
}

impl From<record::SectionChange> for SectionChange {
    fn from(change: record::SectionChange) -> Self {
        let record::SectionChange { section, base_version, body } = change;
        Self { section, base_version, body }
    }
}
