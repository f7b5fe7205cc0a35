//! Values of query strings.

/// A value of a query string, as it stands there: the protocols of this system put only names and
/// numbers there, which need no escapes.
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
