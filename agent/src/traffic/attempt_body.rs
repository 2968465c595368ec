//! The request body that an attempt sends.

use crate::traffic::request_body::{ChunkReader, RequestBodyStream};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// The request body of an attempt: buffered, or forwarded while the client sends it.
pub enum AttemptBody {
    /// A completely buffered body.
    Buffered(Full<Bytes>),
    /// A streamed body: its buffered prefix, then the chunks that the client sends.
    Streamed(StreamedBody),
}

/// One attempt's position in a streamed body.
pub struct StreamedBody {
    reader: ChunkReader,
    prefix_is_sent: bool,
    /// Called when all chunks have been handed to the HTTP library.
    on_end: Option<Box<dyn FnOnce()>>,
}

impl Default for AttemptBody {
    fn default() -> Self {
        AttemptBody::Buffered(Full::default())
    }
}

impl AttemptBody {
    /// The body of one more attempt with the request body `stream`.
    pub fn streamed(stream: &Rc<RequestBodyStream>) -> Self {
        AttemptBody::Streamed(StreamedBody {
            reader: stream.open_reader(),
            prefix_is_sent: false,
            on_end: None,
        })
    }

    /// Calls `on_end` when all chunks of a body without a known length have been handed to the HTTP library.
    pub fn set_on_end(&mut self, on_end: impl FnOnce() + 'static) {
        if let AttemptBody::Streamed(body) = self {
            body.on_end = Some(Box::new(on_end));
        }
    }
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let streamed = match &mut *self {
            AttemptBody::Buffered(body) => {
                return Pin::new(body).poll_frame(cx).map_err(|never| match never {})
            }
            AttemptBody::Streamed(streamed) => streamed,
        };
        if !std::mem::replace(&mut streamed.prefix_is_sent, true) {
            let prefix = streamed.reader.body().prefix();
            if !prefix.is_empty() {
                return Poll::Ready(Some(Ok(Frame::data(prefix))));
            }
        }
        let chunk = streamed.reader.poll_chunk(cx);
        if matches!(chunk, Poll::Ready(None)) {
            streamed.on_end.take().into_iter().for_each(|on_end| on_end());
        }
        chunk.map_ok(Frame::data)
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AttemptBody::Buffered(body) if body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AttemptBody::Buffered(body) => body.size_hint(),
            AttemptBody::Streamed(body) => {
                body.reader.body().length().map_or_else(SizeHint::new, SizeHint::with_exact)
            }
        }
    }
}
