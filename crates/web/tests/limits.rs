//! A server and its limits, over loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use web::CallError;
use web::CallLimit;
use web::Client;
use web::Handler;
use web::HttpRequest;
use web::HttpResponse;
use web::Limits;

/// Answers with the length of the body; panics if the path asks for it.
struct Length;

impl Handler for Length {
    fn body_limit(&self, head: &HttpRequest) -> Option<usize> {
        (head.path == "/short").then_some(10)
    }

    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        assert_ne!(request.path, "/panic", "a fault of the handler");
        web::text(StatusCode::OK, request.body.len().to_string())
    }
}

/// Starts a server, which stops when the sender is dropped.
fn open(limits: Limits) -> (SocketAddr, watch::Sender<bool>) {
    let (stop, stopped) = watch::channel(false);
    let address = "127.0.0.1:0".parse().expect("address");
    let listener = web::listen(address, &limits).expect("listen");
    let address = listener.local_addr().expect("address");
    tokio::spawn(web::serve(listener, Arc::new(Length), limits, stopped));
    (address, stop)
}

fn limits() -> Limits {
    Limits {
        body_bytes: 1000,
        memory: 2000,
        connections: 4,
        ..Limits::default()
    }
}

fn post(path: &str, announced: usize, sent: usize) -> String {
    let body = "x".repeat(sent);
    format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {announced}\r\n\r\n{body}")
}

/// Sends a request on a new connection; returns the reply, empty if the connection is closed without.
async fn exchange(server: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(server).await.expect("connect");
    stream.write_all(request.as_bytes()).await.expect("write");
    read(&mut stream).await
}

async fn read(stream: &mut TcpStream) -> String {
    let mut buffer = [0; 4096];
    let read = stream.read(&mut buffer).await.unwrap_or_default();
    String::from_utf8_lossy(&buffer[..read]).into_owned()
}

#[tokio::test]
async fn bodies_up_to_the_limit_arrive_whole() {
    let (server, _stop) = open(limits());

    let reply = exchange(server, &post("/", 1000, 1000)).await;

    assert!(reply.ends_with("1000"), "{reply}");
}

// Guards against a body that is read although its announced size is not allowed.
#[tokio::test]
async fn bodies_announced_over_the_limit_are_refused_before_they_arrive() {
    let (server, _stop) = open(limits());

    let listener = exchange(server, &post("/", 1001, 0)).await;
    let handler = exchange(server, &post("/short", 11, 0)).await;

    assert!(listener.starts_with("HTTP/1.1 413"), "{listener}");
    assert!(handler.starts_with("HTTP/1.1 413"), "{handler}");
}

// Guards against a refused client that sends its next request on a connection that is about to close.
#[tokio::test]
async fn a_refused_client_is_told_that_its_connection_closes() {
    let (server, _stop) = open(limits());
    let whole = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunk = format!("3e9\r\n{}\r\n0\r\n\r\n", "x".repeat(1001));

    let announced = exchange(server, &post("/", 1001, 0)).await;
    let chunked = exchange(server, &format!("{whole}{chunk}")).await;

    assert!(announced.contains("connection: close"), "{announced}");
    assert!(chunked.contains("connection: close"), "{chunked}");
}

// Guards against a body without a stated size that grows over the limit.
#[tokio::test]
async fn chunked_bodies_over_the_limit_are_refused() {
    let (server, _stop) = open(limits());
    let body = "x".repeat(1001);
    let request = format!(
        "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3e9\r\n{body}\r\n0\r\n\r\n"
    );

    let reply = exchange(server, &request).await;

    assert!(reply.starts_with("HTTP/1.1 413"), "{reply}");
}

// Guards against bodies that take memory for what they announce and have not sent.
#[tokio::test]
async fn announced_bodies_take_memory_as_they_arrive() {
    let body = 64 * 1024;
    let (server, _stop) = open(Limits {
        body_bytes: body,
        memory: 2 * body,
        ..limits()
    });
    let mut slow = Vec::new();
    for _ in 0..2 {
        let mut stream = TcpStream::connect(server).await.expect("connect");
        let begin = post("/", body, 1);
        stream.write_all(begin.as_bytes()).await.expect("write");
        slow.push(stream);
    }
    tokio::time::sleep(Duration::from_millis(50)).await;

    let other = exchange(server, &post("/", body, body)).await;
    let rest = "x".repeat(body - 1);
    slow[0].write_all(rest.as_bytes()).await.expect("write");
    let reply = read(&mut slow[0]).await;

    assert!(other.ends_with("65536"), "{other}");
    assert!(reply.ends_with("65536"), "{reply}");
}

// Guards against a body that is waited for without end.
#[tokio::test]
async fn a_body_that_does_not_arrive_in_time_is_refused() {
    let receive = Duration::from_millis(50);
    let (server, _stop) = open(Limits {
        receive,
        ..limits()
    });

    let reply = exchange(server, &post("/", 100, 99)).await;

    assert!(reply.starts_with("HTTP/1.1 408"), "{reply}");
}

// Guards against a client that sends no request, or only a part of its head, for good.
#[tokio::test]
async fn a_connection_without_a_whole_head_is_closed() {
    let idle = Duration::from_millis(50);
    let (server, _stop) = open(Limits { idle, ..limits() });

    let reply = exchange(server, "GET / HTTP/1.1\r\nhost: ").await;

    assert_eq!(reply, "");
}

// Guards against memory or places that are not given back when a handler panics.
#[tokio::test]
async fn places_and_memory_outlive_panics() {
    let (server, _stop) = open(limits());

    for _ in 0..20 {
        exchange(server, &post("/panic", 1000, 1000)).await;
    }
    let reply = exchange(server, &post("/", 1000, 1000)).await;

    assert!(reply.ends_with("1000"), "{reply}");
}

