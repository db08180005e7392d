//! Finds the ends of events in a stream.

/// End of a block of lines in a stream, which is a blank line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BlockEnd {
    /// Offset after the block in the bytes that were examined.
    pub offset: usize,
    /// Whether the block is an event; blank lines and comments alone are none.
    pub is_event: bool,
}

/// Position in a stream relative to its events, which end with a blank line. Each byte is examined once, however
/// the stream is cut.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventBoundary {
    line_bytes: usize,
    line_is_comment: bool,
    has_field: bool,
    after_carriage_return: bool,
    // Set after a blank line that ends with a carriage return, since a line feed may follow: whether the block
    // is an event.
    ended_block: Option<bool>,
    bytes_since_event: usize,
}

impl EventBoundary {
    /// Advances by the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        let mut rest = bytes;
        while let Some(end) = self.next_end(rest) {
            rest = &rest[end.offset..];
        }
    }

    /// Advances to the end of the next block, or by all of `bytes` if none ends there. A block that ends with a
    /// carriage return ends when the next byte is known.
    pub fn next_end(&mut self, bytes: &[u8]) -> Option<BlockEnd> {
        for (index, byte) in bytes.iter().enumerate() {
            let is_line_feed = *byte == b'\n';
            if let Some(is_event) = self.ended_block.take() {
                self.after_carriage_return = false;
                let offset = index + usize::from(is_line_feed);
                self.count_bytes(usize::from(is_line_feed), Some(is_event));
                return Some(BlockEnd { offset, is_event });
            }
            let ends_line = match byte {
                b'\n' => !self.after_carriage_return,
                b'\r' => true,
                _ => {
                    self.on_text(*byte);
                    false
                }
            };
            self.after_carriage_return = *byte == b'\r';
            let block = if ends_line { self.end_line() } else { None };
            self.count_bytes(1, block);
            if is_line_feed && let Some(is_event) = block {
                return Some(BlockEnd { offset: index + 1, is_event });
            }
            self.ended_block = block;
        }
        None
    }

    /// Returns at the end of the stream whether a block has ended whose end was not returned, and whether it is an
    /// event.
    pub fn finish(&mut self) -> Option<bool> {
        self.ended_block.take()
    }

    /// Returns whether an event has begun that has not ended; comments do not count.
    pub fn is_inside_event(&self) -> bool {
        self.has_field || (self.line_bytes > 0 && !self.line_is_comment)
    }

    /// Returns the number of bytes since the end of the last event, comments and blank lines included.
    pub fn bytes_since_event(&self) -> usize {
        self.bytes_since_event
    }

    fn on_text(&mut self, byte: u8) {
        if self.line_bytes == 0 {
            self.line_is_comment = byte == b':';
        }
        self.line_bytes += 1;
    }

    /// Ends a line; if it is blank, returns whether the block that it ends is an event.
    fn end_line(&mut self) -> Option<bool> {
        let is_blank = self.line_bytes == 0;
        self.line_bytes = 0;
        if is_blank {
            return Some(std::mem::take(&mut self.has_field));
        }
        self.has_field |= !self.line_is_comment;
        None
    }

    fn count_bytes(&mut self, count: usize, ended_block: Option<bool>) {
        self.bytes_since_event =
            if ended_block == Some(true) { 0 } else { self.bytes_since_event + count };
    }
}
