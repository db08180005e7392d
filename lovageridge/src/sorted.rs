//! A map stored as a sorted vector, with lookup by binary search.

use std::borrow::Borrow;

use serde::Deserialize;
use serde::Serialize;

/// A map from `K` to `V`, stored as a vector of rows sorted by key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Table<K, V> {
    rows: Vec<(K, V)>,
}

impl<K, V> Default for Table<K, V> {
    fn default() -> Self {
        Self { rows: Vec::new() }
    }
}

impl<K: Ord, V> Table<K, V> {
    /// Returns an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    fn position<Q: Ord + ?Sized>(&self, key: &Q) -> Result<usize, usize>
    where
        K: Borrow<Q>,
    {
        self.rows.binary_search_by(|(k, _)| k.borrow().cmp(key))
    }

    /// Returns the value of `key`.
    pub fn get<Q: Ord + ?Sized>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
    {
        self.position(key).ok().map(|index| &self.rows[index].1)
    }

    /// Returns the first row whose key is not less than `key`.
    pub fn nearest<Q: Ord + ?Sized>(&self, key: &Q) -> Option<(&K, &V)>
    where
        K: Borrow<Q>,
    {
        let index = self.position(key).unwrap_or_else(|index| index);
        self.rows.get(index).map(|(k, v)| (k, v))
    }

    /// Returns a mutable reference to the value of `key`.
    pub fn get_mut<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<&mut V>
    where
        K: Borrow<Q>,
    {
        self.position(key).ok().map(|index| &mut self.rows[index].1)
    }

    /// Returns whether `key` is present.
    pub fn contains<Q: Ord + ?Sized>(&self, key: &Q) -> bool
    where
        K: Borrow<Q>,
    {
        self.position(key).is_ok()
    }

    /// Stores `value` under `key` and returns the previous value, if any.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        match self.position(&key) {
            Ok(index) => Some(std::mem::replace(&mut self.rows[index].1, value)),
            Err(index) => {
                self.rows.insert(index, (key, value));
                None
            }
        }
    }

    /// Removes `key` and returns its value.
    pub fn remove<Q: Ord + ?Sized>(&mut self, key: &Q) -> Option<V>
    where
        K: Borrow<Q>,
    {
        self.position(key).ok().map(|index| self.rows.remove(index).1)
    }

    /// Returns the value under `key`, storing `make()` first when it is absent.
    pub fn get_or_insert_with(&mut self, key: K, default: impl FnOnce() -> V) -> &mut V {
        let index = match self.position(&key) {
            Ok(index) => index,
            Err(index) => {
                self.rows.insert(index, (key, default()));
                index
            }
        };
        &mut self.rows[index].1
    }

    /// Keeps only the rows for which `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(&K, &mut V) -> bool) {
        self.rows.retain_mut(|(k, v)| keep(k, v));
    }

    /// Iterates over keys and values in key order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = (&K, &V)> + ExactSizeIterator {
        self.rows.iter().map(|(k, v)| (k, v))
    }

    /// Iterates over keys and mutable values in key order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.rows.iter_mut().map(|(k, v)| (&*k, v))
    }

    /// Iterates over the keys in order.
    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.rows.iter().map(|(k, _)| k)
    }

    /// Iterates over the values in key order.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.rows.iter().map(|(_, v)| v)
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the table has no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Removes all rows.
    pub fn clear(&mut self) {
        self.rows.clear();
    }
}

impl<K: Ord, V> FromIterator<(K, V)> for Table<K, V> {
    fn from_iter<I: IntoIterator<Item = (K, V)>>(rows: I) -> Self {
        let mut table = Self::new();
        for (key, value) in rows {
            table.insert(key, value);
        }
        table
    }
}
