//! Comparison of hosts, which ignores case, a default port and the root's dot (RFC 9110, 4.2.3; RFC 3986, 3.2.2).

use std::borrow::Cow;

/// Default port of the scheme `http`.
const DEFAULT_PORT: &str = "80";

/// Returns the form of a host, with its port if it has another than the default one, in which equal hosts have equal text.
pub(super) fn normalize_host(host: &str) -> Cow<'_, str> {
    let (name, port) = split_port(host);
    let name = name.strip_suffix('.').unwrap_or(name);
    let port = port.filter(|port| !port.is_empty() && *port != DEFAULT_PORT);
    let is_lower = !name.bytes().any(|byte| byte.is_ascii_uppercase());
    match port {
        None if is_lower => Cow::Borrowed(name),
        None => Cow::Owned(name.to_ascii_lowercase()),
        Some(port) => Cow::Owned(format!("{}:{port}", name.to_ascii_lowercase())),
    }
}

/// Splits a host into its name or address and its port. The colons of an IPv6 address are between brackets.
pub(super) fn split_port(host: &str) -> (&str, Option<&str>) {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => (name, Some(port)),
        _ => (host, None),
    }
}
