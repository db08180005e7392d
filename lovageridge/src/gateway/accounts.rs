//! Client accounts: whose requests are served, in which order, and how much of them.

use std::fmt::Debug;
use std::fmt::Formatter;

use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::sorted::Table;

pub mod admission;
pub mod driver;
pub mod freshness;

#[cfg(test)]
mod tests;

/// SHA-256 digest of an API key. Keys themselves are not kept, and neither they nor their digests are shown.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of `key`.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl Debug for KeyDigest {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("KeyDigest")
    }
}

/// What a request presents as its key.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PresentedKey {
    /// Nothing.
    #[default]
    None,
    /// Something that is no key: empty, given twice, of another scheme, or not text.
    Malformed,
    /// A key.
    Key(KeyDigest),
}

/// What the rate limit of an account counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AllotmentUnit {
    /// Requests.
    Requests,
    /// Tokens of prompts and responses.
    Tokens {
        /// Tokens that a request without a token count is counted as.
        plain_request: u64,
    },
}

/// Rate limit of an account over all instances: a token bucket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Allotment {
    /// What the limit counts.
    pub unit: AllotmentUnit,
    /// Units a second.
    pub rate_per_s: u64,
    /// Units that may be used at once after a time of rest.
    pub burst: u64,
}

impl Allotment {
    /// Returns what a request costs, in units of the limit; `tokens` is `None` if it states none.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            AllotmentUnit::Requests => 1,
            AllotmentUnit::Tokens { plain_request } => tokens.unwrap_or(plain_request),
        }
    }
}

/// A client account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// Name, as upstreams see it.
    pub name: String,
    /// Priority rank among accounts; 0 is the most urgent. It goes before the rank of the route.
    pub rank: u32,
    /// Rate limit; `None` without one.
    pub allotment: Option<Allotment>,
}

/// The client accounts of a configuration and their keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Accounts {
    accounts: Vec<Account>,
    // Index into `accounts`, by key.
    keys: Table<KeyDigest, usize>,
}

impl Accounts {
    /// Adds an account with its keys. A key that another account holds too stays with the first one.
    pub fn add(&mut self, account: Account, keys: impl IntoIterator<Item = KeyDigest>) {
        let index = self.accounts.len();
        self.accounts.push(account);
        for key in keys {
            self.keys.get_or_insert_with(key, || index);
        }
    }

    /// Returns the account that holds `key`.
    pub fn find(&self, key: &KeyDigest) -> Option<&Account> {
        self.position(key).map(|index| &self.accounts[index])
    }

    /// Returns the index of the account that holds `key`.
    pub fn position(&self, key: &KeyDigest) -> Option<usize> {
        // The search compares digests, whose order says nothing about the keys.
        let (found, index) = self.keys.nearest(key)?;
        bool::from(found.0.ct_eq(&key.0)).then_some(*index)
    }

    /// Returns the account with this index.
    pub fn get(&self, index: usize) -> Option<&Account> {
        self.accounts.get(index)
    }

    /// Iterates over the accounts, in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &Account> {
        self.accounts.iter()
    }

    /// Returns whether there are no accounts, so that requests need no key.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}
