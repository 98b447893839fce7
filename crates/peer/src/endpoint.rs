//! QUIC endpoint of a process: calls other processes and serves their calls.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use event::Timeline;
use quinn::Connection;
use quinn::Endpoint;
use quinn::IdleTimeout;
use quinn::Incoming;
use quinn::RecvStream;
use quinn::SendStream;
use quinn::TransportConfig;
use quinn::VarInt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::CELL_NAME;
use crate::Frame;
use crate::HandshakeDecision;
use crate::KeyFiles;
use crate::MAX_FRAME_BYTES;
use crate::MAX_HANDSHAKES;
use crate::OpenError;
use crate::PeerError;
use crate::Service;
use crate::decide_handshake;
use crate::decode;
use crate::encode;
use crate::handshake::HANDSHAKE_TIMEOUT;
use crate::tls;

/// Time without received packets after which a connection is closed. Its pending
/// calls then fail with [`PeerError::NoReply`], so that the callers can retry at
/// another process, such as the new owner of a shard.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval of keep-alive packets on an idle connection; shorter than
/// [`IDLE_TIMEOUT`], so that the connection stays open.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(600);

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum number of calls in flight on one connection, each on its own stream.
/// The QUIC library allocates a table of this size for each connection: 16,384
/// entries took 2.4 MiB.
const MAX_STREAMS: u32 = 2048;

/// Maximum number of clients that wait for the decision on their handshake.
const MAX_INCOMING: usize = 256;

/// Memory for what such a client sends, in bytes.
const INCOMING_BUFFER_BYTES: u64 = 4096;

/// QUIC endpoint of one process; clones share it.
#[derive(Clone, Debug)]
pub struct PeerEndpoint {
    endpoint: Endpoint,
    timeline: Arc<Timeline>,
    connections: Arc<Mutex<HashMap<SocketAddr, Connection>>>,
}

impl PeerEndpoint {
    /// Loads the keys and binds the socket.
    ///
    /// # Errors
    /// The keys cannot be loaded or the address cannot be bound.
    pub fn open(
        listen: SocketAddr,
        keys: &KeyFiles,
        timeline: Arc<Timeline>,
    ) -> Result<PeerEndpoint, OpenError> {
        let tls = tls::load(keys)?;
        let transport = Arc::new(transport());
        let mut server = quinn::ServerConfig::with_crypto(Arc::new(tls.server));
        server.transport_config(transport.clone());
        // Packets that arrive before the decision on their handshake.
        server.max_incoming(MAX_INCOMING);
        server.incoming_buffer_size(INCOMING_BUFFER_BYTES);
        server.incoming_buffer_size_total(INCOMING_BUFFER_BYTES * MAX_INCOMING as u64);
        let mut client = quinn::ClientConfig::new(Arc::new(tls.client));
        client.transport_config(transport);
        let mut endpoint = Endpoint::server(server, listen).map_err(|source| OpenError::Bind {
            address: listen,
            source,
        })?;
        endpoint.set_default_client_config(client);
        Ok(PeerEndpoint {
            endpoint,
            timeline,
            connections: Arc::default(),
        })
    }

    /// Calls another process and waits for its reply. `timeout` does not include
    /// the time for opening a connection.
    ///
    /// # Errors
    /// See [`PeerError`]; only `Unreachable` guarantees that the peer did not
    /// receive the call.
    pub async fn call<Q, R>(
        &self,
        peer: SocketAddr,
        request: &Q,
        timeout: Duration,
    ) -> Result<R, PeerError>
    where
        Q: Serialize + Sync,
        R: DeserializeOwned,
    {
        let connection = self.connect(peer).await?;
        let exchange = self.exchange(&connection, peer, request);
        match tokio::time::timeout(timeout, exchange).await {
            Ok(reply) => reply,
            Err(_) => Err(no_reply(peer, "timeout")),
        }
    }

    async fn exchange<Q, R>(
        &self,
        connection: &Connection,
        peer: SocketAddr,
        request: &Q,
    ) -> Result<R, PeerError>
    where
        Q: Serialize + Sync,
        R: DeserializeOwned,
    {
        let frame = Frame {
            stamp: self.timeline.clock().tick(),
            body: request,
        };
        let bytes = encode(&frame).map_err(|error| unreachable(peer, &error.to_string()))?;
        let (mut send, mut receive) = connection
            .open_bi()
            .await
            .map_err(|error| unreachable(peer, &error.to_string()))?;
        let stream_error = |error: &str| no_reply(peer, error);
        send.write_all(&bytes)
            .await
            .map_err(|e| stream_error(&e.to_string()))?;
        send.finish().map_err(|e| stream_error(&e.to_string()))?;
        let bytes = receive
            .read_to_end(MAX_FRAME_BYTES)
            .await
            .map_err(|e| stream_error(&e.to_string()))?;
        let reply: Frame<R> = decode(&bytes).map_err(|e| stream_error(&e.to_string()))?;
        self.timeline.clock().merge(reply.stamp);
        Ok(reply.body)
    }

