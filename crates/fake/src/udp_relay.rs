//! UDP relay that drops, delays and reorders datagrams on their way to one
//! process. It opens a separate socket towards the server for each client.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::UdpSocket;

use crate::relay_handle::RelayContext;
use crate::relay_handle::RelayHandle;

use crate::loopback;

/// Faults that a relay injects into the datagrams it forwards.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UdpPlan {
    /// Fraction of the datagrams towards the server that are dropped, from 0 to 1.
    pub inbound_loss: f64,
    /// Fraction of the datagrams towards the clients that are dropped, from 0 to 1.
    pub outbound_loss: f64,
    /// Maximum random delay of a datagram towards the server. Datagrams with
    /// different delays arrive out of order.
    pub jitter: Duration,
}

/// UDP relay in front of one server.
pub type UdpRelay = RelayHandle<UdpPlan>;

impl RelayHandle<UdpPlan> {
    /// Opens a relay on a free loopback port that forwards to `server`. `seed`
    /// determines which datagrams are dropped and how long they are delayed.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn open(server: SocketAddr, seed: u64) -> std::io::Result<UdpRelay> {
        let socket = Arc::new(UdpSocket::bind((loopback(), 0)).await?);
        let (relay, context) = RelayHandle::with_context(socket.local_addr()?);
        tokio::spawn(run(socket, server, context, seed));
        Ok(relay)
    }
}

async fn run(
    socket: Arc<UdpSocket>,
    server: SocketAddr,
    context: RelayContext<UdpPlan>,
    seed: u64,
) {
    let mut clients: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut random = StdRng::seed_from_u64(seed);
    let mut buffer = vec![0; 64 * 1024];
    while let Ok((count, client)) = socket.recv_from(&mut buffer).await {
        if let std::collections::hash_map::Entry::Vacant(vacant) = clients.entry(client) {
            let Ok(upstream) = UdpSocket::bind((loopback(), 0)).await else {
                continue;
            };
            if upstream.connect(server).await.is_err() {
                continue;
            }
            let upstream = Arc::new(upstream);
            let return_path = ReturnPath {
                from: upstream.clone(),
                to: socket.clone(),
                client,
                context: context.clone(),
            };
            tokio::spawn(return_path.run(seed ^ u64::from(client.port())));
            vacant.insert(upstream);
        }
        let Some(upstream) = clients.get(&client).cloned() else {
            continue;
        };
        context.count_bytes(count);
        let plan = context.current_plan();
        if random.random_bool(plan.inbound_loss.clamp(0.0, 1.0)) {
            continue;
        }
        let datagram = buffer[..count].to_vec();
        let delay = plan.jitter.mul_f64(random.random());
        if delay.is_zero() {
            let _ = upstream.send(&datagram).await;
            continue;
        }
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = upstream.send(&datagram).await;
        });
    }
}

/// Forwards datagrams from the server, received on the socket `from`, back to one client.
struct ReturnPath {
    from: Arc<UdpSocket>,
    to: Arc<UdpSocket>,
    client: SocketAddr,
    context: RelayContext<UdpPlan>,
}

impl ReturnPath {
    async fn run(self, seed: u64) {
        let mut random = StdRng::seed_from_u64(seed);
        let mut buffer = vec![0; 64 * 1024];
        loop {
            let Ok(count) = self.from.recv(&mut buffer).await else {
                // No process is bound to the server's port; the server may be
                // started again later.
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            self.context.count_bytes(count);
            let plan = self.context.current_plan();
            if random.random_bool(plan.outbound_loss.clamp(0.0, 1.0)) {
                continue;
            }
            let _ = self.to.send_to(&buffer[..count], self.client).await;
        }
    }
}
