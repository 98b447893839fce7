//! Clients that hold on to what a process keeps for them: each sends part of a request, or requests
//! without reading the replies, and keeps its connection open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::host::unread;

/// Largest request body that the configuration of the tests allows, in bytes.
pub const LARGEST_BODY: usize = 262_144;

/// Largest request body that a process accepts, whatever the configuration allows, in bytes.
pub const LARGEST_ACCEPTED: usize = 1 << 20;

/// Size of a body far over the limit, in bytes.
const EXCESSIVE_BODY: usize = 1_000_000;

/// Largest request head that the process accepts, in bytes.
const LARGEST_HEAD: usize = 16 * 1024;

/// Size of the body of an ordinary job, in bytes.
const ORDINARY_BODY: usize = 200;

/// Size of a piece of a body that is sent piece by piece, in bytes.
const PIECE: usize = 9_000;

/// Number of requests that a member sends without reading a reply.
const PIPELINED: usize = 2_000;

/// Number of requests of a member with heads of almost the largest size.
const LONG_PATHS: usize = 300;

/// Size of the body of a job with as many steps as a row of the store takes, in bytes.
const FULL_ROW_BODY: usize = 11_800;

/// Longest time that a test waits until the members have sent all that the process takes.
const SEND_LIMIT: Duration = Duration::from_secs(20);

/// Time between two looks at what the members have sent.
const SETTLE_INTERVAL: Duration = Duration::from_millis(500);

/// Pause before a member opens another connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);

/// What the members of a crowd send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conduct {
    /// Nothing.
    Silent,
    /// A head of the largest size, without its last byte.
    Head,
    /// A body of the largest size, without its last byte.
    Whole,
    /// The same, piece by piece with pauses.
    Pieces,
    /// A chunked body of the largest size in one chunk, without its last byte.
    LargeChunk,
    /// The same in chunks of one byte.
    SmallChunks,
    /// A chunked body with trailers of almost the largest size, without their end.
    Trailers,
    /// A body far over the limit, with its size in the head, without its last byte.
    ExcessiveAnnounced,
    /// A chunked body far over the limit, without its end.
    ExcessiveChunked,
    /// A whole valid job, padded to the largest size.
    PaddedJob,
    /// A whole job of the largest size, which consists of as many steps as fit.
    ManySteps,
    /// A whole job with as many steps as a row of the store takes.
    FullRow,
    /// A whole valid job of an ordinary size.
    OrdinaryJob,
    /// A whole valid job of the largest accepted size, most of which is an unknown field.
    UnknownField,
    /// Many requests on one connection, whose replies are not read.
    Unread,
    /// The same, with heads of almost the largest size.
    LongPaths,
}

