//! Keys of callers: their digests, and the lookup of the holder of a key. A key itself is never
//! kept: only its digest is, from which the key cannot be derived.

mod digest;
mod table;

pub use digest::*;
pub use table::*;
