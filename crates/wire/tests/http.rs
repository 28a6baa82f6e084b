//! The HTTP decoder: rejected messages and their status, results that do not depend on how the bytes are split, and
//! agreement with `httparse`.

use maplethread_wire::http::{
    Decoder, HttpError, Limits, Message, MessageReader, ReadResult, Role, Step,
};
use proptest::prelude::*;

/// Reads all messages of a stream that is received in pieces of these sizes.
fn read_in_pieces(
    role: Role,
    limits: Limits,
    bytes: &[u8],
    pieces: &[usize],
) -> Result<Vec<Message>, HttpError> {
    let mut reader = MessageReader::new(role, limits);
    let (mut messages, mut buffer, mut at, mut piece) = (Vec::new(), Vec::new(), 0, 0);
    while at < bytes.len() {
        let n = pieces
            .get(piece % pieces.len().max(1))
            .copied()
            .unwrap_or(bytes.len())
            .clamp(1, bytes.len() - at);
        buffer.extend_from_slice(&bytes[at..at + n]);
        (at, piece) = (at + n, piece + 1);
        loop {
            let (found, used) = reader.read(&buffer)?;
            assert!(used <= buffer.len());
            buffer.drain(..used);
            match found {
                ReadResult::Message(message) => messages.push(message),
                ReadResult::ExpectsContinue => {}
                ReadResult::NeedMore => break,
            }
        }
    }
    Ok(messages)
}

fn read_requests(bytes: &[u8]) -> Result<Vec<Message>, HttpError> {
    let whole = read_in_pieces(Role::Requests, Limits::default(), bytes, &[bytes.len()]);
    let byte_by_byte = read_in_pieces(Role::Requests, Limits::default(), bytes, &[1]);
    assert_eq!(
        whole, byte_by_byte,
        "splitting the bytes changes the result"
    );
    whole
}

#[test]
fn reads_requests_with_every_framing() {
    let get = read_requests(
        b"GET /v1/status?full HTTP/1.1\r\nHost: a\r\nX-Empty:\r\nX-Pad: \t b c \t\r\n\r\n",
    )
    .expect("valid message");
    let head = &get[0].head;
    assert_eq!(
        (head.method(), head.target(), head.minor_version()),
        ("GET", "/v1/status?full", 1)
    );
    assert_eq!(
        (head.field("x-empty"), head.field("x-pad")),
        (Some(""), Some("b c"))
    );
    let bytes = b"\r\nPOST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcPUT / HTTP/1.1\r\nhost: a\r\n\
        Transfer-Encoding: Chunked\r\n\r\n3;x=\"y\"\r\nabc\r\n0a \r\n0123456789\r\n0\r\nTrailer: t\r\n\r\nGET / HTTP/1.0\r\n\r\n";
    let all = read_requests(bytes).expect("valid message");
    let bodies: Vec<&[u8]> = all.iter().map(|m| m.body.as_slice()).collect();
    assert_eq!(bodies, [&b"abc"[..], b"abc0123456789", b""]);
    // Regression test for a bug found by fuzzing: any number of empty lines before a request is skipped.
    assert_eq!(
        read_requests(b"\r\n\r\n\r\nGET / HTTP/1.0\r\n\r\n").map(|all| all.len()),
        Ok(1)
    );
    assert_eq!(
        all.iter()
            .map(|m| m.head.is_keep_alive())
            .collect::<Vec<_>>(),
        [true, true, false]
    );
}

