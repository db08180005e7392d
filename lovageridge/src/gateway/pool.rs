//! Pool of idle connections to upstreams.

use std::collections::VecDeque;

use hyper::client::conn::http1::SendRequest;

use crate::gateway::connection::SendBody;
use crate::sorted::Table;

#[cfg(test)]
mod tests;

/// Longest idle time of a pooled connection, in ms; shorter than any upstream's idle timeout.
pub const IDLE_MAX_MS: u64 = 2000;
/// Longest idle time of a connection to a worker that states a longer timeout, in ms, where connections are kept
/// for reuse. The instances of a large deployment use each worker about every 10 s.
pub const KEPT_IDLE_MAX_MS: u64 = 30_000;
/// Margin before an upstream's idle timeout at which a connection is no longer used, in ms.
const IDLE_MARGIN_MS: u64 = 600;
/// Largest number of idle connections to one worker.
const IDLE_PER_WORKER_MAX: usize = 8;

struct IdleConnection {
    sender: SendRequest<SendBody>,
    idle_since_ms: u64,
    usable_until_ms: u64,
}

impl IdleConnection {
    fn is_usable(&self, now_ms: u64) -> bool {
        now_ms < self.usable_until_ms && self.sender.is_ready()
    }

    fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.idle_since_ms)
    }
}

/// Idle connections by worker id.
#[derive(Default)]
pub struct Pool {
    idle: Table<String, VecDeque<IdleConnection>>,
}

impl Pool {
    /// Removes and returns the usable connection to `worker_id` that has been idle for longest, but not over
    /// `idle_max_ms`: on it, a duplicate response is most likely noticed before the next request is sent.
    pub fn take(
        &mut self,
        worker_id: &str,
        idle_max_ms: u64,
        now_ms: u64,
    ) -> Option<SendRequest<SendBody>> {
        let idle = self.idle.get_mut(worker_id)?;
        let mut index = 0;
        while let Some(connection) = idle.get(index) {
            if !connection.is_usable(now_ms) {
                idle.remove(index);
            } else if connection.age_ms(now_ms) <= idle_max_ms {
                break;
            } else {
                index += 1;
            }
        }
        let connection = idle.remove(index);
        if idle.is_empty() {
            self.idle.remove(worker_id);
        }
        connection.map(|connection| connection.sender)
    }

    /// Returns the remaining time of the connection that `take` would return, in ms; `None` if there is none.
    pub fn remaining_ms(&self, worker_id: &str, idle_max_ms: u64, now_ms: u64) -> Option<u64> {
        let is_usable = |connection: &&IdleConnection| {
            connection.is_usable(now_ms) && connection.age_ms(now_ms) <= idle_max_ms
        };
        let connection = self.idle.get(worker_id)?.iter().find(is_usable)?;
        Some(connection.usable_until_ms - now_ms)
    }

    /// Closes all idle connections.
    pub fn clear(&mut self) {
        self.idle.clear();
    }

    /// Adds a connection whose last response has been read completely, for at most `idle_max_ms` if the worker
    /// states its idle timeout.
    pub fn put(
        &mut self,
        worker_id: &str,
        sender: SendRequest<SendBody>,
        idle_timeout_ms: Option<u64>,
        idle_max_ms: u64,
        now_ms: u64,
    ) {
        let limit_ms = idle_timeout_ms.map_or(IDLE_MAX_MS, |limit_ms| {
            limit_ms.saturating_sub(IDLE_MARGIN_MS).min(idle_max_ms)
        });
        if sender.is_closed() || limit_ms == 0 {
            return;
        }
        let idle = self.idle.get_or_insert_with(worker_id.to_owned(), VecDeque::new);
        if idle.len() >= IDLE_PER_WORKER_MAX {
            idle.pop_front();
        }
        idle.push_back(IdleConnection {
            sender,
            idle_since_ms: now_ms,
            usable_until_ms: now_ms + limit_ms,
        });
    }

    /// Closes all idle connections to a worker.
    pub fn remove_worker(&mut self, worker_id: &str) {
        self.idle.remove(worker_id);
    }

    /// Closes connections that have been idle for too long.
    pub fn expire(&mut self, now_ms: u64) {
        self.idle.retain(|_, idle| {
            idle.retain(|connection| {
                now_ms < connection.usable_until_ms && connection.idle_since_ms <= now_ms
            });
            !idle.is_empty()
        });
    }
}
