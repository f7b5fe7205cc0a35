//! Frames of HTTP/2.

/// The start of a connection, with empty settings.
pub const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00";

/// Types of frames.
pub const DATA: u8 = 0;
pub const HEADERS: u8 = 1;
pub const RST_STREAM: u8 = 3;
pub const CONTINUATION: u8 = 9;

/// Flag of the last frame of a body.
pub const END_STREAM: u8 = 1;

/// Flag of the last part of a head.
pub const END_HEADERS: u8 = 4;

/// One frame.
pub fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).expect("a short frame");
    let mut bytes = length.to_be_bytes()[1..].to_vec();
    bytes.extend([kind, flags]);
    bytes.extend(stream.to_be_bytes());
    bytes.extend(payload);
    bytes
}
