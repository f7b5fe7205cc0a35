//! Lines of a request's head, counted as its bytes come.

/// What has come of the head that a connection is receiving.
#[derive(Debug, Clone, Copy, Default)]
pub struct HeadLines {
    /// Bytes, without empty lines before the head.
    pub bytes: usize,
    /// Lines that have ended.
    pub count: usize,
    /// Whether the empty line at the end has come.
    pub is_complete: bool,
    /// Bytes of empty lines before the head.
    skipped: usize,
    is_line_empty: bool,
}

impl HeadLines {
    /// Counts the lines in bytes that follow, up to the empty line at the end of the head; returns how many of them
    /// come after it.
    pub fn add(&mut self, bytes: &[u8]) -> usize {
        for (index, byte) in bytes.iter().enumerate() {
            if self.is_complete {
                return bytes.len() - index;
            }
            self.bytes += 1;
            match byte {
                b'\n' => {
                    self.is_complete = self.is_line_empty && self.count > 0;
                    self.count += 1;
                    self.is_line_empty = true;
                }
                b'\r' => {}
                _ => self.is_line_empty = false,
            }
        }
        0
    }

    /// Number of bytes of empty lines that `bytes` begins with, if the head has not begun. There are no more of them
    /// than a head may have.
    pub fn skip(&mut self, bytes: &[u8], limit: usize) -> usize {
        if self.bytes > 0 {
            return 0;
        }
        let empty = bytes
            .iter()
            .take_while(|byte| matches!(byte, b'\r' | b'\n'));
        let skipped = empty.count().min(limit.saturating_sub(self.skipped));
        self.skipped += skipped;
        skipped
    }
}