impl Conduct {
    /// Parts of the request, which are sent one after the other.
    fn parts(self, path: &str, number: usize) -> Vec<Vec<u8>> {
        let path = format!("{path}{number:016x}");
        let sized =
            |size: usize| head(&path, &format!("content-length: {size}\r\n\r\n")).into_bytes();
        let chunked = || head(&path, "transfer-encoding: chunked\r\n\r\n").into_bytes();
        match self {
            Conduct::Silent => Vec::new(),
            Conduct::Head => {
                let mut text = head(&path, "x-padding: ");
                let room = LARGEST_HEAD - text.len() - 8;
                text.push_str(&"x".repeat(room));
                vec![text.into_bytes()]
            }
            Conduct::Whole => {
                vec![sized(LARGEST_BODY), vec![b' '; LARGEST_BODY - 1]]
            }
            Conduct::Pieces => {
                let body = vec![b' '; LARGEST_BODY - 1];
                let mut parts = vec![sized(LARGEST_BODY)];
                parts.extend(body.chunks(PIECE).map(<[u8]>::to_vec));
                parts
            }
            Conduct::LargeChunk => {
                let size = format!("{LARGEST_BODY:x}\r\n").into_bytes();
                vec![chunked(), size, vec![b' '; LARGEST_BODY - 1]]
            }
            Conduct::SmallChunks => {
                let chunks = b"1\r\n \r\n".repeat(LARGEST_BODY - 1);
                vec![chunked(), chunks]
            }
            Conduct::Trailers => {
                let trailers = format!("0\r\nx-padding: {}", "x".repeat(LARGEST_HEAD - 100));
                vec![chunked(), trailers.into_bytes()]
            }
            Conduct::ExcessiveAnnounced => {
                vec![sized(1 << 30), vec![b' '; EXCESSIVE_BODY]]
            }
            Conduct::ExcessiveChunked => {
                let size = format!("{:x}\r\n", 1 << 30).into_bytes();
                vec![chunked(), size, vec![b' '; EXCESSIVE_BODY]]
            }
            Conduct::PaddedJob => {
                let job = padded_job(LARGEST_BODY);
                vec![sized(job.len()), job]
            }
            Conduct::ManySteps => {
                let job = job_of_many_steps(LARGEST_BODY);
                vec![sized(job.len()), job]
            }
            Conduct::FullRow => {
                let job = job_of_many_steps(FULL_ROW_BODY);
                vec![sized(job.len()), job]
            }
            Conduct::OrdinaryJob => {
                let job = padded_job(ORDINARY_BODY);
                vec![sized(job.len()), job]
            }
            Conduct::UnknownField => {
                let job = job_with_unknown_field(LARGEST_ACCEPTED);
                vec![sized(job.len()), job]
            }
            Conduct::Unread => {
                let request = format!("GET {path} HTTP/1.1\r\nhost: desk.example\r\n\r\n");
                vec![request.repeat(PIPELINED).into_bytes()]
            }
            Conduct::LongPaths => {
                let rest = "x".repeat(LARGEST_HEAD - 200);
                let request = format!("GET {path}{rest} HTTP/1.1\r\nhost: desk.example\r\n\r\n");
                vec![request.into_bytes()]
            }
        }
    }

    /// How often the parts are sent on a connection.
    fn repetitions(self) -> usize {
        if self == Conduct::LongPaths {
            LONG_PATHS
        } else {
            1
        }
    }
}

fn head(path: &str, rest: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: desk.example\r\n{rest}")
}

/// Returns a valid job of one task, padded with blanks to `size` bytes.
pub fn padded_job(size: usize) -> Vec<u8> {
    let mut job = br#"{"spec":"10","steps":[{"count":1,"cpu":1000,"mem_mb":100}]"#.to_vec();
    job.resize(size - 1, b' ');
    job.push(b'}');
    job
}

/// Returns a job of almost `size` bytes with as many steps as fit, only the first of which has a task.
pub fn job_of_many_steps(size: usize) -> Vec<u8> {
    let mut job = br#"{"spec":"10","steps":[{"count":1,"cpu":1000,"mem_mb":100}"#.to_vec();
    while job.len() < size - 8 {
        job.extend_from_slice(b",{}");
    }
    job.extend_from_slice(b"]}");
    job
}

/// Returns a valid job of almost `size` bytes, which consists of a step with an unknown field that holds
/// as many lists as fit.
pub fn job_with_unknown_field(size: usize) -> Vec<u8> {
    let step = br#"{"spec":"10","steps":[{"count":1,"cpu":1000,"mem_mb":100,"unknown":[[0]"#;
    let mut job = step.to_vec();
    while job.len() < size - 8 {
        job.extend_from_slice(b",[0]");
    }
    job.extend_from_slice(b"]}]}");
    job
}

/// Splits a request with a chunked body into a head and chunks of `chunk` bytes.
pub fn chunked_request(path: &str, body: &[u8], chunk: usize) -> Vec<u8> {
    let mut request = head(path, "transfer-encoding: chunked\r\n\r\n").into_bytes();
    for piece in body.chunks(chunk) {
        request.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
        request.extend_from_slice(piece);
        request.extend_from_slice(b"\r\n");
    }
    request.extend_from_slice(b"0\r\n\r\n");
    request
}

