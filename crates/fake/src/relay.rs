//! TCP relay that delays or discards data, or cuts connections.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;

use crate::relay_handle::RelayContext;
use crate::relay_handle::RelayHandle;

use crate::loopback;

/// Data that a relay discards while it keeps the connections open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discard {
    /// All data is forwarded.
    #[default]
    Nothing,
    /// Data towards the server: no request arrives.
    Requests,
    /// Data towards the client: requests are executed, but no reply arrives.
    Replies,
    /// Data in both directions, as on a connection whose network is down.
    Both,
}

impl Discard {
    fn drops_requests(self) -> bool {
        matches!(self, Discard::Requests | Discard::Both)
    }

    fn drops_replies(self) -> bool {
        matches!(self, Discard::Replies | Discard::Both)
    }
}

/// Faults that a relay injects into its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayPlan {
    /// Closes open connections, loses data in transit and closes new
    /// connections at once.
    pub cut: bool,
    /// Data that is discarded.
    pub discard: Discard,
    /// Delay of each chunk of data, in both directions.
    pub delay: Duration,
    /// Server that new connections are forwarded to instead of the original one,
    /// as if its address had been reassigned.
    pub redirect: Option<SocketAddr>,
}

/// TCP relay in front of one server.
pub type Relay = RelayHandle<RelayPlan>;

impl RelayHandle<RelayPlan> {
    /// Opens a relay on a free loopback port that forwards to `server`.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn open(server: SocketAddr) -> std::io::Result<Relay> {
        let listener = TcpListener::bind((loopback(), 0)).await?;
        let (relay, context) = RelayHandle::with_context(listener.local_addr()?);
        tokio::spawn(accept(listener, server, context));
        Ok(relay)
    }
}

async fn accept(listener: TcpListener, server: SocketAddr, context: RelayContext<RelayPlan>) {
    while let Ok((client, _)) = listener.accept().await {
        if !context.current_plan().cut {
            tokio::spawn(connect(client, server, context.clone()));
        }
    }
}

async fn connect(client: TcpStream, server: SocketAddr, context: RelayContext<RelayPlan>) {
    let server = context.current_plan().redirect.unwrap_or(server);
    let Ok(upstream) = TcpStream::connect(server).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let (client_in, client_out) = client.into_split();
    let (server_in, server_out) = upstream.into_split();
    tokio::select! {
        () = copy(client_in, server_out, context.clone(), Discard::drops_requests) => {}
        () = copy(server_in, client_out, context, Discard::drops_replies) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut context: RelayContext<RelayPlan>,
    discards: fn(Discard) -> bool,
) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            _ = context.plan.wait_for(|plan| plan.cut) => return,
        };
        let Ok(count @ 1..) = read else {
            return;
        };
        context.count_bytes(count);
        let delay = context.current_plan().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if discards(context.current_plan().discard) {
            continue;
        }
        if context.current_plan().cut || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
