//! HTTP/1.1: a server with a thread for each connection, and a client that opens a connection for
//! each call.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Error;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// A request as a stand-in receives it.
pub struct Request {
    pub method: String,
    pub path: String,
    query: String,
    headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    /// Returns a header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Returns a decoded query parameter; empty if there is none.
    pub fn parameter(&self, name: &str) -> String {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        let found = pairs.into_iter().find(|(key, _)| *key == name);
        found.map_or_else(String::new, |(_, value)| decode(value))
    }
}

/// Status and body of a reply.
pub type Reply = (u16, String);

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text
            .get(at + 1..at + 3)
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        if let (b'%', Some(byte)) = (bytes[at], hex) {
            out.push(byte);
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn malformed() -> Error {
    Error::from(ErrorKind::InvalidData)
}

/// Reads the first line and the headers of a message.
fn read_head(reader: &mut impl BufRead) -> Result<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Err(Error::from(ErrorKind::UnexpectedEof));
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(Error::from(ErrorKind::UnexpectedEof));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':').ok_or_else(malformed)?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> Result<String> {
    let length = headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length = length.map_or(Ok(0), |(_, value)| value.parse::<usize>());
    let mut body = vec![0; length.map_err(|_| malformed())?];
    reader.read_exact(&mut body)?;
    String::from_utf8(body).map_err(|_| malformed())
}

/// Serves requests in threads of their own until the program ends.
pub fn serve(listener: TcpListener, handle: impl Fn(&Request) -> Reply + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                // An error means that the peer has closed the connection.
                let _ = serve_connection(stream, &*handle);
            });
        }
    });
}

fn serve_connection(stream: TcpStream, handle: &impl Fn(&Request) -> Reply) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (first, headers) = read_head(&mut reader)?;
        let body = read_body(&mut reader, &headers)?;
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let (path, query) = (path.to_owned(), query.to_owned());
        let request = Request {
            method,
            path,
            query,
            headers,
            body,
        };
        let (status, body) = handle(&request);
        let head = format!(
            "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all(format!("{head}{body}").as_bytes())?;
    }
}

/// Sends one request; fails without a complete reply within `timeout`.
pub fn call(
    address: SocketAddr,
    (method, host, path): (&str, &str, &str),
    body: &str,
    timeout: Duration,
) -> Result<Reply> {
    let end = Instant::now() + timeout;
    let stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    let left = end
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\n\
         timeout-ms: {}\r\ncontent-length: {}\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    );
    (&stream).write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let chunked = headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("transfer-encoding"));
    if chunked {
        return Err(malformed());
    }
    Ok((
        status.ok_or_else(malformed)?,
        read_body(&mut reader, &headers)?,
    ))
}
