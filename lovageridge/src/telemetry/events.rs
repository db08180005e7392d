//! Numbered log events; `docs/EVENTS.md` lists and explains them.

use log::warn;

/// A kind of log event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Event {
    /// Number of the event; a number is never reused for another meaning.
    pub number: u32,
    /// Short name in snake case, as it stands in the log line.
    pub name: &'static str,
}

impl Event {
    /// Returns the log line of the event; `detail` holds further `key=value` pairs.
    pub fn text(&self, instance_id: &str, detail: &str) -> String {
        format!("E{:04} {} instance={instance_id} {detail}", self.number, self.name)
    }

    /// Logs the event as a warning.
    pub fn log_warning(&self, instance_id: &str, detail: &str) {
        warn!("{}", self.text(instance_id, detail));
    }
}

macro_rules! events {
    ($($(#[$doc:meta])* $id:ident = $number:literal $name:literal;)*) => {
        $($(#[$doc])* pub const $id: Event = Event { number: $number, name: $name };)*
        /// All events, ordered by number.
        pub const ALL: &[Event] = &[$($id),*];
    };
}

events! {
    /// The instance is ready to serve requests.
    READY = 1 "ready";
    /// The instance started to shut down.
    LEAVING = 2 "leaving";
    /// The instance stopped; all its threads have ended.
    STOPPED = 3 "stopped";
    /// A driver thread could not be started.
    THREAD_FAILED = 4 "thread_failed";
    /// A configuration version is now in force.
    CONFIG_ACCEPTED = 100 "config_accepted";
    /// An edit was rejected.
    CONFIG_REJECTED = 101 "config_rejected";
    /// The configuration was taken from another instance.
    CONFIG_FROM_PEER = 102 "config_from_peer";
    /// The platform's log does not respond.
    LOG_UNREACHABLE = 200 "log_unreachable";
    /// The platform's instance list does not respond.
    LIST_UNREACHABLE = 201 "list_unreachable";
    /// The platform's instance list responds again.
    LIST_REACHABLE = 202 "list_reachable";
    /// The port for other instances cannot be used.
    PEERS_PORT = 203 "peers_port";
    /// The trace collector does not respond or refuses spans.
    TRACES_UNREACHABLE = 204 "traces_unreachable";
    /// A claim to lead a cell was appended to the log.
    CELL_CLAIMED = 300 "cell_claimed";
    /// The instance became lead of a cell.
    CELL_LED = 301 "cell_led";
    /// The instance is no longer lead of a cell.
    CELL_LOST = 302 "cell_lost";
    /// The lead of a cell decided to load a model.
    LOAD_DECIDED = 400 "load_decided";
    /// A worker was ordered to unload a replica.
    UNLOAD_ORDERED = 401 "unload_ordered";
    /// A call to a worker failed.
    WORKER_FAILED = 402 "worker_failed";
    /// An attempt at an upstream was interrupted or failed.
    ATTEMPT_BROKEN = 500 "attempt_broken";
    /// A request ended without knowing whether it ran.
    OUTCOME_UNKNOWN = 501 "outcome_unknown";
    /// An administration call was refused.
    ADMIN_REFUSED = 600 "admin_refused";
    /// A team's edit of the configuration was appended to the log.
    EDIT_APPENDED = 601 "edit_appended";
    /// The gateway answered a request with an upstream's response.
    REQUEST_ANSWERED = 700 "request_answered";
    /// The gateway refused a request with an error response.
    REQUEST_REFUSED = 701 "request_refused";
    /// A request sent to an upstream returned no usable response.
    SEND_FAILED = 702 "send_failed";
    /// A stream was forwarded to the caller until its end.
    STREAM_ENDED = 703 "stream_ended";
    /// A stream from an upstream was interrupted.
    STREAM_BROKEN = 704 "stream_broken";
    /// An interrupted stream was resumed on another worker.
    STREAM_RESUMED = 705 "stream_resumed";
    /// A stream to a caller ended before it was complete.
    STREAM_CUT = 706 "stream_cut";
    /// A connection of a caller could not be accepted.
    ACCEPT_FAILED = 707 "accept_failed";
    /// The operator's configuration is now in force.
    CONFIG_IN_FORCE = 710 "config_in_force";
    /// The settings file was reloaded.
    SETTINGS_READ = 711 "settings_read";
    /// The store does not respond.
    STORE_UNREACHABLE = 712 "store_unreachable";
    /// The store responds again.
    STORE_REACHABLE = 713 "store_reachable";
    /// A record in the store could not be decoded and was skipped.
    RECORD_SKIPPED = 714 "record_skipped";
    /// The store's records were copied from another instance.
    RECORDS_FROM_PEER = 715 "records_from_peer";
    /// A worker appeared, restarted, or started to leave.
    WORKER_CHANGED = 716 "worker_changed";
    /// A worker was removed.
    WORKER_GONE = 717 "worker_gone";
    /// A call to the store other than reading records failed.
    STORE_CALL_FAILED = 718 "store_call_failed";
    /// The records could not be copied from another instance.
    SNAPSHOT_FAILED = 719 "snapshot_failed";
    /// A message from another lead was received.
    LEAD_HEARD = 720 "lead_heard";
    /// The instance became lead of the model workers.
    LEAD_GAINED = 721 "lead_gained";
    /// The instance is no longer lead.
    LEAD_LOST = 722 "lead_lost";
    /// A worker responded to an order, or the order timed out.
    ORDER_ANSWERED = 723 "order_answered";
    /// A worker sent no status report.
    REPORT_MISSING = 724 "report_missing";
    /// The lead decided to load a model or an adapter.
    LOAD_PLANNED = 725 "load_planned";
    /// Another instance, or this one itself, now reads the store's records for this instance.
    READER_CHANGED = 726 "reader_changed";
    /// A message or record could not be encoded and was not sent.
    ENCODE_FAILED = 727 "encode_failed";
    /// A datagram could not be received or decoded.
    DATAGRAM_DROPPED = 728 "datagram_dropped";
    /// A worker's response was truncated.
    ANSWER_BROKEN = 729 "answer_broken";
    /// It was checked whether a worker has crashed whose connection broke.
    WORKER_CRASH_CHECKED = 730 "worker_crash_checked";
    /// Requests with a prompt part are now refused, since it crashes workers.
    PART_BLOCKED = 731 "part_blocked";
    /// Requests with a prompt part are no longer refused.
    PART_UNBLOCKED = 732 "part_unblocked";
    /// A request with a blocked prompt part is sent to a worker.
    PART_PROBED = 733 "part_probed";
    /// A worker stated another limit on its requests than before, or none any longer.
    LIMIT_STATED = 734 "limit_stated";
    /// The instance that grants sends to a limited worker did not answer.
    GRANTING_SILENT = 735 "granting_silent";
    /// Another instance has had a newer configuration for some time.
    CONFIG_BEHIND = 736 "config_behind";
    /// The store has come back from an older copy of itself.
    STORE_RESTORED = 737 "store_restored";
    /// A worker has said in a response that it is shutting down.
    WORKER_SAID_LEAVING = 738 "worker_said_leaving";
    /// A request is refused since it would wait for too long at a worker.
    QUEUE_REFUSED = 739 "queue_refused";
    /// A worker has ended by the time that a response without length has.
    WORKER_END_CHECKED = 740 "worker_end_checked";
    /// A stream has sent nothing for some time, and its worker was asked whether it may be at work on it.
    STREAM_STALLED = 741 "stream_stalled";
    /// Requests with a key are refused from now on, since the configuration may be outdated.
    ACCOUNTS_STALE = 760 "accounts_stale";
    /// Requests with a key are served again.
    ACCOUNTS_FRESH = 761 "accounts_fresh";
    /// Requests of an account are refused since its limit is used up.
    ALLOTMENT_EXCEEDED = 765 "allotment_exceeded";
    /// The instance has started or stopped to admit requests by its reserves.
    ALLOTMENT_RESERVE = 766 "allotment_reserve";
    /// The instance grants tokens of accounts as the lead, or does so at the full rates from now on.
    ALLOTMENT_LEAD = 767 "allotment_lead";
    /// A batch of workers' records was missed; says where the records were taken from.
    RECORDS_GAP = 770 "records_gap";
    /// At its start the instance has the configuration and the workers' records.
    START_COPIED = 771 "start_copied";
    /// Requests are refused since their bodies do not fit into the memory.
    MEMORY_REFUSED = 780 "memory_refused";
}
