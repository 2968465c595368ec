//! Collects a body in one allocation, and separates what is kept of a message from the buffers into which it was read.
//!
//! The HTTP library returns chunks and header values as slices of its read buffer, and the buffer stays allocated for as
//! long as any slice of it does, however short. So whatever is kept is copied.

use bytes::{Bytes, BytesMut};
use hyper::header::HeaderValue;
use hyper::Uri;

/// The bytes of a chunk without the buffer into which they were read.
pub fn detached(chunk: &Bytes) -> Bytes {
    Bytes::copy_from_slice(chunk)
}

/// A header value without the buffer into which its head was read.
pub fn detached_header(value: &HeaderValue) -> HeaderValue {
    // What is a value is valid as one.
    HeaderValue::from_bytes(value.as_bytes()).unwrap_or_else(|_| value.clone())
}

/// A request target without the buffer into which its head was read.
pub fn detached_uri(uri: Uri) -> Uri {
    // What is a target is valid as one.
    uri.to_string().parse().unwrap_or(uri)
}

/// The beginning of a body, or all of it.
pub struct BodyBuffer(BytesMut);

impl BodyBuffer {
    /// An empty buffer that holds `capacity` bytes without a further allocation.
    pub fn with_capacity(capacity: usize) -> Self {
        BodyBuffer(BytesMut::with_capacity(capacity))
    }

    /// Appends a copy of a chunk.
    pub fn push(&mut self, chunk: &[u8]) {
        let BodyBuffer(buffer) = self;
        buffer.extend_from_slice(chunk);
    }

    /// How many bytes have been collected.
    pub fn len(&self) -> usize {
        let BodyBuffer(buffer) = self;
        buffer.len()
    }

    /// The bytes, in an allocation of their size.
    pub fn into_bytes(self) -> Bytes {
        let BodyBuffer(buffer) = self;
        match buffer.capacity() > buffer.len() {
            true => Bytes::copy_from_slice(&buffer),
            false => buffer.freeze(),
        }
    }
}

#[cfg(test)]
mod tests;