/// Sends a request as it is and returns the HTTP status of the reply; 0 if there is none.
pub async fn send_raw(server: SocketAddr, request: &[u8]) -> u16 {
    let Ok(mut stream) = TcpStream::connect(server).await else {
        return 0;
    };
    if stream.write_all(request).await.is_err() {
        return 0;
    }
    let mut reply = [0; 12];
    if stream.read_exact(&mut reply).await.is_err() {
        return 0;
    }
    let status = std::str::from_utf8(&reply[9..]);
    status.ok().and_then(|code| code.parse().ok()).unwrap_or(0)
}

/// Clients that keep their connections open until the crowd is closed, and open new ones in the place
/// of those that the process closes.
pub struct Crowd {
    members: JoinSet<()>,
    server: SocketAddr,
    /// Bytes that the members have sent so far.
    sent: Arc<AtomicUsize>,
}

impl Crowd {
    /// Lets `size` clients connect to `server` and behave as `conduct` says. `path` precedes the id in
    /// the path of each request. `seed` determines their pauses.
    pub fn gather(
        server: SocketAddr,
        path: &'static str,
        conduct: Conduct,
        size: usize,
        seed: u64,
    ) -> Crowd {
        let sent: Arc<AtomicUsize> = Arc::default();
        let mut members = JoinSet::new();
        for number in 0..size {
            let member = Member {
                server,
                path,
                conduct,
                number: number + 0x00c0_0000,
                sent: sent.clone(),
                rng: StdRng::seed_from_u64(seed.wrapping_mul(1 << 20) + number as u64),
            };
            members.spawn(member.run());
        }
        Crowd {
            members,
            server,
            sent,
        }
    }

    /// Waits until the members send no more and the process reads no more.
    pub async fn settle(&self) {
        let end = Instant::now() + SEND_LIMIT;
        let mut last = None;
        while Instant::now() < end {
            tokio::time::sleep(SETTLE_INTERVAL).await;
            let sent = self.sent.load(Ordering::Relaxed);
            let state = Some((sent, unread(self.server.ip())));
            if state == last {
                return;
            }
            last = state;
        }
    }

    /// Closes all connections.
    pub async fn close(mut self) {
        self.members.shutdown().await;
    }
}

/// A client of a crowd.
struct Member {
    server: SocketAddr,
    path: &'static str,
    conduct: Conduct,
    number: usize,
    sent: Arc<AtomicUsize>,
    rng: StdRng,
}

impl Member {
    async fn run(mut self) {
        let parts = self.conduct.parts(self.path, self.number);
        loop {
            if let Ok(mut stream) = TcpStream::connect(self.server).await
                && self.send(&mut stream, &parts).await.is_ok()
            {
                self.wait_closed(&mut stream).await;
            }
            let pause = RECONNECT_PAUSE.mul_f64(self.rng.random_range(0.5..1.5));
            tokio::time::sleep(pause).await;
        }
    }

    async fn send(&mut self, stream: &mut TcpStream, parts: &[Vec<u8>]) -> std::io::Result<()> {
        let repeated = std::iter::repeat_n(parts, self.conduct.repetitions());
        for part in repeated.flatten() {
            for piece in part.chunks(PIECE) {
                stream.write_all(piece).await?;
                self.sent.fetch_add(piece.len(), Ordering::Relaxed);
            }
            if self.conduct == Conduct::Pieces {
                let pause = Duration::from_millis(self.rng.random_range(1..20));
                tokio::time::sleep(pause).await;
            }
        }
        Ok(())
    }

    /// Waits until the process closes the connection. A member that does not read waits for good.
    async fn wait_closed(&self, stream: &mut TcpStream) {
        if matches!(self.conduct, Conduct::Unread | Conduct::LongPaths) {
            std::future::pending::<()>().await;
        }
        let mut reply = [0; 1024];
        while stream.read(&mut reply).await.is_ok_and(|read| read > 0) {}
    }
}
