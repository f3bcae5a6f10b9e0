//! Response bodies of the stand-in nodes: a value, or generated content of any length that takes no memory.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

const FRAME_BYTES: usize = 32_768; // of a body with a known length
const SMALL_FRAME_BYTES: usize = 2_048; // of a body without one, each sent as a chunk
static FILL: [u8; FRAME_BYTES] = [b'.'; FRAME_BYTES];
const SIZED_KEY: &str = "/api/long-"; // followed by the length and anything else
const UNSIZED_KEY: &str = "/api/unsized-"; // the same, for a body whose length is not declared

/// A body that is sent by a node.
pub struct NodeBody {
    value: Bytes,
    generated_bytes: u64,
    has_known_length: bool,
}

impl NodeBody {
    /// A body that consists of a value.
    pub fn new(value: Bytes) -> Self {
        NodeBody { value, generated_bytes: 0, has_known_length: true }
    }

    /// The generated body that a path asks for, if it does.
    pub fn for_path(path: &str) -> Option<Self> {
        let (rest, has_known_length) = match path.strip_prefix(SIZED_KEY) {
            Some(rest) => (rest, true),
            None => (path.strip_prefix(UNSIZED_KEY)?, false),
        };
        let generated_bytes = rest.split('-').next()?.parse().ok()?;
        Some(NodeBody { value: Bytes::new(), generated_bytes, has_known_length })
    }

    fn remaining(&self) -> u64 {
        self.value.len() as u64 + self.generated_bytes
    }
}

impl Body for NodeBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if !self.value.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.value)))));
        }
        let largest = if self.has_known_length { FRAME_BYTES } else { SMALL_FRAME_BYTES };
        let bytes = usize::try_from(self.generated_bytes).map_or(largest, |rest| rest.min(largest));
        self.generated_bytes -= bytes as u64;
        Poll::Ready((bytes > 0).then(|| Ok(Frame::data(Bytes::from_static(&FILL[..bytes])))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining() == 0
    }

    fn size_hint(&self) -> SizeHint {
        if self.has_known_length { SizeHint::with_exact(self.remaining()) } else { SizeHint::default() }
    }
}
