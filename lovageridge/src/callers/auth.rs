//! Authentication by the API keys of partners and the tokens of teams, which are stored as hashes.

use subtle::ConstantTimeEq;

use crate::document::Config;
use crate::document::Partner;
use crate::document::Team;
use crate::hashing;

/// Returns the credential of an `Authorization: Bearer` header.
pub fn bearer_credential(header: &str) -> Option<&str> {
    let (scheme, credential) = header.trim().split_once(' ')?;
    let credential = credential.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !credential.is_empty()).then_some(credential)
}

/// Returns the partner that `key` belongs to; all keys are compared in constant time.
pub fn find_partner<'a>(config: &'a Config, key: &str) -> Option<(&'a str, &'a Partner)> {
    let hash = hashing::sha256_hex(key);
    let mut found = None;
    for (name, partner) in config.partners.iter() {
        for stored_hash in &partner.keys_sha256 {
            if hashes_equal(stored_hash, &hash) {
                found = Some((name.as_str(), partner));
            }
        }
    }
    found
}

/// Returns the team that `token` belongs to; all tokens are compared in constant time.
pub fn find_team<'a>(config: &'a Config, token: &str) -> Option<(&'a str, &'a Team)> {
    let hash = hashing::sha256_hex(token);
    let mut found = None;
    for (name, team) in config.teams.iter() {
        if hashes_equal(&team.token_sha256, &hash) {
            found = Some((name.as_str(), team));
        }
    }
    found
}

fn hashes_equal(stored: &str, hash: &str) -> bool {
    let stored = stored.to_ascii_lowercase();
    bool::from(stored.as_bytes().ct_eq(hash.as_bytes()))
}
