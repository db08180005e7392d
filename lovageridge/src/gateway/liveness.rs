//! Checks whether a worker whose response has stopped may still be at work on it.
//!
//! A worker preempts streams when its memory runs out and goes on with them later, and not every worker ends a run
//! whose connection closes. A stream therefore goes on at another worker only once the first one is known not to
//! work on it, or cannot be reached.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::gateway::attempt::Call;
use crate::gateway::attempt::send::InFlight;
use crate::gateway::connection;
use crate::gateway::connection::CallResponse;
use crate::gateway::connection::HttpClient;
use crate::gateway::eventlog::Severity;
use crate::gateway::orders::WorkerReport;
use crate::platform::control;
use crate::platform::headers;
use crate::telemetry::events;

#[cfg(test)]
mod tests;

/// Longest time for an answer of the worker; callers disconnect two seconds after the last event.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Status with which a worker answers calls that name another worker.
const OTHER_WORKER: u16 = 421;

/// What is known of a run whose response has stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunState {
    /// Its worker answers and may be at work on it.
    MayBeAtWork,
    /// Its worker has ended, has started again since or has no request.
    Ended,
    /// Its worker does not answer.
    Unreachable,
}

impl RunState {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::MayBeAtWork => "may_be_at_work",
            Self::Ended => "ended",
            Self::Unreachable => "unreachable",
        }
    }
}

/// Asks the worker of a request that has sent nothing for `silent_ms` for its state.
pub async fn check(
    gateway: &Gateway,
    call: &Call,
    in_flight: &InFlight,
    silent_ms: u64,
) -> RunState {
    let state = match call.target {
        Some(_) => check_report(in_flight).await,
        None => check_port(in_flight).await,
    };
    let line = gateway.log.line(events::STREAM_STALLED, Severity::Notable);
    line.text("request", call.id())
        .text("worker", &in_flight.worker_id)
        .text("run", state.name())
        .number("silent_ms", silent_ms)
        .emit();
    state
}

async fn check_report(in_flight: &InFlight) -> RunState {
    let mut client = HttpClient::for_worker(in_flight.addr);
    let headers = headers::control_headers(&in_flight.worker_id);
    // Only the outer timeout ends the call.
    let call_timeout = CHECK_TIMEOUT * 2;
    let path = control::REPORT_PATH;
    let calling = client.call(Method::GET, path, headers, Bytes::new(), call_timeout);
    match timeout(CHECK_TIMEOUT, calling).await {
        Ok(result) => state_by_report(result, in_flight.start_unix_ms),
        Err(_) => RunState::Unreachable,
    }
}

/// Returns the state of a run by the answer of its worker to a call for its report. `start_unix_ms` is the start time
/// of the process that the request was sent to.
fn state_by_report(
    result: Result<CallResponse, connection::Error>,
    start_unix_ms: Option<u64>,
) -> RunState {
    let response = match result {
        Ok(response) => response,
        Err(connection::Error::Connect(_)) => return RunState::Ended,
        // A worker resets connections beyond the number that it accepts.
        Err(connection::Error::NoAnswer(_)) => return RunState::MayBeAtWork,
    };
    if response.status_code == OTHER_WORKER {
        return RunState::Ended;
    }
    let report = (response.status_code == 200).then(|| control::parse_report(&response.body));
    let Some(Ok(report)) = report else { return RunState::MayBeAtWork };
    if has_restarted(&report, start_unix_ms) || report.is_idle {
        RunState::Ended
    } else {
        RunState::MayBeAtWork
    }
}

fn has_restarted(report: &WorkerReport, start_unix_ms: Option<u64>) -> bool {
    // 0 if it is not told.
    let told = |start: &u64| *start != 0;
    let stated = Some(report.start_unix_ms).filter(told);
    matches!((start_unix_ms.filter(told), stated), (Some(start), Some(stated)) if start != stated)
}

/// The same for workers without reports.
async fn check_port(in_flight: &InFlight) -> RunState {
    match timeout(CHECK_TIMEOUT, connection::dial(in_flight.addr, CHECK_TIMEOUT * 2)).await {
        Ok(Ok(_)) => RunState::MayBeAtWork,
        Ok(Err(_)) => RunState::Ended,
        Err(_) => RunState::Unreachable,
    }
}
