//! Binds the sockets of HTTP servers.

use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::net::TcpSocket;

use crate::Limits;

/// Size of the buffers of a connection's socket, in bytes. By default the system keeps megabytes that a
/// client has sent and the server has not read.
const SOCKET_BUFFER_BYTES: u32 = 16 * 1024;

/// Binds a listener with small socket buffers, and with a queue of new connections that holds half as
/// many as may be open.
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
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.bind(address)?;
    let queue = limits.connections / 2;
    socket.listen(u32::try_from(queue).unwrap_or(u32::MAX))
}
