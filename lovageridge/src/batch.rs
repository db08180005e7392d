//! Bounded rings: taking what waits in batches.

use std::time::Duration;
use std::time::Instant;

use flume::Receiver;

/// How a batch is collected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BatchLimits {
    /// Longest wait for a first item.
    pub first_item_timeout: Duration,
    /// Time for which further items are waited for.
    pub window: Duration,
    /// Most items in one batch.
    pub max_items: usize,
}

/// Waits for a first item and takes those that follow within the window; empty when none came.
pub fn receive_batch<T>(receiver: &Receiver<T>, limits: BatchLimits) -> Vec<T> {
    let Ok(first) = receiver.recv_timeout(limits.first_item_timeout) else { return Vec::new() };
    let mut batch = vec![first];
    let deadline = Instant::now() + limits.window;
    while batch.len() < limits.max_items {
        match receiver.recv_deadline(deadline) {
            Ok(item) => batch.push(item),
            Err(_) => break,
        }
    }
    batch
}

#[cfg(test)]
mod tests;
