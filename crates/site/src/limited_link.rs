//! A network link of limited rate, shared by all connections to the workers behind it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Bytes for opening, acknowledging and closing a connection; they are counted only in the
/// direction to the workers.
const CONNECTION_BYTES: usize = 240;

/// Size of the IP and TCP headers of each packet in bytes. Each read from a connection counts as
/// one packet.
const HEADER_BYTES: usize = 52;

/// Largest payload of a packet in bytes.
const MAX_PAYLOAD: usize = 1460;

/// Time for which a connection to a worker stays open after the caller has closed its side:
/// data already sent still arrives, and so does the reply.
const CLOSE_DELAY: Duration = Duration::from_secs(5);

/// One direction of a link.
#[derive(Debug)]
struct Direction {
    /// Rate in bytes per second.
    rate: f64,
    /// Time at which the last byte so far is transmitted.
    idle_at: Mutex<Instant>,
}

impl Direction {
    fn new(rate: f64) -> Direction {
        Direction {
            rate,
            idle_at: Mutex::new(Instant::now()),
        }
    }

    /// Waits until `bytes` bytes are transmitted after all bytes of earlier calls.
    async fn transmit(&self, bytes: usize) {
        let until = {
            let mut idle_at = self.idle_at.lock().unwrap_or_else(PoisonError::into_inner);
            let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
            let time = Duration::from_secs_f64(f64::from(bytes) / self.rate);
            *idle_at = (*idle_at).max(Instant::now()) + time;
            *idle_at
        };
        tokio::time::sleep_until(until.into()).await;
    }
}

/// A network link of limited rate between the processes and the workers.
#[derive(Debug)]
pub struct LimitedLink {
    /// Direction to the workers.
    outbound: Direction,
    /// Direction from the workers.
    inbound: Direction,
}

impl LimitedLink {
    /// Creates a link of `mbps` megabits per second in each direction.
    #[must_use]
    pub fn new(mbps: f64) -> Arc<LimitedLink> {
        // One megabit is 125,000 bytes.
        let rate = mbps * 125_000.0;
        Arc::new(LimitedLink {
            outbound: Direction::new(rate),
            inbound: Direction::new(rate),
        })
    }

    /// Returns an address whose connections are forwarded to `server` over the link until `stop`
    /// changes or its sender is dropped.
    ///
    /// # Panics
    /// Panics if no address can be bound.
    pub async fn listen(
        self: &Arc<LimitedLink>,
        server: SocketAddr,
        mut stop: watch::Receiver<bool>,
    ) -> SocketAddr {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("bind");
        let address = listener.local_addr().expect("address");
        let link = self.clone();
        tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    _ = stop.changed() => return,
                };
                if let Ok((caller, _)) = accepted {
                    tokio::spawn(link.clone().relay(caller, server));
                }
            }
        });
        address
    }

    /// Forwards one connection of a process to the worker at `server`.
    async fn relay(self: Arc<LimitedLink>, caller: TcpStream, server: SocketAddr) {
        self.outbound.transmit(CONNECTION_BYTES).await;
        let Ok(worker) = TcpStream::connect(server).await else {
            return;
        };
        let (from_caller, to_caller) = caller.into_split();
        let (from_worker, to_worker) = worker.into_split();
        let outbound = async {
            let to_worker = copy(from_caller, to_worker, &self.outbound).await;
            tokio::time::sleep(CLOSE_DELAY).await;
            drop(to_worker);
        };
        let inbound = copy(from_worker, to_caller, &self.inbound);
        tokio::join!(outbound, inbound);
    }
}

/// Copies bytes at the rate of the direction until their source ends, even if the receiver has
/// closed.
async fn copy<R, W>(mut from: R, mut to: W, direction: &Direction) -> W
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut packet = [0; MAX_PAYLOAD];
    while let Ok(length @ 1..) = from.read(&mut packet).await {
        direction.transmit(length + HEADER_BYTES).await;
        // The receiver may have closed the connection; the bytes have used the link anyway.
        let _ = to.write_all(&packet[..length]).await;
    }
    to
}
