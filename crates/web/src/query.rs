//! Query string parsing.

/// Returns the value of a parameter in a query string.
///
/// Percent-encoding is not decoded, because the protocols of this system use only names and numbers
/// as values, which need no escaping.
#[must_use]
pub fn query_value<'query>(query: &'query str, name: &str) -> Option<&'query str> {
    for pair in query.split('&') {
        let Some((key, value)) = pair.split_once('=') else {
            continue;
        };
        if key == name {
            return Some(value);
        }
    }
    None
}
