//! Hashes that are the same on every instance and in every build.

use sha2::Digest;
use sha2::Sha256;

/// Returns a hash of `parts`; each part is prefixed with its length, so ("ab", "c") and ("a", "bc") differ.
pub fn stable_hash(parts: &[&str]) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    let digest = hasher.finalize();
    let mut first_bytes = [0; 8];
    first_bytes.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(first_bytes)
}

/// Returns the SHA-256 digest of `text` in lower-case hexadecimal.
pub fn sha256_hex(text: &str) -> String {
    Sha256::digest(text.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Sorts `items` by rendezvous hashing for `key`: adding or removing an item does not change the relative
/// order of the others.
pub fn rendezvous_order<T>(key: &str, items: &mut [T], name: impl Fn(&T) -> &str) {
    items.sort_by_cached_key(|item| std::cmp::Reverse(stable_hash(&[key, name(item)])));
}
