//! Fingerprints, by which the same request is recognised from other callers and at other daemons.

use {
    crate::macros::key_type,
    std::{
        fmt::{Display, Formatter},
        net::{IpAddr, SocketAddr},
        str::FromStr,
    },
    xxhash_rust::xxh3::Xxh3Default,
};

key_type! {
    /// Hash of what requests to the same effect have in common.
    pub struct RequestFingerprint(pub u64);
}

impl Display for RequestFingerprint {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Parts of a request head that its fingerprint covers. Other headers differ from one caller to the next.
#[derive(Debug, Clone, Copy)]
pub struct RequestHead<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Host that the caller named, with or without a port. An IP address is left out: a caller without a name for the service
    /// uses that of its daemon, which differs from one caller to the next.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
}

key_type! {
    /// Fingerprints of one call. A body that differs each time must not hide a deadly path, nor a path that all requests
    /// share a deadly body, so both are told apart.
    pub struct CallFingerprints {
        /// That of the head.
        pub head: RequestFingerprint,
        /// That of head and body; `None` for a request without a body or with one that is streamed.
        pub content: Option<RequestFingerprint>,
    }
}

impl CallFingerprints {
    /// Computes the fingerprints of a request.
    pub fn of(head: RequestHead<'_>, body: Option<&[u8]>) -> Self {
        let mut hasher = Xxh3Default::new();
        for part in [head.route, head.method, host_name(head.host), head.path] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        let of_head = RequestFingerprint(hasher.digest());
        let content = body.filter(|body| !body.is_empty()).map(|body| {
            hasher.update(body);
            RequestFingerprint(hasher.digest())
        });
        Self {
            head: of_head,
            content,
        }
    }

    /// Returns the fingerprints.
    pub fn iter(&self) -> impl Iterator<Item = RequestFingerprint> + use<> {
        [Some(self.head), self.content].into_iter().flatten()
    }

    /// Returns whether a run of one of two calls may be a run of the other.
    pub fn overlaps(&self, other: &Self) -> bool {
        self.iter()
            .any(|fingerprint| other.iter().any(|other| other == fingerprint))
    }
}

impl Display for CallFingerprints {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self.content {
            Some(content) => write!(f, "{}-{content}", self.head),
            None => write!(f, "{}", self.head),
        }
    }
}

/// Returns the host without its port; empty for an IP address.
fn host_name(host: &str) -> &str {
    if host.parse::<SocketAddr>().is_ok() || host.parse::<IpAddr>().is_ok() || host.starts_with('[') {
        return "";
    }
    host.split(':').next().unwrap_or(host)
}

/// A text that is not of the form of [`CallFingerprints`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MalformedFingerprints;

impl FromStr for CallFingerprints {
    type Err = MalformedFingerprints;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse = |word: &str| {
            let hash = u64::from_str_radix(word, 16).map_err(|_| MalformedFingerprints)?;
            Ok(RequestFingerprint(hash))
        };
        let (head, content) = match text.split_once('-') {
            Some((head, content)) => (head, Some(content)),
            None => (text, None),
        };
        Ok(Self {
            head: parse(head)?,
            content: content.map(parse).transpose()?,
        })
    }
}
