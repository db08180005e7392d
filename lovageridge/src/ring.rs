//! Bounded rings: taking what waits in batches.

use std::time::Duration;
use std::time::Instant;

use flume::Receiver;

/// How a batch is collected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Batching {
    /// Longest wait for a first item.
    pub first_wait: Duration,
    /// Time for which further items are waited for.
    pub window: Duration,
    /// Most items in one batch.
    pub max: usize,
}

/// Waits for a first item and takes those that follow within the window; empty when none came.
pub fn collect<T>(ring: &Receiver<T>, batching: Batching) -> Vec<T> {
    let Ok(first) = ring.recv_timeout(batching.first_wait) else { return Vec::new() };
    let mut batch = vec![first];
    let until = Instant::now() + batching.window;
    while batch.len() < batching.max {
        match ring.recv_deadline(until) {
            Ok(item) => batch.push(item),
            Err(_) => break,
        }
    }
    batch
}

#[cfg(test)]
mod tests;
