//! Decides whether a response without length and chunks is complete once its connection has ended regularly.
//!
//! Such a response ends with its connection, and so does one whose worker's process ends in it. The two are told
//! apart by what the process says after the end, how its other responses ended, and what was announced of its exit.

use std::time::Duration;

use crate::gateway::directory::departed::ExitState;

pub mod driver;

#[cfg(test)]
mod tests;

/// Longest time to reach a process and for its answer, in ms: half of the time after which callers leave a stream without
/// an event. One that keeps its connections open for so long without an answer has not ended.
const WAIT_MAX_MS: u64 = 1000;
/// Longest time for an answer while a response that is not a stream waits for it, in ms; the worker's health may wait
/// for a slot.
const PLAIN_WAIT_MAX_MS: u64 = 300;
/// The shortest such time, in ms.
const PLAIN_WAIT_MIN_MS: u64 = 20;

/// What is known of a worker's process after the end of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessState {
    /// It has answered a question that was sent after the end.
    Answering,
    /// It does not answer, but its connections stand or it cannot be reached.
    Silent,
    /// It has ended.
    Gone,
}

impl ProcessState {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answering => "answering",
            Self::Silent => "silent",
            Self::Gone => "gone",
        }
    }
}

/// Returns whether a process that states `stated_unix_ms` as its start has started after the end of a response that
/// another one, known to have started at `known_unix_ms`, worked on for at least `age_ms`. Smaller differences are
/// between two statements of one process, such as its record and its report.
fn has_started_since(stated_unix_ms: u64, known_unix_ms: u64, age_ms: u64) -> bool {
    // 0 if it is not told.
    known_unix_ms > 0 && stated_unix_ms > known_unix_ms && stated_unix_ms - known_unix_ms >= age_ms
}

/// Longest times for which an ended response waits to learn what its worker's process does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Waits {
    /// Time to reach the process.
    pub connect: Duration,
    /// Time for its answer, once it is reached.
    pub answer: Duration,
}

impl Waits {
    /// Returns the times for a stream, whose caller has all of its data, `to_deadline_ms` before the deadline.
    pub fn of_stream(to_deadline_ms: u64) -> Self {
        let longest = Duration::from_millis(WAIT_MAX_MS.min(to_deadline_ms / 2));
        Self { connect: longest, answer: longest }
    }

    /// Returns the times for another response, which waits for an answer up to its latency objective, unless that has
    /// been missed. `to_objective_ms` is the time to the objective; 0 after it.
    pub fn of_plain(to_objective_ms: u64, to_deadline_ms: u64) -> Self {
        let Self { connect, answer: longest } = Self::of_stream(to_deadline_ms);
        let wait_ms = match to_objective_ms {
            0 => PLAIN_WAIT_MAX_MS,
            _ => to_objective_ms.clamp(PLAIN_WAIT_MIN_MS, PLAIN_WAIT_MAX_MS),
        };
        Self { connect, answer: Duration::from_millis(wait_ms).min(longest) }
    }
}

/// What is known of the end of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ending {
    /// State of the worker's process.
    pub process: ProcessState,
    /// Whether the process may have exited by itself.
    pub exit: ExitState,
    /// Whether another response of the process has broken off since the last data of this one.
    pub others_broke_off: bool,
    /// Time from the last event of a stream to its end, in ms; `None` for other responses.
    pub pause_ms: Option<u64>,
    /// Objective for the longest gap between two events of the stream, in ms; 0 if there is none.
    pub gap_objective_ms: u64,
}

impl Ending {
    /// Returns whether the worker has ended the response.
    pub fn is_complete(&self) -> bool {
        match self.process {
            // A process that ends closes all of its connections.
            ProcessState::Answering | ProcessState::Silent => true,
            ProcessState::Gone => {
                self.exit == ExitState::Due && !self.others_broke_off && !self.is_event_overdue()
            }
        }
    }

    /// Returns whether the stream was late for its next event when it ended, so that its worker was not about to
    /// exit but had stopped in the middle of the stream.
    fn is_event_overdue(&self) -> bool {
        let gap_max_ms = if self.gap_objective_ms > 0 { self.gap_objective_ms } else { u64::MAX };
        self.pause_ms.is_some_and(|pause_ms| pause_ms > gap_max_ms)
    }
}
