//! Replies that a server sends.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use serde::Serialize;

/// A whole response.
pub type HttpResponse = Response<Full<Bytes>>;

/// Body of an error response.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// A JSON response.
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> HttpResponse {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    with_content_type(status, "application/json", bytes)
}

/// A plain text response.
pub fn text(status: StatusCode, body: impl Into<String>) -> HttpResponse {
    with_content_type(
        status,
        "text/plain; charset=utf-8",
        body.into().into_bytes(),
    )
}

/// An error response with a reason for people.
#[must_use]
pub fn error(status: StatusCode, reason: &str) -> HttpResponse {
    json(status, &ErrorBody { error: reason })
}

/// A response with the given content type.
pub fn with_content_type(status: StatusCode, kind: &'static str, body: Vec<u8>) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static(kind));
    response
}
