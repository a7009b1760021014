//! Checks of a caller's request head.

use {
    super::{
        super::body::{BodyFault, declared_length},
        CallRefusal, body_refusal,
    },
    crate::{
        call::RefusalReason,
        http::{MAX_HEADERS, MAX_REQUEST_HEAD_BYTES},
    },
    hyper::header::{EXPECT, HOST, TRANSFER_ENCODING},
    salvo::{
        Request,
        http::{HeaderMap, HeaderValue, Method},
    },
};

/// Size of a request line without its path, in bytes: the longest method in use, version and separators.
const REQUEST_LINE_BYTES: usize = 32;

/// Refuses a request in a form by which this daemon and the target could take it for different ones: with several hosts
/// (RFC 9112, 3.2), with user information in its host (RFC 9110, 4.2.4), for a tunnel, which would end at the gate, or in a
/// transfer coding other than `chunked` (RFC 9112, 6.1).
pub(super) fn check_form(req: &Request) -> Result<(), CallRefusal> {
    let headers = req.headers().get_all(HOST).iter();
    let mut hosts: Vec<&[u8]> = headers.map(HeaderValue::as_bytes).collect();
    if hosts.len() > 1 {
        let detail = format!("{} host headers; send one", hosts.len());
        return Err(CallRefusal::not_run(RefusalReason::BadRequest, &detail));
    }
    hosts.extend(
        req.uri()
            .authority()
            .map(|authority| authority.as_str().as_bytes()),
    );
    if hosts.iter().any(|host| host.contains(&b'@')) {
        let detail = "the host has user information; send the host alone";
        return Err(CallRefusal::not_run(RefusalReason::BadRequest, detail));
    }
    if req.method() == Method::CONNECT {
        let detail = "CONNECT is not served; send the request itself";
        return Err(CallRefusal::not_run(RefusalReason::BadRequest, detail));
    }
    if let Some(codings) = unknown_codings(req.headers()) {
        return Err(CallRefusal::not_run(RefusalReason::UnknownCoding, &codings));
    }
    Ok(())
}

/// Refuses a head over the limit of the configuration, which counts the headers, or over the daemon's own, which count
/// the whole head and the number of headers.
pub(super) fn check_head(req: &Request, limit: Option<u64>) -> Result<(), CallRefusal> {
    let (count, bytes) = (req.headers().len(), header_bytes(req.headers()));
    let path_bytes = req.uri().path_and_query().map_or(0, |path| path.as_str().len());
    let head_bytes = bytes + path_bytes + REQUEST_LINE_BYTES;
    let detail = match limit {
        Some(limit) if bytes as u64 > limit => {
            format!("headers of {bytes} bytes, the configuration allows {limit}")
        }
        _ if head_bytes > MAX_REQUEST_HEAD_BYTES => {
            format!("a head of {head_bytes} bytes, the daemon takes {MAX_REQUEST_HEAD_BYTES}")
        }
        _ if count > MAX_HEADERS => format!("{count} headers, the daemon takes {MAX_HEADERS}"),
        _ => return Ok(()),
    };
    Err(CallRefusal::not_run(RefusalReason::HeadTooLarge, &detail))
}

/// Refuses a body over the limit whose sender waits to be asked for it. Any other sender may send its whole body before it
/// reads, so the body is read first.
pub(super) fn check_expected_body(req: &Request, limit: u64) -> Result<(), CallRefusal> {
    let expects = req.headers().get(EXPECT);
    let is_awaiting = expects.is_some_and(|expects| expects.as_bytes().eq_ignore_ascii_case(b"100-continue"));
    if is_awaiting && declared_length(req.headers()).is_some_and(|length| length > limit) {
        return Err(body_refusal(BodyFault::TooLarge, limit));
    }
    Ok(())
}

/// Returns the transfer codings of a request unless they are none or `chunked` alone.
fn unknown_codings(headers: &HeaderMap) -> Option<String> {
    let values = headers.get_all(TRANSFER_ENCODING).iter();
    let lists = values.map(|value| String::from_utf8_lossy(value.as_bytes()));
    let list = lists.collect::<Vec<_>>().join(", ");
    let mut codings = list.split(',').map(str::trim).filter(|coding| !coding.is_empty());
    let is_known = match (codings.next(), codings.next()) {
        (None, _) => true,
        (Some(coding), None) => coding.eq_ignore_ascii_case("chunked"),
        (Some(_), Some(_)) => false,
    };
    (!is_known).then_some(list)
}

/// Returns the size of headers in bytes, as the `head_bytes` limit counts it: with 4 bytes for the separators of each
/// header, and without the request line.
fn header_bytes(headers: &HeaderMap) -> usize {
    let fields = headers.iter();
    fields
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum()
}
