//! Whole messages from a byte stream.

use super::{Decoder, Head, HttpError, Limits, Role, Step};

/// A whole message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// Its head.
    pub head: Head,
    /// Its body, without framing.
    pub body: Vec<u8>,
}

/// Gathers whole messages.
#[derive(Debug)]
pub struct MessageReader {
    decoder: Decoder,
    part: Option<Message>,
}

/// What a [`MessageReader`] found.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// More bytes are needed.
    NeedMore,
    /// The sender waits for `100 Continue` before it goes on.
    ExpectsContinue,
    /// A whole message.
    Message(Message),
}

impl MessageReader {
    /// A reader at the start of a connection.
    pub fn new(role: Role, limits: Limits) -> MessageReader {
        MessageReader {
            decoder: Decoder::new(role, limits),
            part: None,
        }
    }

    /// Takes bytes from the front of `unread`; returns what was found and how many were used.
    ///
    /// # Errors
    ///
    /// The message can't be taken; the connection can't be used any further.
    pub fn read(&mut self, unread: &[u8]) -> Result<(ReadResult, usize), HttpError> {
        let mut used = 0;
        loop {
            let (step, n) = self.decoder.step(&unread[used..])?;
            used += n;
            match step {
                Step::NeedMore => return Ok((ReadResult::NeedMore, used)),
                Step::Head(head) => {
                    let asks = head.expects_continue() && !self.decoder.is_body_complete();
                    self.part = Some(Message {
                        head,
                        body: Vec::new(),
                    });
                    if asks && used == unread.len() {
                        return Ok((ReadResult::ExpectsContinue, used));
                    }
                }
                Step::Data(data) => {
                    if let Some(part) = &mut self.part {
                        part.body.extend_from_slice(&data);
                    }
                }
                Step::MessageEnd => {
                    if let Some(whole) = self.part.take() {
                        return Ok((ReadResult::Message(whole), used));
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
