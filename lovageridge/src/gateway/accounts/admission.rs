//! Whether a request may be served, by the key that it presents.

use crate::gateway::accounts::Accounts;
use crate::gateway::accounts::PresentedKey;

#[cfg(test)]
mod tests;

/// How well an instance knows that its configuration is the newest one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Knowledge {
    /// Nothing speaks against it.
    Current,
    /// There may be a newer one, but not for so long that a key may no longer be used.
    Doubtful,
    /// There may have been a newer one for so long that no key may be used.
    Stale,
}

/// Result of the check of a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyCheck {
    /// The key belongs to an account.
    Ok,
    /// The request has none.
    Missing,
    /// No account has it.
    Unknown,
    /// What the request presents is no key.
    Malformed,
    /// The configuration may be too old to tell.
    Stale,
}

impl KeyCheck {
    /// Returns the value of the metric's label.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ok => "ok",
            Self::Missing => "missing",
            Self::Unknown => "unknown",
            Self::Malformed => "malformed",
            Self::Stale => "stale",
        }
    }
}

/// Decision about a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It is served, for the account with this index; `None` without an account.
    Admit(Option<usize>),
    /// It is refused for good.
    Reject(KeyCheck),
    /// Another instance, or this one later, may serve it.
    Defer(KeyCheck),
}

/// Decides about a request that presents `key`.
pub fn admit(
    accounts: &Accounts,
    is_public: bool,
    key: &PresentedKey,
    knowledge: Knowledge,
) -> Admission {
    if accounts.is_empty() {
        return Admission::Admit(None);
    }
    let index = match key {
        PresentedKey::Key(digest) => accounts.position(digest),
        PresentedKey::None | PresentedKey::Malformed => None,
    };
    if is_public {
        return Admission::Admit(index);
    }
    match (key, index, knowledge) {
        (PresentedKey::None, ..) => Admission::Reject(KeyCheck::Missing),
        (PresentedKey::Malformed, ..) => Admission::Reject(KeyCheck::Malformed),
        (PresentedKey::Key(_), _, Knowledge::Stale) => Admission::Defer(KeyCheck::Stale),
        (PresentedKey::Key(_), Some(index), _) => Admission::Admit(Some(index)),
        (PresentedKey::Key(_), None, Knowledge::Current) => Admission::Reject(KeyCheck::Unknown),
        // The key may be in a newer configuration, and callers do not repeat a request after a 401.
        (PresentedKey::Key(_), None, Knowledge::Doubtful) => Admission::Defer(KeyCheck::Unknown),
    }
}
