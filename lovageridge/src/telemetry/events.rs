//! Numbered log events; `docs/EVENTS.md` is their catalogue.

use log::warn;

/// A kind of log event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Event {
    /// Number of the event; it never changes its meaning.
    pub number: u32,
    /// Short name.
    pub name: &'static str,
}

impl Event {
    /// Returns the line of the event.
    pub fn text(&self, instance_id: &str, detail: &str) -> String {
        format!("E{:04} {} instance={instance_id} {detail}", self.number, self.name)
    }

    /// Writes the event as a warning.
    pub fn note(&self, instance_id: &str, detail: &str) {
        warn!("{}", self.text(instance_id, detail));
    }
}

macro_rules! events {
    ($($(#[$doc:meta])* $id:ident = $number:literal $name:literal;)*) => {
        $($(#[$doc])* pub const $id: Event = Event { number: $number, name: $name };)*
        /// All events in order of number.
        pub const ALL: &[Event] = &[$($id),*];
    };
}

events! {
    /// The instance is ready.
    READY = 1 "ready";
    /// The instance has begun to shut down.
    LEAVING = 2 "leaving";
    /// The instance has ended.
    STOPPED = 3 "stopped";
    /// A duty could not start its thread.
    THREAD_FAILED = 4 "thread_failed";
    /// A configuration is in force.
    CONFIG_ACCEPTED = 100 "config_accepted";
    /// An edit was rejected.
    CONFIG_REJECTED = 101 "config_rejected";
    /// The configuration was taken from another instance.
    CONFIG_FROM_PEER = 102 "config_from_peer";
    /// The log does not answer.
    LOG_UNREACHABLE = 200 "log_unreachable";
    /// The list does not answer.
    LIST_UNREACHABLE = 201 "list_unreachable";
    /// The list answers again.
    LIST_REACHABLE = 202 "list_reachable";
    /// The peers port is not usable.
    PEERS_PORT = 203 "peers_port";
    /// The trace collector does not answer.
    TRACES_UNREACHABLE = 204 "traces_unreachable";
    /// A claim of a cell was appended.
    CELL_CLAIMED = 300 "cell_claimed";
    /// The instance leads a cell.
    CELL_LED = 301 "cell_led";
    /// The instance leads a cell no longer.
    CELL_LOST = 302 "cell_lost";
    /// A load was decided.
    LOAD_DECIDED = 400 "load_decided";
    /// A replica was given up.
    UNLOAD_ORDERED = 401 "unload_ordered";
    /// A call to a worker failed.
    WORKER_FAILED = 402 "worker_failed";
    /// An upstream broke a request off.
    ATTEMPT_BROKEN = 500 "attempt_broken";
    /// A request ended with an unknown outcome.
    OUTCOME_UNKNOWN = 501 "outcome_unknown";
    /// An administration call was refused.
    ADMIN_REFUSED = 600 "admin_refused";
    /// An edit was appended for a team.
    EDIT_APPENDED = 601 "edit_appended";
}
