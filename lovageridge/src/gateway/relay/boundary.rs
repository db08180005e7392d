//! Tells whether a stream of events is inside an event.

/// Position in a stream relative to its events, which end with a blank line.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventBoundary {
    line_bytes: usize,
    line_is_comment: bool,
    has_field: bool,
    after_carriage_return: bool,
    event_bytes: usize,
}

impl EventBoundary {
    /// Advances by the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.event_bytes += 1;
            match byte {
                b'\n' if self.after_carriage_return => {}
                b'\n' | b'\r' => self.end_line(),
                _ => {
                    if self.line_bytes == 0 {
                        self.line_is_comment = *byte == b':';
                    }
                    self.line_bytes += 1;
                }
            }
            self.after_carriage_return = *byte == b'\r';
        }
    }

    /// Returns whether an event has begun that has not ended; comments do not count.
    pub fn is_inside_event(&self) -> bool {
        self.has_field || (self.line_bytes > 0 && !self.line_is_comment)
    }

    /// Returns the number of bytes since the last blank line.
    pub fn event_bytes(&self) -> usize {
        self.event_bytes
    }

    fn end_line(&mut self) {
        if self.line_bytes == 0 {
            self.has_field = false;
            self.event_bytes = 0;
        } else if !self.line_is_comment {
            self.has_field = true;
        }
        self.line_bytes = 0;
    }
}
