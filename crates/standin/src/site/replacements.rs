//! Replaces addresses in values of rows, so that nodes reach others through proxies.

use std::net::SocketAddr;

/// Two addresses as they stand in rows.
pub(super) fn quoted_pair(from: SocketAddr, to: SocketAddr) -> (String, String) {
    (format!("\"{from}\""), format!("\"{to}\""))
}

/// Replaces texts in a value; one that isn't text stays as it is.
pub(super) fn replace_all(value: &[u8], replacements: &[(String, String)]) -> Vec<u8> {
    let Ok(text) = std::str::from_utf8(value) else {
        return value.to_vec();
    };
    let mut text = text.to_owned();
    for (from, to) in replacements {
        text = text.replace(from, to);
    }
    text.into_bytes()
}
