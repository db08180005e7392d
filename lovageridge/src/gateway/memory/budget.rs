//! Limit on the bytes held by an instance, with a reserved part for each class of data.

#[cfg(test)]
mod tests;

/// Largest body of a request that counts as small, in bytes.
pub const SMALL_BODY_MAX_BYTES: u64 = 64 << 10;
/// Share of the memory that may hold bodies and responses, in percent. The rest is for records,
/// connections, socket buffers and what the allocator keeps.
const HELD_SHARE_PCT: u64 = 50;
/// Bytes in a megabyte, as the settings count them.
const MEGABYTE: u64 = 1_000_000;

/// Kind of data that is held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Class {
    /// Body of a request of at most [`SMALL_BODY_MAX_BYTES`].
    SmallBody,
    /// Longer body of a request.
    LargeBody,
    /// Response that is read to its end before it is forwarded.
    Response,
    /// Data of a stream that the caller has not taken yet.
    Stream,
}

impl Class {
    /// All classes, in the order of their index.
    pub const ALL: [Self; 4] = [Self::SmallBody, Self::LargeBody, Self::Response, Self::Stream];

    /// Returns the class of a request's body.
    pub fn of_body(bytes: u64) -> Self {
        if bytes <= SMALL_BODY_MAX_BYTES { Self::SmallBody } else { Self::LargeBody }
    }

    /// Returns the name of the class in metrics and log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::SmallBody => "small_body",
            Self::LargeBody => "large_body",
            Self::Response => "response",
            Self::Stream => "stream",
        }
    }

    /// Returns the part of the limit that other classes cannot use, in percent. Large bodies have none:
    /// they wait for responses, which need room to be read while large bodies take the rest.
    fn reserved_pct(self) -> u64 {
        match self {
            Self::LargeBody => 0,
            Self::SmallBody | Self::Response | Self::Stream => 12,
        }
    }

    fn index(self) -> usize {
        self as usize
    }
}

/// Bytes held by class, and their limit.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    limit_bytes: Option<u64>,
    held_bytes: [u64; Class::ALL.len()],
}

impl Budget {
    /// Returns an empty budget of an instance with this memory; without it, there is no limit.
    pub fn new(memory_mb: Option<u64>) -> Self {
        let mut budget = Self::default();
        budget.set_memory_mb(memory_mb);
        budget
    }

    /// Changes the memory of the instance; what is held stays.
    pub fn set_memory_mb(&mut self, memory_mb: Option<u64>) {
        let share = |mb: u64| mb.saturating_mul(MEGABYTE / 100).saturating_mul(HELD_SHARE_PCT);
        self.limit_bytes = memory_mb.map(share);
    }

    /// Returns the limit on all bytes; `None` if there is none.
    pub fn limit_bytes(&self) -> Option<u64> {
        self.limit_bytes
    }

    /// Returns the bytes that are held in a class.
    pub fn held_bytes(&self, class: Class) -> u64 {
        self.held_bytes[class.index()]
    }

    /// Reserves bytes; returns whether they fit. If not, nothing changes.
    pub fn reserve(&mut self, class: Class, bytes: u64) -> bool {
        self.replace((class, 0), (class, bytes))
    }

    /// Replaces a reservation by a larger one, perhaps of another class; returns whether it fits. If not,
    /// nothing changes.
    pub fn grow(&mut self, held: (Class, u64), wanted: (Class, u64)) -> bool {
        self.replace(held, wanted)
    }

    /// Counts bytes whether they fit or not.
    pub fn add(&mut self, class: Class, bytes: u64) {
        let held = &mut self.held_bytes[class.index()];
        *held = held.saturating_add(bytes);
    }

    /// Returns reserved bytes.
    pub fn release(&mut self, class: Class, bytes: u64) {
        let held = &mut self.held_bytes[class.index()];
        *held = held.saturating_sub(bytes);
    }

    fn replace(&mut self, held: (Class, u64), wanted: (Class, u64)) -> bool {
        let mut changed = self.clone();
        changed.release(held.0, held.1);
        changed.add(wanted.0, wanted.1);
        let fits = changed.is_within_limit(wanted.0);
        if fits {
            *self = changed;
        }
        fits
    }

    /// Returns whether what a class holds fits into its reserved part, or all classes with the parts that
    /// are reserved for others into the limit.
    fn is_within_limit(&self, class: Class) -> bool {
        let Some(limit_bytes) = self.limit_bytes else { return true };
        let reserved_bytes = |class: Class| limit_bytes / 100 * class.reserved_pct();
        let used_bytes = Class::ALL.iter().fold(0_u64, |sum, class| {
            sum.saturating_add(self.held_bytes(*class).max(reserved_bytes(*class)))
        });
        self.held_bytes(class) <= reserved_bytes(class) || used_bytes <= limit_bytes
    }
}
