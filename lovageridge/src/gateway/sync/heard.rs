//! The newest configuration that this instance has heard of, and since when it is behind.

/// Newest version that was heard of or is in force.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeardConfig {
    version: u64,
    in_force: u64,
    since_ms: u64,
    reported_version: u64,
}

impl HeardConfig {
    /// Records that another instance has `version` in force; returns whether it is newer than all before.
    pub fn on_heard(&mut self, version: u64, now_ms: u64) -> bool {
        if version <= self.version {
            return false;
        }
        if !self.is_newer() {
            self.since_ms = now_ms;
        }
        self.version = version;
        true
    }

    /// Records that `version` is in force here.
    pub fn on_in_force(&mut self, version: u64) {
        self.in_force = version;
        self.version = self.version.max(version);
    }

    /// Returns whether a newer configuration is known of than the one in force.
    pub fn is_newer(&self) -> bool {
        self.version > self.in_force
    }

    /// Returns the newest version known of.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the time since which this instance is behind, in ms.
    pub fn since_ms(&self) -> u64 {
        self.since_ms
    }

    /// Returns whether this instance has been behind for `after_ms` and that was not reported yet for the
    /// newest version; counts it as reported.
    pub fn take_due_report(&mut self, now_ms: u64, after_ms: u64) -> bool {
        let is_due = self.is_newer()
            && self.reported_version < self.version
            && now_ms >= self.since_ms + after_ms;
        if is_due {
            self.reported_version = self.version;
        }
        is_due
    }
}
