//! Writes requests and responses.

/// The reason phrase of a status; empty for a status that is not used here.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        410 => "Gone",
        413 => "Content Too Large",
        414 => "URI Too Long",
        415 => "Unsupported Media Type",
        422 => "Unprocessable Content",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "",
    }
}

/// Writes a response with a body of known length.
pub fn write_response(
    out: &mut Vec<u8>,
    status: u16,
    content_type: &str,
    extra_fields: &[(&str, &str)],
    body: &[u8],
) {
    out.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).as_bytes());
    if status != 204 {
        out.extend_from_slice(
            format!(
                "Content-Type: {content_type}\r\nContent-Length: {}\r\n",
                body.len()
            )
            .as_bytes(),
        );
    }
    write_fields(out, extra_fields);
    out.extend_from_slice(body);
}

/// Writes the head of a response whose body follows in chunks.
pub fn write_chunked_head(
    out: &mut Vec<u8>,
    status: u16,
    content_type: &str,
    extra_fields: &[(&str, &str)],
) {
    let reason = reason_phrase(status);
    let head = format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: {content_type}\r\nTransfer-Encoding: chunked\r\nCache-Control: no-store\r\n"
    );
    out.extend_from_slice(head.as_bytes());
    write_fields(out, extra_fields);
}

/// Writes one chunk. An empty chunk ends the body.
pub fn write_chunk(out: &mut Vec<u8>, data: &[u8]) {
    out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

/// Writes a request with a body of known length.
pub fn write_request(
    out: &mut Vec<u8>,
    method: &str,
    target: &str,
    extra_fields: &[(&str, &str)],
    body: &[u8],
) {
    out.extend_from_slice(format!("{method} {target} HTTP/1.1\r\n").as_bytes());
    if !body.is_empty() {
        let fields = format!(
            "Content-Type: application/json\r\nContent-Length: {}\r\n",
            body.len()
        );
        out.extend_from_slice(fields.as_bytes());
    }
    write_fields(out, extra_fields);
    out.extend_from_slice(body);
}

fn write_fields(out: &mut Vec<u8>, fields: &[(&str, &str)]) {
    for (name, value) in fields {
        // A value from outside must not end the line, which would inject further fields.
        let value: String = value.chars().filter(|c| !c.is_control()).collect();
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(b"\r\n");
}
