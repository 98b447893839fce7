//! Relay for UDP that drops, delays and reorders the datagrams of one process.
//! Each client gets a socket of its own towards the server.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::UdpSocket;

use crate::way::Passage;
use crate::way::Way;

use crate::loopback;

/// What a relay does to the datagrams that pass.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UdpPlan {
    /// Share of datagrams that are dropped on the way to the server.
    pub drop_in: f64,
    /// Share of datagrams that are dropped on the way back.
    pub drop_out: f64,
    /// Longest random delay; unlike delays reorder.
    pub jitter: Duration,
}

/// Relay for UDP towards one server.
pub type UdpRelay = Way<UdpPlan>;

impl Way<UdpPlan> {
    /// Opens a relay on a free loopback port towards `server`.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn open(server: SocketAddr, seed: u64) -> std::io::Result<UdpRelay> {
        let socket = Arc::new(UdpSocket::bind((loopback(), 0)).await?);
        let (relay, passage) = Way::begin(socket.local_addr()?);
        tokio::spawn(run(socket, server, passage, seed));
        Ok(relay)
    }
}

async fn run(socket: Arc<UdpSocket>, server: SocketAddr, passage: Passage<UdpPlan>, seed: u64) {
    let mut clients: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut random = StdRng::seed_from_u64(seed);
    let mut buffer = vec![0; 64 * 1024];
    while let Ok((count, client)) = socket.recv_from(&mut buffer).await {
        if let std::collections::hash_map::Entry::Vacant(e) = clients.entry(client) {
            let Ok(upstream) = UdpSocket::bind((loopback(), 0)).await else {
                continue;
            };
            if upstream.connect(server).await.is_err() {
                continue;
            }
            let upstream = Arc::new(upstream);
            let back = Back {
                from: upstream.clone(),
                to: socket.clone(),
                client,
                passage: passage.clone(),
            };
            tokio::spawn(back.run(seed ^ u64::from(client.port())));
            e.insert(upstream);
        }
        let Some(upstream) = clients.get(&client).cloned() else {
            continue;
        };
        passage.count(count);
        let now = passage.now();
        if random.random_bool(now.drop_in.clamp(0.0, 1.0)) {
            continue;
        }
        let datagram = buffer[..count].to_vec();
        let wait = now.jitter.mul_f64(random.random());
        if wait.is_zero() {
            let _ = upstream.send(&datagram).await;
            continue;
        }
        tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            let _ = upstream.send(&datagram).await;
        });
    }
}

/// Way back to one client.
struct Back {
    from: Arc<UdpSocket>,
    to: Arc<UdpSocket>,
    client: SocketAddr,
    passage: Passage<UdpPlan>,
}

impl Back {
    async fn run(self, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed);
        let mut buffer = vec![0; 64 * 1024];
        loop {
            let Ok(count) = self.from.recv(&mut buffer).await else {
                // The server is gone for now; it may come back.
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            self.passage.count(count);
            let now = self.passage.now();
            if random.random_bool(now.drop_out.clamp(0.0, 1.0)) {
                continue;
            }
            let _ = self.to.send_to(&buffer[..count], self.client).await;
        }
    }
}
