//! Reads complete messages from a byte stream.

use super::{Decoder, Head, HttpError, Limits, Role, Step};

/// A complete message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The head.
    pub head: Head,
    /// The body, without framing.
    pub body: Vec<u8>,
}

/// Collects the steps of a [`Decoder`] into complete messages.
#[derive(Debug)]
pub struct MessageReader {
    decoder: Decoder,
    partial: Option<Message>,
}

/// The result of [`MessageReader::read`].
#[derive(Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// More bytes are needed.
    NeedMore,
    /// The sender waits for `100 Continue` before sending the body.
    ExpectsContinue,
    /// A complete message.
    Message(Message),
}

impl MessageReader {
    /// Creates a reader for a new connection.
    pub fn new(role: Role, limits: Limits) -> MessageReader {
        MessageReader {
            decoder: Decoder::new(role, limits),
            partial: None,
        }
    }

    /// Reads from the front of `unread`; returns the result and how many bytes were used.
    ///
    /// # Errors
    ///
    /// The message is malformed, ambiguous or too large; the connection can't be used any further.
    pub fn read(&mut self, unread: &[u8]) -> Result<(ReadResult, usize), HttpError> {
        let mut used = 0;
        loop {
            let (step, n) = self.decoder.step(&unread[used..])?;
            used += n;
            match step {
                Step::NeedMore => return Ok((ReadResult::NeedMore, used)),
                Step::Head(head) => {
                    let expects_continue =
                        head.expects_continue() && !self.decoder.is_body_complete();
                    self.partial = Some(Message {
                        head,
                        body: Vec::new(),
                    });
                    if expects_continue && used == unread.len() {
                        return Ok((ReadResult::ExpectsContinue, used));
                    }
                }
                Step::Data(data) => {
                    if let Some(partial) = &mut self.partial {
                        partial.body.extend_from_slice(&data);
                    }
                }
                Step::MessageEnd => {
                    if let Some(message) = self.partial.take() {
                        return Ok((ReadResult::Message(message), used));
                    }
                }
            }
        }
    }

    /// Whether a message has begun and not ended.
    pub fn is_inside_message(&self) -> bool {
        self.decoder.is_inside_message()
    }
}
