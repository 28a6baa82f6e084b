//! Reads arbitrary bytes as HTTP, in chunks whose size the first byte sets: the reader neither panics nor loops, the result
//! does not depend on the chunk size, and `httparse` accepts every request head that the reader accepts. Run with
//! `cargo +nightly fuzz run http`.
#![no_main]

use libfuzzer_sys::fuzz_target;
use maplethread_wire::http::{Decoder, Limits, Message, MessageReader, ReadResult, Role, Step};

fn read(role: Role, bytes: &[u8], chunk_size: usize) -> Option<Vec<Message>> {
    let mut reader = MessageReader::new(
        role,
        Limits {
            max_line_bytes: 128,
            max_head_bytes: 512,
            max_fields: 8,
            max_body_bytes: 256,
        },
    );
    let (mut messages, mut buffer) = (Vec::new(), Vec::new());
    for part in bytes.chunks(chunk_size) {
        buffer.extend_from_slice(part);
        loop {
            let (found, used) = reader.read(&buffer).ok()?;
            buffer.drain(..used);
            match found {
                ReadResult::Message(message) => messages.push(message),
                ReadResult::ExpectsContinue => {}
                ReadResult::NeedMore => break,
            }
        }
    }
    Some(messages)
}

fuzz_target!(|data: &[u8]| {
    let Some((&size, bytes)) = data.split_first() else {
        return;
    };
    for role in [Role::Requests, Role::Responses] {
        let whole = read(role, bytes, bytes.len().max(1));
        let chunked = read(role, bytes, usize::from(size) + 1);
        assert_eq!(whole.is_some(), chunked.is_some());
        assert_eq!(whole, chunked);
    }
    let mut decoder = Decoder::new(Role::Requests, Limits::default());
    if let Ok((Step::Head(head), _)) = decoder.step(bytes) {
        let mut fields = [httparse::EMPTY_HEADER; 100];
        let mut request = httparse::Request::new(&mut fields);
        let parsed = request.parse(bytes);
        assert!(
            matches!(parsed, Ok(httparse::Status::Complete(_))),
            "{parsed:?}"
        );
        assert_eq!(request.method, Some(head.method()));
        assert_eq!(request.path, Some(head.target()));
        let decoded_fields: Vec<_> = head.fields().collect();
        let expected_fields: Vec<_> = request.headers.iter().map(|h| (h.name, h.value)).collect();
        assert_eq!(decoded_fields, expected_fields);
    }
});
