//! HTTP/1 server with one async task per connection, a limit on open connections
//! and a graceful stop.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::HttpResponse;
use crate::Limits;
use crate::decode;
use crate::error;

/// Delay after a failed accept, for example because of too many open files, so
/// that the accept loop does not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A complete request.
#[derive(Debug)]
pub struct HttpRequest {
    /// HTTP method.
    pub method: Method,
    /// Decoded path, without the query.
    pub path: String,
    /// Query, still percent-encoded; empty if there is none.
    pub query: String,
    /// Bearer token, if one was sent.
    pub token: Option<String>,
    /// Value of the `Host` header without the port, in lower case; empty if there
    /// is none.
    pub host: String,
    /// All headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl HttpRequest {
    /// Decoded value of a query parameter; `None` if it is absent.
    #[must_use]
    pub fn parameter(&self, name: &str) -> Option<String> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| decode(value))
    }
}

/// Handles requests.
pub trait Handler: Send + Sync + 'static {
    /// Rejects a request before its body is read, by returning the response to it. The body of
    /// `head` is still empty.
    fn screen(&self, head: &HttpRequest) -> Option<HttpResponse> {
        let _ = head;
        None
    }

    /// Handles one request and returns the response.
    fn handle(&self, http_request: HttpRequest) -> impl Future<Output = HttpResponse> + Send;
}

/// Serves connections until `stop` becomes true or its sender is dropped, then
/// waits for the requests in progress to finish and returns.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    limits: Limits,
    mut stop: watch::Receiver<bool>,
) {
    let permits = Arc::new(Semaphore::new(limits.connections));
    let mut connection_tasks = tokio::task::JoinSet::new();
    loop {
        let accepted = tokio::select! {
            biased;
            () = wait_for_stop(&mut stop) => break,
            // A task that has ended takes memory until it is joined.
            Some(_) = connection_tasks.join_next() => continue,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            log::debug!(
                "incoming HTTP connection closed: limit of {} open connections reached",
                limits.connections
            );
            continue;
        };
        let handler = handler.clone();
        let stop = stop.clone();
        connection_tasks.spawn(async move {
            serve_connection(stream, handler, limits, stop).await;
            drop(permit);
        });
    }
    drop(listener);
    while connection_tasks.join_next().await.is_some() {}
}

/// Waits until `stop` becomes true or its sender is dropped.
async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stopping| *stopping).await;
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    handler: Arc<H>,
    limits: Limits,
    mut stop: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request: Request<Incoming>| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(answer(request, &*handler, limits).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        .max_buf_size(limits.head_bytes.max(8192))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = wait_for_stop(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("HTTP connection closed after an error: {error}");
    }
}

async fn answer<H: Handler>(
    request: Request<Incoming>,
    handler: &H,
    limits: Limits,
) -> HttpResponse {
    let (head, body) = request.into_parts();
    let mut http_request = without_body(head);
    if let Some(rejection) = handler.screen(&http_request) {
        return rejection;
    }
    http_request.body = if let Ok(body) = Limited::new(body, limits.body_bytes).collect().await {
        body.to_bytes()
    } else {
        // The body is longer than allowed, or the connection ended before its end.
        let reason = format!(
            "body: allowed: at most {} bytes, sent whole",
            limits.body_bytes
        );
        return error(StatusCode::PAYLOAD_TOO_LARGE, &reason);
    };
    handler.handle(http_request).await
}

fn without_body(head: Parts) -> HttpRequest {
    let token = head
        .headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .map(str::to_owned);
    let host = head
        .headers
        .get(HOST)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.split(':').next())
        .unwrap_or_default()
        .to_ascii_lowercase();
    HttpRequest {
        method: head.method,
        path: decode(head.uri.path()),
        query: head.uri.query().unwrap_or_default().to_owned(),
        token,
        host,
        headers: head.headers,
        body: Bytes::new(),
    }
}
