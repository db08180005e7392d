//! Records of the store in datagrams: large batches are compressed, and divided if they do not fit.

use crate::gateway::peers::Payload;
use crate::gateway::peers::RecordBatch;
use crate::gateway::sync::delta::Delta;

#[cfg(test)]
mod tests;

/// Size of records up to which they are sent as they are, in bytes.
const PLAIN_MAX_BYTES: usize = 8 << 10;
/// Largest compressed batch, in bytes; with the other fields it fits into a datagram.
const PACKED_MAX_BYTES: usize = 48 << 10;

/// Why a compressed batch cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The compressed bytes are damaged.
    #[error(transparent)]
    Delta(#[from] crate::gateway::sync::delta::Error),
    /// The batch is malformed.
    #[error("malformed batch: {0}")]
    Malformed(#[from] postcard::Error),
}

/// Returns the messages that carry `batch`, in the order of its records; `None` if a single record is
/// too large for a datagram.
pub fn payloads(batch: RecordBatch) -> Option<Vec<Payload>> {
    let len: usize = batch.records.iter().map(|(_, record)| record.len()).sum();
    if len <= PLAIN_MAX_BYTES {
        return Some(vec![Payload::Batch(batch)]);
    }
    let packed =
        postcard::to_stdvec(&batch).ok().and_then(|bytes| Delta::new(None, &bytes).ok())?;
    if packed.len() <= PACKED_MAX_BYTES {
        return Some(vec![Payload::PackedBatch(packed)]);
    }
    let (first, second) = divide(batch)?;
    let mut payloads = payloads(first)?;
    payloads.extend(self::payloads(second)?);
    Some(payloads)
}

/// Divides a batch into two that follow each other; `None` if it has only one record.
fn divide(mut batch: RecordBatch) -> Option<(RecordBatch, RecordBatch)> {
    let middle = batch.records.len() / 2;
    if middle == 0 {
        return None;
    }
    let records = batch.records.split_off(middle);
    let middle_offset = records.first().map(|(offset, _)| *offset)?;
    let second = RecordBatch { start_offset: middle_offset, records, ..batch.clone() };
    Some((RecordBatch { next_offset: middle_offset, ..batch }, second))
}

/// Returns the batch that was compressed into `packed`.
///
/// # Errors
/// Returns an error if the bytes are damaged or malformed.
pub fn unpack(packed: &Delta) -> Result<RecordBatch, Error> {
    Ok(postcard::from_bytes(&packed.restore(&[])?)?)
}