#[test]
fn rejects_ambiguous_messages() {
    use HttpError::*;
    let cases: &[(&[u8], HttpError, u16)] = &[
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
            ConflictingLengths,
            400,
        ),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", InvalidContentLength, 400),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3, 3\r\n\r\nabc", InvalidContentLength, 400),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc", InvalidContentLength, 400),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", InvalidContentLength, 400),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999999\r\n\r\n", InvalidContentLength, 400),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 999999999\r\n\r\n", BodyTooLarge, 413),
        (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", UnsupportedCoding, 501),
        (b"POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", UnsupportedCoding, 501),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: a\rb\r\n\r\n", BareLineEnd, 400),
        (b"GET / HTTP/1.1\nHost: a\n\n", BareLineEnd, 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: a\r\n  folded\r\n\r\n", FoldedField, 400),
        (b"GET / HTTP/1.1\r\nHost : a\r\n\r\n", MalformedField, 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\n: b\r\n\r\n", MalformedField, 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: \0\r\n\r\n", MalformedField, 400),
        (b"GET / HTTP/1.1\r\n\r\n", InvalidHost, 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", InvalidHost, 400),
        (b"GET / HTTP/2.0\r\nHost: a\r\n\r\n", UnsupportedVersion, 505),
        (b"GET  / HTTP/1.1\r\nHost: a\r\n\r\n", MalformedStartLine, 400),
        (b"G(T / HTTP/1.1\r\nHost: a\r\n\r\n", MalformedStartLine, 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", MalformedChunk, 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd", MalformedChunk, 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n", MalformedChunk, 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff\r\n", MalformedChunk, 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n", BodyTooLarge, 413),
    ];
    for (bytes, error, status) in cases {
        let got = read_requests(bytes).expect_err("rejected");
        assert_eq!(
            (got, got.status()),
            (*error, *status),
            "{}",
            String::from_utf8_lossy(bytes)
        );
    }
}

#[test]
fn enforces_limits_before_a_message_is_complete() {
    let limits = Limits {
        max_line_bytes: 64,
        max_head_bytes: 256,
        max_fields: 4,
        max_body_bytes: 16,
    };
    let read =
        |bytes: &[u8]| read_in_pieces(Role::Requests, limits, bytes, &[7]).expect_err("rejected");
    assert_eq!(
        read(format!("GET /{}", "x".repeat(100)).as_bytes()),
        HttpError::LineTooLong
    );
    assert_eq!(
        read(format!("GET / HTTP/1.1\r\nX: {}", "x".repeat(300)).as_bytes()),
        HttpError::HeadTooLarge
    );
    let many = "GET / HTTP/1.1\r\nHost: a\r\nA: 1\r\nB: 2\r\nC: 3\r\nD: 4\r\n\r\n";
    assert_eq!(read(many.as_bytes()), HttpError::HeadTooLarge);
    let chunks =
        "GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n123456789\r\n9\r\n";
    assert_eq!(read(chunks.as_bytes()), HttpError::BodyTooLarge);
    let long_size = format!(
        "GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;{}",
        "x".repeat(300)
    );
    assert_eq!(read(long_size.as_bytes()), HttpError::MalformedChunk);
}

#[test]
fn reads_responses_with_every_framing() {
    let bytes = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 204 \r\n\r\n\
        HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\nHTTP/1.1 200\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n";
    let all =
        read_in_pieces(Role::Responses, Limits::default(), bytes, &[3]).expect("valid message");
    let got: Vec<(u16, &[u8])> = all
        .iter()
        .map(|m| (m.head.status(), m.body.as_slice()))
        .collect();
    assert_eq!(
        got,
        [
            (100, &b""[..]),
            (200, b"ok"),
            (204, b""),
            (304, b""),
            (200, b"a")
        ]
    );
    // The body of a response without a length ends when the connection is closed.
    let mut decoder = Decoder::new(Role::Responses, Limits::default());
    let bytes = b"HTTP/1.0 200 OK\r\n\r\nall of it";
    let (step, used) = decoder.step(bytes).expect("valid message");
    assert!(matches!(step, Step::Head(_)));
    assert_eq!(
        decoder.step(&bytes[used..]),
        Ok((Step::Data(b"all of it".to_vec()), 9))
    );
    assert_eq!(decoder.finish(b""), Ok(true));
    let mut decoder = Decoder::new(Role::Responses, Limits::default());
    decoder
        .step(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
        .expect("valid message");
    assert_eq!(decoder.finish(b""), Err(HttpError::Truncated));
}

/// A head as `httparse` parses it: method, target and fields.
type ParsedHead = (String, String, Vec<(String, Vec<u8>)>);

fn httparse_head(bytes: &[u8]) -> Option<ParsedHead> {
    let mut fields = [httparse::EMPTY_HEADER; 100];
    let mut request = httparse::Request::new(&mut fields);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => {
            let fields = request
                .headers
                .iter()
                .map(|h| (h.name.to_owned(), h.value.to_vec()))
                .collect();
            Some((request.method?.to_owned(), request.path?.to_owned(), fields))
        }
        _ => None,
    }
}

fn line_end() -> impl Strategy<Value = &'static str> {
    prop_oneof![20 => Just("\r\n"), 1 => Just("\n"), 1 => Just("\r"), 1 => Just("\r\n ")]
}

/// Requests that are valid, or malformed in one or a few places.
fn nearly_valid_request() -> impl Strategy<Value = Vec<u8>> {
    let method = prop_oneof![8 => Just("GET".to_owned()), 4 => Just("POST".to_owned()), 2 => "[A-Z!#]{1,8}", 1 => "[ -~]{0,6}"];
    let target = prop_oneof![8 => "/[a-z0-9/?=&%._-]{0,20}", 1 => "[ -~]{0,10}"];
    let version = prop_oneof![10 => Just("HTTP/1.1"), 2 => Just("HTTP/1.0"), 1 => Just("HTTP/1.2"), 1 => Just("http/1.1")];
    let name = prop_oneof![8 => "[A-Za-z-]{1,12}", 1 => "[ -~]{0,6}"];
    let value = prop_oneof![8 => "[ -~]{0,20}", 1 => "[\\x00-\\x1f]{0,3}"];
    let fields = proptest::collection::vec((name, value, line_end()), 0..6);
    (method, target, version, line_end(), fields, any::<bool>()).prop_map(
        |(m, t, v, end, fields, host)| {
            let mut text = format!("{m} {t} {v}{end}");
            if host {
                text += "Host: a\r\n";
            }
            for (name, value, end) in fields {
                text += &format!("{name}: {value}{end}");
            }
            text += "\r\n";
            text.into_bytes()
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    /// A request that the decoder accepts is accepted by `httparse` with the same result.
    #[test]
    fn agrees_with_httparse_on_nearly_valid_requests(bytes in nearly_valid_request()) {
        let mut decoder = Decoder::new(Role::Requests, Limits::default());
        if let Ok((Step::Head(head), _)) = decoder.step(&bytes) {
            let fields = head.fields().map(|(n, v)| (n.to_owned(), v.to_vec())).collect();
            let decoded = (head.method().to_owned(), head.target().to_owned(), fields);
            prop_assert_eq!(Some(decoded), httparse_head(&bytes));
        }
    }

    /// The decoder accepts the plain requests that `httparse` accepts: it is stricter only in the documented points.
    #[test]
    fn reads_valid_requests_that_httparse_reads(target in "/[a-z0-9/._-]{0,30}", fields in proptest::collection::vec(("X-[a-z]{1,10}", "[!-~]([ -~]{0,30}[!-~])?"), 0..10)) {
        let mut text = format!("GET {target} HTTP/1.1\r\nHost: a\r\n");
        fields.iter().for_each(|(n, v)| text += &format!("{n}: {v}\r\n"));
        text += "\r\n";
        prop_assert!(httparse_head(text.as_bytes()).is_some());
        let mut decoder = Decoder::new(Role::Requests, Limits::default());
        let (step, used) = decoder.step(text.as_bytes()).expect("valid message");
        prop_assert!(matches!(step, Step::Head(_)));
        prop_assert_eq!(used, text.len());
    }

    /// The result does not depend on the pieces in which the bytes are received, for errors too.
    #[test]
    fn result_does_not_depend_on_how_bytes_are_split(bytes in nearly_valid_request(), body in "[ -~]{0,40}", pieces in proptest::collection::vec(1usize..20, 1..10)) {
        let mut all = bytes;
        all.extend_from_slice(format!("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}", body.len()).as_bytes());
        let whole = read_in_pieces(Role::Requests, Limits::default(), &all, &[all.len()]);
        let split = read_in_pieces(Role::Requests, Limits::default(), &all, &pieces);
        // A prefix may be rejected earlier for another reason. Whether the bytes are rejected must not depend on the
        // split.
        prop_assert_eq!(whole.is_ok(), split.is_ok());
        if let (Ok(whole), Ok(split)) = (whole, split) {
            prop_assert_eq!(whole, split);
        }
    }

    /// Arbitrary bytes result in messages, a request for more bytes, or an error, and never in a panic or an endless
    /// loop.
    #[test]
    fn reading_arbitrary_bytes_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..400), pieces in proptest::collection::vec(1usize..50, 1..5)) {
        let _ = read_in_pieces(Role::Requests, Limits::default(), &bytes, &pieces);
        let _ = read_in_pieces(Role::Responses, Limits::default(), &bytes, &pieces);
    }

    /// Messages that are written are read back unchanged.
    #[test]
    fn reads_back_what_it_writes(body in proptest::collection::vec(any::<u8>(), 1..200), value in "[ -~\\r\\n]{0,30}") {
        let mut out = Vec::new();
        maplethread_wire::http::write_request(&mut out, "POST", "/x", &[("Host", "a"), ("X-Value", &value)], &body);
        maplethread_wire::http::write_request(&mut out, "GET", "/y", &[("Host", "a")], b"");
        let all = read_in_pieces(Role::Requests, Limits::default(), &out, &[9]).expect("valid message");
        prop_assert_eq!(all.len(), 2);
        prop_assert_eq!(&all[0].body, &body);
        let mut out = Vec::new();
        maplethread_wire::http::write_response(&mut out, 200, "text/plain", &[], &body);
        prop_assert_eq!(&read_in_pieces(Role::Responses, Limits::default(), &out, &[9]).expect("valid message")[0].body, &body);
    }
}
