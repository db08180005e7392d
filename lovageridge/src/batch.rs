//! Receives items from a channel in batches.

use std::time::Duration;
use std::time::Instant;

use flume::Receiver;

/// Limits on the size and duration of one batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BatchLimits {
    /// Longest wait for the first item.
    pub first_item_timeout: Duration,
    /// Longest wait for further items after the first one.
    pub window: Duration,
    /// Most items in one batch.
    pub max_items: usize,
}

/// Waits for a first item and collects those that follow within the window, up to `max_items`; empty if no
/// item arrived in time.
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
