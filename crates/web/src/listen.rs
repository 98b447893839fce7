//! Binds the sockets of HTTP servers.

use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::net::TcpSocket;

use crate::Limits;

/// Size of the receive buffer of a connection's socket, in bytes, which the system may double. By default
/// the system keeps megabytes that a client has sent and the server has not read.
pub const RECEIVE_BUFFER_BYTES: u32 = 8 * 1024;

/// Size of the send buffer of a connection's socket, in bytes, which the system may double.
const SEND_BUFFER_BYTES: u32 = 16 * 1024;

/// Binds a listener with small socket buffers.
///
/// # Errors
/// The address cannot be bound.
pub fn listen(address: SocketAddr, limits: &Limits) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    // Connections inherit both sizes.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(u32::try_from(limits.queue).unwrap_or(u32::MAX))
}
