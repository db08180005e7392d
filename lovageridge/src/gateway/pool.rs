//! Kept connections to upstreams.

use std::collections::VecDeque;

use hyper::client::conn::http1::SendRequest;

use crate::gateway::connection::SendBody;
use crate::sorted::Table;

/// Idle time up to which a connection is used again, in ms; shorter than any upstream's own limit.
const IDLE_MAX_MS: u64 = 2000;
/// Time before an upstream's own idle limit at which a connection is given up, in ms.
const IDLE_MARGIN_MS: u64 = 600;
/// Idle connections kept to one worker.
const IDLE_PER_WORKER_MAX: usize = 8;

struct IdleConnection {
    sender: SendRequest<SendBody>,
    idle_since_ms: u64,
    usable_until_ms: u64,
}

/// Idle connections by worker.
#[derive(Default)]
pub struct Pool {
    idle: Table<String, VecDeque<IdleConnection>>,
}

impl Pool {
    /// Takes the connection to `worker_id` that has been idle for longest and is still good: an
    /// answer that came once too often shows on it before the next request goes out.
    pub fn take(&mut self, worker_id: &str, now_ms: u64) -> Option<SendRequest<SendBody>> {
        let idle = self.idle.get_mut(worker_id)?;
        while let Some(connection) = idle.pop_front() {
            if now_ms < connection.usable_until_ms && connection.sender.is_ready() {
                return Some(connection.sender);
            }
        }
        self.idle.remove(worker_id);
        None
    }

    /// Keeps a connection whose answer has been read to its end.
    pub fn put(
        &mut self,
        worker_id: &str,
        sender: SendRequest<SendBody>,
        idle_timeout_ms: Option<u64>,
        now_ms: u64,
    ) {
        let limit_ms = idle_timeout_ms.map_or(IDLE_MAX_MS, |limit_ms| {
            limit_ms.saturating_sub(IDLE_MARGIN_MS).min(IDLE_MAX_MS)
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

    /// Drops all connections to a worker.
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
