//! Finds the events in the bytes of an event stream as they arrive.
//!
//! Lines end in LF, CR LF or CR, and an empty line ends an event (HTML Living Standard, section
//! 9.2.5). Nothing else is decoded, and no bytes are kept but the beginning of the current line.

/// Byte order mark with which a stream may begin.
pub const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();
/// Bytes kept of a line: a name and the longest id by which a stream can be resumed.
const MAX_LINE_BYTES: usize = 512;

/// Position in an event stream, and what is known of the events before it.
#[derive(Debug, Default, Clone)]
pub struct Scanner {
    /// Beginning of the current line, without its terminator.
    line: Vec<u8>,
    /// Whether the current line is longer than what is kept of it.
    line_is_long: bool,
    /// Whether a line of this stream has ended.
    has_lines: bool,
    /// Whether lines end in CR LF, as an earlier one did. A CR alone ends a line otherwise.
    uses_crlf: bool,
    /// Whether the last byte is a CR; if lines end in CR LF, the line goes on until the LF.
    after_cr: bool,
    /// Whether the current event has lines, comments included.
    has_event_lines: bool,
    /// Whether the current event has fields.
    has_fields: bool,
    /// Id of the current event.
    id: Option<String>,
    /// Id of the last complete event that has one.
    last_id: Option<String>,
    /// Whether a complete event without an id follows that one.
    is_past_last_id: bool,
    /// Number of complete events with fields.
    events: u64,
}

impl Scanner {
    /// Scans the next bytes. Returns the number of them up to the last end of an event among them,
    /// none if no event ends here.
    pub fn push(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        let mut rest = bytes;
        while let Some(&first) = rest.first() {
            let position = bytes.len() - rest.len();
            if std::mem::take(&mut self.after_cr) {
                if first == b'\n' {
                    let ends_event = if self.uses_crlf {
                        self.end_line()
                    } else {
                        // The CR has ended the line, perhaps as the last of the bytes before.
                        end == Some(position) || (position == 0 && self.is_between_events())
                    };
                    if ends_event {
                        end = Some(position + 1);
                    }
                    self.uses_crlf = true;
                    rest = &rest[1..];
                    continue;
                }
                if self.uses_crlf && self.end_line() {
                    end = Some(position);
                }
            }
            let len = rest.iter().position(|byte| matches!(byte, b'\r' | b'\n'));
            let text = &rest[..len.unwrap_or(rest.len())];
            let room = MAX_LINE_BYTES - self.line.len();
            self.line.extend_from_slice(&text[..text.len().min(room)]);
            self.line_is_long |= text.len() > room;
            let Some(len) = len else {
                return end;
            };
            self.after_cr = rest[len] == b'\r';
            rest = &rest[len + 1..];
            if !(self.after_cr && self.uses_crlf) && self.end_line() {
                end = Some(bytes.len() - rest.len());
            }
        }
        end
    }

    /// Ends the current line; returns whether it is empty and so ends an event.
    fn end_line(&mut self) -> bool {
        let mut line = std::mem::take(&mut self.line);
        let is_long = std::mem::take(&mut self.line_is_long);
        if !std::mem::replace(&mut self.has_lines, true) && line.starts_with(BYTE_ORDER_MARK) {
            line.drain(..BYTE_ORDER_MARK.len());
        }
        if line.is_empty() {
            self.end_event();
            return true;
        }
        self.has_event_lines = true;
        if line[0] == b':' {
            return false;
        }
        self.has_fields = true;
        if !is_long && let Some(value) = line.strip_prefix(b"id:") {
            let value = value.strip_prefix(b" ").unwrap_or(value);
            self.id = String::from_utf8(value.to_vec()).ok().filter(|id| !id.is_empty());
        }
        false
    }

    fn end_event(&mut self) {
        self.has_event_lines = false;
        let id = self.id.take();
        if std::mem::take(&mut self.has_fields) {
            self.events += 1;
            self.is_past_last_id = id.is_none();
            self.last_id = id.or(self.last_id.take());
        }
    }

    /// Continues with the first byte of another stream, which follows the last complete event.
    pub fn restart(&mut self) {
        let last_id = self.last_id.take();
        let (events, is_past_last_id) = (self.events, self.is_past_last_id);
        *self = Scanner { last_id, events, is_past_last_id, ..Scanner::default() };
    }

    /// Returns whether all bytes so far belong to complete events.
    pub fn is_between_events(&self) -> bool {
        let mid_terminator = self.after_cr && self.uses_crlf;
        self.line.is_empty() && !self.has_event_lines && !mid_terminator
    }

    /// Returns the number of complete events.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns the id of the last complete event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether a stream that is resumed after `last_id` repeats none of the complete events.
    pub fn can_resume(&self) -> bool {
        !self.is_past_last_id
    }
}
