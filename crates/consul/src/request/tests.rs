//! Targets, escaping and headers of requests.

use super::*;

#[test]
fn escapes_target_and_header_values() {
    let target = RequestTarget::new("/v1/kv/a")
        .with_param("filter", "Meta.zone == \"a b\"")
        .with_consistency(Consistency::Stale)
        .with_optional_param("dc", None);
    let text =
        String::from_utf8(target.to_request("GET", "me", Some("t\r\nX: y"), b"")).expect("text");
    assert!(
        text.starts_with("GET /v1/kv/a?filter=Meta.zone%20%3D%3D%20%22a%20b%22&stale HTTP/1.1\r\n"),
        "{text}"
    );
    assert!(
        text.contains("X-Consul-Token: tX: y\r\n"),
        "a token can't add a header line: {text}"
    );
}
