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
    pub fn log_warning(&self, instance_id: &str, detail: &str) {
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
    /// The gateway answered a request with an upstream's answer.
    REQUEST_ANSWERED = 700 "request_answered";
    /// The gateway answered a request itself.
    REQUEST_REFUSED = 701 "request_refused";
    /// A send to an upstream gave no answer of use.
    SEND_FAILED = 702 "send_failed";
    /// A stream was passed on to its end.
    STREAM_ENDED = 703 "stream_ended";
    /// An upstream's stream broke.
    STREAM_BROKEN = 704 "stream_broken";
    /// A broken stream goes on at another worker.
    STREAM_RESUMED = 705 "stream_resumed";
    /// A stream to a caller was cut off.
    STREAM_CUT = 706 "stream_cut";
    /// A connection of a caller could not be accepted.
    ACCEPT_FAILED = 707 "accept_failed";
    /// A configuration of the operator is in force.
    CONFIG_IN_FORCE = 710 "config_in_force";
    /// The settings file was read again.
    SETTINGS_READ = 711 "settings_read";
    /// The store does not answer.
    STORE_UNREACHABLE = 712 "store_unreachable";
    /// The store answers again.
    STORE_REACHABLE = 713 "store_reachable";
    /// A record of the store cannot be read.
    RECORD_SKIPPED = 714 "record_skipped";
    /// Records of the store were taken from another instance.
    RECORDS_FROM_PEER = 715 "records_from_peer";
    /// A worker is new, has started again, or is leaving.
    WORKER_CHANGED = 716 "worker_changed";
    /// A worker is gone.
    WORKER_GONE = 717 "worker_gone";
    /// A call to the store beside the reads of its records failed.
    STORE_CALL_FAILED = 718 "store_call_failed";
    /// Records could not be taken from another instance.
    SNAPSHOT_FAILED = 719 "snapshot_failed";
    /// Another lead was heard.
    LEAD_HEARD = 720 "lead_heard";
    /// The instance leads the model workers.
    LEAD_GAINED = 721 "lead_gained";
    /// The instance leads no longer.
    LEAD_LOST = 722 "lead_lost";
    /// A worker answered an order, or did not.
    ORDER_ANSWERED = 723 "order_answered";
    /// A worker gave no report.
    REPORT_MISSING = 724 "report_missing";
    /// The lead decided a load.
    LOAD_PLANNED = 725 "load_planned";
    /// Another instance reads the store's records for this one, or it reads them itself.
    READER_CHANGED = 726 "reader_changed";
    /// A message or record could not be encoded and was not sent.
    ENCODE_FAILED = 727 "encode_failed";
    /// A datagram could not be received or is no message.
    DATAGRAM_DROPPED = 728 "datagram_dropped";
    /// A worker's answer broke off before it was whole.
    ANSWER_BROKEN = 729 "answer_broken";
}
