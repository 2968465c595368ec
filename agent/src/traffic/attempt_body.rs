//! The body of the request that an attempt sends.

use crate::traffic::request_body::RequestBodyStream;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// The body of an attempt: a buffered one, or the client's own as it comes.
pub enum AttemptBody {
    /// A body that is buffered completely.
    Buffered(Full<Bytes>),
    /// A body that is streamed; its beginning, which is buffered, goes first.
    Streamed(StreamedBody),
}

/// One attempt's way through a long body.
pub struct StreamedBody {
    stream: Rc<RequestBodyStream>,
    beginning_is_sent: bool,
    /// Called when the last byte is on its way.
    on_end: Option<Box<dyn FnOnce()>>,
}

impl Default for AttemptBody {
    fn default() -> Self {
        AttemptBody::Buffered(Full::default())
    }
}

impl AttemptBody {
    /// A further attempt with this body.
    pub fn streamed(stream: &Rc<RequestBodyStream>) -> Self {
        AttemptBody::Streamed(StreamedBody { stream: stream.clone(), beginning_is_sent: false, on_end: None })
    }

    /// Calls `on_end` when the last byte of a body without a known length is on its way.
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
        if !std::mem::replace(&mut streamed.beginning_is_sent, true) {
            let beginning = streamed.stream.beginning();
            if !beginning.is_empty() {
                return Poll::Ready(Some(Ok(Frame::data(beginning))));
            }
        }
        let chunk = streamed.stream.poll_chunk(cx);
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
                body.stream.length().map_or_else(SizeHint::new, SizeHint::with_exact)
            }
        }
    }
}
