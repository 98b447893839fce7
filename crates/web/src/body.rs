//! Receives the bodies of requests, within the memory of their listener.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use strum::Display;
use strum::IntoStaticStr;

use crate::gate::Place;

/// Largest size of a segment of a body, in bytes. Segments of one size can take each other's place in
/// the heap, whereas buffers that grow with their bodies leave gaps.
const SEGMENT_BYTES: usize = 16 * 1024;

/// Size of the first segment of a body whose size is not known, in bytes.
const FIRST_SEGMENT_BYTES: usize = 2048;

/// Why a server refused a request or closed a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The connection was closed for a new one.
    Place,
    /// The body yielded, since the memory for bodies is used up.
    Memory,
    /// The body is larger than allowed.
    Size,
    /// The body did not arrive in time.
    Late,
    /// The connection ended before the body did.
    Broken,
    /// Too many requests are being handled.
    Requests,
}

/// Receives a body of at most `allowed` bytes. Its pieces are copied as they arrive: a piece of one
/// byte would keep the whole buffer alive into which it was read.
pub(crate) async fn receive(
    mut body: Incoming,
    allowed: usize,
    place: &Place,
) -> Result<Bytes, Refusal> {
    let announced = body.size_hint();
    if announced.lower() > allowed as u64 {
        return Err(Refusal::Size);
    }
    let exact = announced.exact();
    let mut segments = Segments::new(exact.and_then(|size| usize::try_from(size).ok()));
    while let Some(frame) = body.frame().await {
        let Ok(mut piece) = frame.map_err(|_| Refusal::Broken)?.into_data() else {
            continue;
        };
        if segments.len + piece.len() > allowed {
            return Err(Refusal::Size);
        }
        while !piece.is_empty() {
            if segments.room() == 0 {
                let size = segments.next_size();
                if !place.reserve(size).await {
                    return Err(Refusal::Memory);
                }
                segments.add(size);
            }
            let part = piece.split_to(piece.len().min(segments.room()));
            segments.extend(&part);
        }
    }
    Ok(segments.join())
}

/// The received part of a body.
#[derive(Debug)]
struct Segments {
    /// All but the last one are full.
    parts: Vec<Vec<u8>>,
    /// Number of bytes received.
    len: usize,
    /// Size of the whole body, if it is known.
    announced: Option<usize>,
}

impl Segments {
    fn new(announced: Option<usize>) -> Segments {
        Segments {
            parts: Vec::new(),
            len: 0,
            announced,
        }
    }

    /// Bytes that the last segment can still take.
    fn room(&self) -> usize {
        let last = self.parts.last();
        last.map_or(0, |part| part.capacity() - part.len())
    }

    /// Size of the next segment.
    fn next_size(&self) -> usize {
        match self.announced {
            Some(size) => size.saturating_sub(self.len).clamp(1, SEGMENT_BYTES),
            None if self.parts.is_empty() => FIRST_SEGMENT_BYTES,
            None => SEGMENT_BYTES,
        }
    }

    fn add(&mut self, size: usize) {
        self.parts.push(Vec::with_capacity(size));
    }

    fn extend(&mut self, bytes: &[u8]) {
        if let Some(part) = self.parts.last_mut() {
            part.extend_from_slice(bytes);
            self.len += bytes.len();
        }
    }

    fn join(mut self) -> Bytes {
        if self.parts.len() <= 1 {
            return self.parts.pop().unwrap_or_default().into();
        }
        let mut body = Vec::with_capacity(self.len);
        for part in self.parts {
            body.extend_from_slice(&part);
        }
        body.into()
    }
}
