//! Parses logfmt lines.

/// The value of `key` in a logfmt line, without quotes; `None` if the line lacks the key.
#[must_use]
pub fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let mut rest = line;
    while let Some((name, after)) = rest.split_once('=') {
        let (value, next) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        if name.trim_start() == key {
            return Some(value);
        }
        rest = next;
    }
    None
}