    async fn connect(&self, peer: SocketAddr) -> Result<Connection, PeerError> {
        if let Some(connection) = self.existing_connection(peer) {
            return Ok(connection);
        }
        let connecting = self
            .endpoint
            .connect(peer, CELL_NAME)
            .map_err(|error| unreachable(peer, &error.to_string()))?;
        let connection = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(error)) => return Err(unreachable(peer, &error.to_string())),
            Err(_) => return Err(unreachable(peer, "no connection before the timeout")),
        };
        let mut connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        connections.retain(|_, open| open.close_reason().is_none());
        connections.insert(peer, connection.clone());
        Ok(connection)
    }

    fn existing_connection(&self, peer: SocketAddr) -> Option<Connection> {
        let connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let connection = connections.get(&peer)?;
        connection
            .close_reason()
            .is_none()
            .then(|| connection.clone())
    }

    /// Serves the calls of other processes until the endpoint closes.
    pub async fn serve<S: Service>(&self, service: S) {
        let places = Arc::new(Semaphore::new(MAX_HANDSHAKES));
        while let Some(incoming) = self.endpoint.accept().await {
            let current = MAX_HANDSHAKES - places.available_permits();
            match decide_handshake(current, incoming.remote_address_validated()) {
                HandshakeDecision::Begin => {
                    let place = places.clone().acquire_owned().await;
                    let handshake =
                        self.clone()
                            .serve_client(incoming, service.clone(), place.ok());
                    tokio::spawn(handshake);
                }
                HandshakeDecision::Validate => validate_address(incoming),
                HandshakeDecision::Refuse => incoming.refuse(),
            }
        }
    }

    /// Completes a handshake, which keeps `place` until then, and serves the connection.
    async fn serve_client<S: Service>(
        self,
        incoming: Incoming,
        service: S,
        place: Option<OwnedSemaphorePermit>,
    ) {
        let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, incoming.into_future()).await;
        drop(place);
        match handshake {
            Ok(Ok(connection)) => self.serve_connection(connection, service).await,
            Ok(Err(error)) => {
                log::debug!("handshake with a calling process failed, connection dropped: {error}");
            }
            Err(_) => log::debug!(
                "handshake with a calling process timed out after {HANDSHAKE_TIMEOUT:?}, connection dropped"
            ),
        }
    }

    async fn serve_connection<S: Service>(&self, connection: Connection, service: S) {
        while let Ok((send, receive)) = connection.accept_bi().await {
            let peer_endpoint = self.clone();
            let service = service.clone();
            tokio::spawn(async move {
                if let Err(reason) = peer_endpoint.serve_call(send, receive, service).await {
                    log::debug!("call from another process failed, no reply sent: {reason}");
                }
            });
        }
    }

    async fn serve_call<S: Service>(
        &self,
        mut send: SendStream,
        mut receive: RecvStream,
        service: S,
    ) -> Result<(), String> {
        let bytes = receive
            .read_to_end(MAX_FRAME_BYTES)
            .await
            .map_err(|error| error.to_string())?;
        let request: Frame<S::Request> = decode(&bytes).map_err(|error| error.to_string())?;
        self.timeline.clock().merge(request.stamp);
        let body = service.answer(request.body).await;
        let frame = Frame {
            stamp: self.timeline.clock().tick(),
            body,
        };
        let bytes = encode(&frame).map_err(|error| error.to_string())?;
        send.write_all(&bytes)
            .await
            .map_err(|error| error.to_string())?;
        send.finish().map_err(|error| error.to_string())
    }

    /// Closes all connections and waits until the peers have been notified.
    pub async fn close(self) {
        self.endpoint.close(VarInt::from_u32(0), b"stopped");
        self.endpoint.wait_idle().await;
    }
}

/// Tells a client to try again with a token that it receives at its address.
fn validate_address(incoming: Incoming) {
    if let Err(error) = incoming.retry() {
        error.into_incoming().refuse();
    }
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    let millis = u32::try_from(IDLE_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    transport.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(millis))));
    transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS));
    transport
}

fn unreachable(peer: SocketAddr, reason: &str) -> PeerError {
    let reason = reason.to_owned();
    PeerError::Unreachable { peer, reason }
}

fn no_reply(peer: SocketAddr, reason: &str) -> PeerError {
    let reason = reason.to_owned();
    PeerError::NoReply { peer, reason }
}
