//! Configuration: reads edits from the log, applies them, and sends the newest document to other
//! instances.

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

/// The configuration in force, shared by all threads of an instance.
#[derive(Default)]
pub struct SharedConfig {
    state: Mutex<ConfigState>,
    changed: Condvar,
}

impl SharedConfig {
    /// Returns the state before the first accepted edit.
    pub fn new() -> Self {
        Self::default()
    }

    /// Locks the state.
    ///
    /// A poisoned lock is used all the same: the state is replaced by complete values only, so a
    /// panic while it was held cannot have left it half changed.
    pub fn lock(&self) -> MutexGuard<'_, ConfigState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Arc<Config> {
        Arc::clone(self.lock().config())
    }

    /// Returns the document in force and the state that a newly started instance needs.
    pub fn snapshot(&self) -> Snapshot {
        self.lock().snapshot()
    }

    /// Changes the state and wakes the threads that wait for a verdict.
    pub fn update<T>(&self, change: impl FnOnce(&mut ConfigState) -> T) -> T {
        let result = change(&mut self.lock());
        self.changed.notify_all();
        result
    }

    /// Waits until the edit `edit_id` has been applied or rejected.
    ///
    /// Returns `None` when that takes longer than `timeout`.
    pub fn wait_for_verdict(&self, edit_id: &str, timeout: Duration) -> Option<Verdict> {
        let deadline = Instant::now() + timeout;
        let mut state = self.lock();
        loop {
            if let Some(verdict) = state.verdict(edit_id) {
                return Some(verdict.clone());
            }
            let remaining = deadline.checked_duration_since(Instant::now())?;
            state = match self.changed.wait_timeout(state, remaining) {
                Ok((state, _)) => state,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }
}
