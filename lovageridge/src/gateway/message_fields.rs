//! What the product goes by in requests and answers, apart from any dialect.

/// What a caller's request says of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestFields {
    /// Id of the request.
    pub id: Option<String>,
    /// Time for which the caller waits, in ms.
    pub deadline_ms: Option<u64>,
    /// Model.
    pub model: Option<String>,
    /// Adapter of the model.
    pub adapter: Option<String>,
    /// Event after which a stream shall go on.
    pub last_event_id: Option<String>,
}

/// What the product adds to a request to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamFields<'a> {
    /// Time that the upstream has, in ms.
    pub remaining_ms: u64,
    /// Worker that shall take the request and no other.
    pub worker_id: &'a str,
    /// Urgency at the worker, 0 being the most urgent.
    pub urgency: Option<u8>,
    /// Event after which a stream shall go on.
    pub last_event_id: Option<&'a str>,
}

/// Load of a worker as its answer tells it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportedLoad {
    /// Requests in progress.
    pub running: u32,
    /// Requests in the queue.
    pub waiting: u32,
}

/// What the head of an upstream's answer says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseFields {
    /// Id of the request that is answered.
    pub id: Option<String>,
    /// The worker states that it did not run the request.
    pub not_executed: bool,
    /// The answer bears the worker's receipt.
    pub has_receipt: bool,
    /// The body has an encoding, so it is not the worker's own.
    pub encoded: bool,
    /// Load of the worker.
    pub load: Option<ReportedLoad>,
    /// Time after which the worker closes an idle connection, in ms.
    pub idle_timeout_ms: Option<u64>,
    /// The worker closes the connection after the answer.
    pub closes_connection: bool,
}
