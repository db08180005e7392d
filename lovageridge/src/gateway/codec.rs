//! Encoding of messages between instances and of records in the store.

use serde::Serialize;

use crate::gateway::Gateway;
use crate::gateway::eventlog::Severity;
use crate::telemetry::events;

/// Encodes `value`; a failure is logged with `what`, and `None` is returned.
pub fn encode(gateway: &Gateway, what: &str, value: &impl Serialize) -> Option<Vec<u8>> {
    match postcard::to_stdvec(value) {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            let line = gateway.log.line(events::ENCODE_FAILED, Severity::Notable);
            line.text("what", what).text("reason", error).emit();
            None
        }
    }
}
