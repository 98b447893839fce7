//! Relay for TCP that delays, swallows or cuts what passes through it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

use crate::loopback;

/// Which bytes a relay swallows; connections stay open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mute {
    /// None.
    #[default]
    Nothing,
    /// Those towards the server: it hears nothing.
    Requests,
    /// Those towards the client: what was asked for is done and not answered.
    Answers,
    /// All: a connection gone silent.
    Both,
}

impl Mute {
    fn requests(self) -> bool {
        matches!(self, Mute::Requests | Mute::Both)
    }

    fn answers(self) -> bool {
        matches!(self, Mute::Answers | Mute::Both)
    }
}

/// What a relay does to what passes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayPlan {
    /// Nothing passes; what is sent meanwhile is lost, connections break.
    pub cut: bool,
    /// What is swallowed.
    pub mute: Mute,
    /// Delay in each direction.
    pub delay: Duration,
}

/// Relay for TCP towards one server.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
    plan: watch::Sender<RelayPlan>,
}

impl Relay {
    /// Opens a relay on a free loopback port towards `server`.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn open(server: SocketAddr) -> std::io::Result<Relay> {
        let listener = TcpListener::bind((loopback(), 0)).await?;
        let address = listener.local_addr()?;
        let (plan, seen) = watch::channel(RelayPlan::default());
        let bytes = Arc::new(AtomicU64::new(0));
        tokio::spawn(accept(listener, server, seen, bytes.clone()));
        Ok(Relay {
            address,
            bytes,
            plan,
        })
    }

    /// Where clients connect.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes passed so far, both ways.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Changes the plan; a cut breaks the connections that are open.
    pub fn set(&self, plan: RelayPlan) {
        self.plan.send_replace(plan);
    }
}

async fn accept(
    listener: TcpListener,
    server: SocketAddr,
    plan: watch::Receiver<RelayPlan>,
    bytes: Arc<AtomicU64>,
) {
    while let Ok((client, _)) = listener.accept().await {
        if plan.borrow().cut {
            continue;
        }
        let plan = plan.clone();
        let bytes = bytes.clone();
        tokio::spawn(async move {
            let Ok(upstream) = TcpStream::connect(server).await else {
                return;
            };
            let _ = client.set_nodelay(true);
            let _ = upstream.set_nodelay(true);
            let (client_in, client_out) = client.into_split();
            let (server_in, server_out) = upstream.into_split();
            tokio::select! {
                () = copy(client_in, server_out, plan.clone(), Mute::requests, &bytes) => {}
                () = copy(server_in, client_out, plan, Mute::answers, &bytes) => {}
            }
        });
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut plan: watch::Receiver<RelayPlan>,
    muted: fn(Mute) -> bool,
    bytes: &AtomicU64,
) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            _ = plan.wait_for(|plan| plan.cut) => return,
        };
        let Ok(count @ 1..) = read else {
            return;
        };
        bytes.fetch_add(count as u64, Ordering::Relaxed);
        let delay = plan.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if muted(plan.borrow().mute) {
            continue;
        }
        if plan.borrow().cut || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
