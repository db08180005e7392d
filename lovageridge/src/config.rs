//! The configuration duty: tails the log, folds edits, hands the newest document to other instances.

pub mod driver;
pub mod fold;
pub mod record;
#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use crate::config::fold::ConfigState;
use crate::config::fold::Verdict;
use crate::config::record::Snapshot;
use crate::document::Config;

/// The configuration in force, shared by all duties of an instance.
#[derive(Default)]
pub struct SharedConfig {
    state: Mutex<ConfigState>,
    changed: Condvar,
}

impl SharedConfig {
    /// Returns a store without accepted configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Locks the fold; a poisoned lock is taken over, since the fold changes only by whole values.
    pub fn lock(&self) -> MutexGuard<'_, ConfigState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Arc<Config> {
        Arc::clone(self.lock().config())
    }

    /// Returns the document in force with the state that a newcomer needs.
    pub fn snapshot(&self) -> Snapshot {
        self.lock().snapshot()
    }

    /// Changes the fold and wakes those who wait for a verdict.
    pub fn update<T>(&self, change: impl FnOnce(&mut ConfigState) -> T) -> T {
        let result = change(&mut self.lock());
        self.changed.notify_all();
        result
    }

    /// Waits until the edit `edit_id` has been folded, at most `timeout`.
    pub fn wait_for_verdict(&self, edit_id: &str, timeout: Duration) -> Option<Verdict> {
        let deadline = Instant::now() + timeout;
        let mut state = self.lock();
        loop {
            if let Some(verdict) = state.verdict(edit_id) {
                return Some(verdict.clone());
            }
            let remaining = deadline.checked_duration_since(Instant::now())?;
            state = match self.changed.wait_timeout(state, remaining) {
                Ok((fold, _)) => fold,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }
}
