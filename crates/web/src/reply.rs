//! Constructors for the responses of an HTTP server.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use serde::Serialize;

/// A complete response.
pub type HttpResponse = Response<Full<Bytes>>;

/// JSON body of an error response.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Creates a JSON response; its body is empty if `body` cannot be serialized.
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> HttpResponse {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    with_content_type(status, "application/json", bytes)
}

/// Creates a plain text response.
pub fn text(status: StatusCode, body: impl Into<String>) -> HttpResponse {
    with_content_type(
        status,
        "text/plain; charset=utf-8",
        body.into().into_bytes(),
    )
}

/// Creates an error response: a JSON object with the human-readable reason in the
/// field `error`.
#[must_use]
pub fn error(status: StatusCode, reason: &str) -> HttpResponse {
    json(status, &ErrorBody { error: reason })
}

/// Creates a response with the given content type.
pub fn with_content_type(
    status: StatusCode,
    content_type: &'static str,
    body: Vec<u8>,
) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response.headers_mut().insert(
        CONTENT_TYPE,
        hyper::header::HeaderValue::from_static(content_type),
    );
    response
}
