//! Requests for sends that an instance has received from others, and their answers.
//!
//! Datagrams are lost, so requests are repeated under the same number. A repeated request gets the answer of
//! the first one, so that it does not use up a second send.

use std::collections::VecDeque;
use std::net::SocketAddr;

use crate::gateway::limits::Grant;

#[cfg(test)]
mod tests;

/// Number of received requests that are remembered.
const RECEIVED_MAX: usize = 256;

/// Where a request for a send comes from, and its number there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Requester {
    /// Address of the instance.
    pub addr: SocketAddr,
    /// Start time of its process, as Unix time in ms; its numbers start anew with it.
    pub incarnation: u64,
    /// Number of the request.
    pub number: u64,
}

/// State of a request that was received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Receipt {
    /// It has not been received before, or not been answered by the instance that it was passed on to.
    New,
    /// It is being passed on; the answer follows.
    InProgress,
    /// It was answered before.
    Answered(Grant),
}

/// The latest requests of other instances with their answers.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRequests {
    // Without an answer while they are passed on.
    requests: VecDeque<(Requester, Option<Grant>)>,
}

impl ReceivedRequests {
    /// Records a request. A new one has to be followed by [`Self::on_answer`] or [`Self::on_no_answer`].
    pub fn on_request(&mut self, from: Requester) -> Receipt {
        if let Some((_, grant)) = self.requests.iter().find(|(known, _)| *known == from) {
            return grant.map_or(Receipt::InProgress, Receipt::Answered);
        }
        self.push(from, None);
        Receipt::New
    }

    /// Records the answer to a request, also to one that is no longer remembered.
    pub fn on_answer(&mut self, from: Requester, answer: Grant) {
        match self.requests.iter_mut().find(|(known, _)| *known == from) {
            Some((_, grant)) => *grant = Some(answer),
            None => self.push(from, Some(answer)),
        }
    }

    /// Records that a request that was passed on got no answer: a repeated one is passed on again.
    pub fn on_no_answer(&mut self, from: Requester) {
        self.requests.retain(|(known, _)| *known != from);
    }
    fn push(&mut self, from: Requester, grant: Option<Grant>) {
        if self.requests.len() >= RECEIVED_MAX {
            self.requests.pop_front();
        }
        self.requests.push_back((from, grant));
    }
}
