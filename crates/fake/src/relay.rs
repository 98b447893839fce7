//! Relay for TCP that delays, swallows or cuts what passes through it.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;

use crate::way::Passage;
use crate::way::Way;

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
    /// Another server has the address now: new connections lead there.
    pub instead: Option<SocketAddr>,
}

/// Relay for TCP towards one server; a cut breaks the connections that are open.
pub type Relay = Way<RelayPlan>;

impl Way<RelayPlan> {
    /// Opens a relay on a free loopback port towards `server`.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn open(server: SocketAddr) -> std::io::Result<Relay> {
        let listener = TcpListener::bind((loopback(), 0)).await?;
        let (relay, passage) = Way::begin(listener.local_addr()?);
        tokio::spawn(accept(listener, server, passage));
        Ok(relay)
    }
}

async fn accept(listener: TcpListener, server: SocketAddr, passage: Passage<RelayPlan>) {
    while let Ok((client, _)) = listener.accept().await {
        if !passage.now().cut {
            tokio::spawn(connect(client, server, passage.clone()));
        }
    }
}

async fn connect(client: TcpStream, server: SocketAddr, passage: Passage<RelayPlan>) {
    let server = passage.now().instead.unwrap_or(server);
    let Ok(upstream) = TcpStream::connect(server).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let (client_in, client_out) = client.into_split();
    let (server_in, server_out) = upstream.into_split();
    tokio::select! {
        () = copy(client_in, server_out, passage.clone(), Mute::requests) => {}
        () = copy(server_in, client_out, passage, Mute::answers) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut passage: Passage<RelayPlan>,
    muted: fn(Mute) -> bool,
) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            _ = passage.plan.wait_for(|plan| plan.cut) => return,
        };
        let Ok(count @ 1..) = read else {
            return;
        };
        passage.count(count);
        let delay = passage.now().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if muted(passage.now().mute) {
            continue;
        }
        if passage.now().cut || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