// Guards against memory or places that are not given back when a client resets its connection.
#[tokio::test]
async fn places_and_memory_outlive_clients_that_leave() {
    let (server, _stop) = open(limits());

    for _ in 0..20 {
        let mut stream = TcpStream::connect(server).await.expect("connect");
        let request = post("/", 1000, 999);
        stream.write_all(request.as_bytes()).await.expect("write");
        stream.set_zero_linger().expect("linger");
    }
    let reply = exchange(server, &post("/", 1000, 1000)).await;

    assert!(reply.ends_with("1000"), "{reply}");
}

// Guards against a client without a request that keeps a new one from its place.
#[tokio::test]
async fn a_silent_connection_yields_to_a_new_one() {
    let (server, _stop) = open(limits());
    let mut silent = Vec::new();
    for _ in 0..4 {
        silent.push(TcpStream::connect(server).await.expect("connect"));
    }

    let reply = exchange(server, &post("/", 5, 5)).await;
    let closed = read(&mut silent[0]).await;

    assert!(reply.ends_with('5'), "{reply}");
    assert_eq!(closed, "");
}

// Guards against clients that always have a next request and never yield their places.
#[tokio::test]
async fn a_connection_closes_after_its_reply_while_a_new_one_waits() {
    let (server, _stop) = open(limits());
    let get = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    let mut busy = Vec::new();
    for _ in 0..4 {
        let mut stream = TcpStream::connect(server).await.expect("connect");
        stream.write_all(get.as_bytes()).await.expect("write");
        let reply = read(&mut stream).await;
        assert!(!reply.contains("connection: close"), "{reply}");
        busy.push(stream);
    }
    let _new = TcpStream::connect(server).await.expect("connect");
    tokio::time::sleep(Duration::from_millis(50)).await;

    busy[3].write_all(get.as_bytes()).await.expect("write");
    let reply = read(&mut busy[3]).await;

    assert!(reply.contains("connection: close"), "{reply}");
}

// Guards against a request that waits for others without end.
#[tokio::test]
async fn a_request_whose_turn_does_not_come_is_refused() {
    let (server, _stop) = open(Limits {
        requests: 0,
        ..limits()
    });

    let reply = exchange(server, &post("/", 5, 5)).await;

    assert!(reply.starts_with("HTTP/1.1 503"), "{reply}");
    assert!(reply.contains("retry-after: 1"), "{reply}");
}

// Guards against a whole request that is dropped for a new connection while it waits for its turn.
#[tokio::test]
async fn a_whole_request_that_waits_for_its_turn_keeps_its_place() {
    let (server, _stop) = open(Limits {
        requests: 0,
        connections: 1,
        ..limits()
    });
    let mut waiting = TcpStream::connect(server).await.expect("connect");
    let request = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    waiting.write_all(request.as_bytes()).await.expect("write");
    tokio::time::sleep(Duration::from_millis(50)).await;

    let (reply, _) = tokio::join!(read(&mut waiting), exchange(server, request));

    assert!(reply.starts_with("HTTP/1.1 503"), "{reply}");
}

// Guards against requests of clients that open more connections to other servers than their part allows,
// and against a call that may have been sent though it is reported as not sent.
#[tokio::test]
async fn a_call_without_a_turn_is_not_sent() {
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let address = silent.local_addr().expect("address");
    let client = Client::new(Duration::from_secs(1));
    let limited = client.limited(&CallLimit::new(1));
    let other = limited.clone();
    let first = tokio::spawn(async move { other.get(address, "/", Duration::from_mins(1)).await });
    let (_first, _) = silent.accept().await.expect("the first call");

    let second = limited.get(address, "/", Duration::from_millis(50)).await;
    let unlimited = client.get(address, "/", Duration::from_millis(50)).await;

    assert!(matches!(second, Err(CallError::Busy { .. })), "{second:?}");
    assert!(
        matches!(unlimited, Err(CallError::Lost { .. })),
        "{unlimited:?}"
    );
    first.abort();
}

// Guards against calls that keep their turn after their callers have given up.
#[tokio::test]
async fn a_call_that_is_given_up_returns_its_turn() {
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let address = silent.local_addr().expect("address");
    let limited = Client::new(Duration::from_secs(1)).limited(&CallLimit::new(1));
    for _ in 0..3 {
        let call = limited.get(address, "/", Duration::from_mins(1));
        let given_up = tokio::time::timeout(Duration::from_millis(50), call).await;
        assert!(given_up.is_err());
    }

    let last = limited.get(address, "/", Duration::from_millis(50)).await;

    assert!(matches!(last, Err(CallError::Lost { .. })), "{last:?}");
}

// Guards against callers that cannot connect for a second or more because silent clients fill the queue of
// new connections.
#[tokio::test]
async fn a_caller_connects_while_silent_clients_wait_for_places() {
    let (server, _stop) = open(Limits {
        queue: 64,
        ..limits()
    });
    let mut silent = JoinSet::new();
    for _ in 0..20 {
        silent.spawn(async move {
            let _stream = TcpStream::connect(server).await;
            std::future::pending::<()>().await;
        });
        // Those that come at once find the queue full whatever its length, and try again only after a second.
        tokio::time::sleep(Duration::from_millis(5)).await;
    }

    let connected = TcpStream::connect(server);
    let connected = tokio::time::timeout(Duration::from_millis(500), connected).await;

    assert!(
        connected.is_ok(),
        "no connection before its packet is repeated"
    );
}
