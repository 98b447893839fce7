//! HTTP/1 server with one async task per connection, limits on what clients occupy and a
//! graceful stop.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::header::CONNECTION;
use hyper::header::HOST;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::HttpResponse;
use crate::Limits;
use crate::Refusal;
use crate::body;
use crate::decode;
use crate::error;
use crate::gate::Gate;
use crate::gate::Place;

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

    /// Maximum size of the body of `head`, in bytes, if it is smaller than that of the listener.
    fn body_limit(&self, head: &HttpRequest) -> Option<usize> {
        let _ = head;
        None
    }

    /// Returns the response to a request that is not handled for lack of room, and never will be.
    fn refuse(&self, reason: &str) -> HttpResponse {
        let mut response = error(StatusCode::SERVICE_UNAVAILABLE, reason);
        response.headers_mut().insert(RETRY_AFTER, 1.into());
        response
    }

    /// Called when a request is refused, or a connection closed, because of the listener's limits.
    fn record(&self, refusal: Refusal) {
        let _ = refusal;
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
    let gate = Gate::new(limits);
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
        let place = tokio::select! {
            place = gate.enter(|| handler.record(Refusal::Place)) => place,
            () = wait_for_stop(&mut stop) => break,
        };
        let handler = handler.clone();
        let stop = stop.clone();
        connection_tasks.spawn(serve_connection(stream, handler, limits, place, stop));
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
    place: Place,
    mut stop: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request: Request<Incoming>| {
        let exchange = Exchange {
            handler: handler.as_ref(),
            limits,
            place: &place,
        };
        async move { Ok::<_, Infallible>(exchange.answer(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(limits.head_bytes.max(8192))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut stopping = false;
    loop {
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(error) = result {
                    log::debug!("HTTP connection closed after an error: {error}");
                }
                return;
            }
            () = place.closed() => return,
            () = wait_for_stop(&mut stop), if !stopping => {
                connection.as_mut().graceful_shutdown();
                stopping = true;
            }
        }
    }
}

/// One request on a connection and the response to it.
struct Exchange<'a, H> {
    handler: &'a H,
    limits: Limits,
    place: &'a Place,
}

impl<H: Handler> Exchange<'_, H> {
    async fn answer(self, request: Request<Incoming>) -> HttpResponse {
        let mut response = match self.respond(request).await {
            Ok(response) => response,
            Err(rejection) => *rejection,
        };
        self.place.finish();
        // A connection that always has a next request would never yield its place.
        if self.place.crowded() {
            close_after(&mut response);
        }
        response
    }

    /// Receives a request whole and handles it in its turn; returns the response to a rejected one as
    /// an error.
    async fn respond(&self, request: Request<Incoming>) -> Result<HttpResponse, Box<HttpResponse>> {
        let (head, body) = request.into_parts();
        let mut http_request = without_body(head);
        if let Some(rejection) = self.handler.screen(&http_request) {
            return Err(Box::new(rejection));
        }
        let largest = self.limits.body_bytes;
        let limit = self.handler.body_limit(&http_request);
        let allowed = limit.map_or(largest, |limit| limit.min(largest));
        if !body.is_end_stream() {
            let received = self.receive(body, allowed).await;
            http_request.body = received.map_err(|refusal| self.refuse(refusal, allowed))?;
        }
        let turn = self.place.handle().await;
        let turn = turn.ok_or_else(|| self.refuse(Refusal::Requests, allowed))?;
        let response = self.handler.handle(http_request).await;
        drop(turn);
        Ok(response)
    }

    async fn receive(&self, body: Incoming, allowed: usize) -> Result<Bytes, Refusal> {
        self.place.receive();
        tokio::select! {
            received = body::receive(body, allowed, self.place) => received,
            () = self.place.displaced() => Err(Refusal::Memory),
            () = tokio::time::sleep(self.limits.receive) => Err(Refusal::Late),
        }
    }

    /// Returns the response to a refused request, for whose body `allowed` bytes are allowed. Its connection is closed, since the rest of the body
    /// is not read.
    fn refuse(&self, refusal: Refusal, allowed: usize) -> Box<HttpResponse> {
        self.handler.record(refusal);
        let mut response = match refusal {
            Refusal::Size => {
                let reason = format!("body: allowed: at most {allowed} bytes");
                error(StatusCode::PAYLOAD_TOO_LARGE, &reason)
            }
            Refusal::Late => {
                let reason = format!("body: allowed: sent within {:?}", self.limits.receive);
                error(StatusCode::REQUEST_TIMEOUT, &reason)
            }
            Refusal::Broken => error(StatusCode::BAD_REQUEST, "body: allowed: sent whole"),
            Refusal::Memory | Refusal::Place => {
                self.handler.refuse("no memory for the body of the request")
            }
            Refusal::Requests => self.handler.refuse("too many requests in progress"),
        };
        close_after(&mut response);
        Box::new(response)
    }
}

/// Lets the connection be closed after a response.
fn close_after(response: &mut HttpResponse) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
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
