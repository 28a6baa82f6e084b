use super::*;

const MS: Micros = 1000;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn ok_response(body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

fn take_actions(channel: &mut ChannelPoll) -> Vec<ChannelAction> {
    std::mem::take(&mut channel.actions)
}

fn sends_poll(actions: &[ChannelAction], cursor: u64) -> bool {
    let line = format!("GET /cmd/next?resume={cursor}&block=");
    actions.iter().any(
        |action| matches!(action, ChannelAction::Send(bytes) if bytes.starts_with(line.as_bytes())),
    )
}

/// A channel with a poll in flight for the events after event 5.
fn polling_channel() -> ChannelPoll {
    let mut channel = ChannelPoll::new(address(1));
    channel.handle_timeout(0);
    assert_eq!(
        take_actions(&mut channel),
        [ChannelAction::Connect(address(1))]
    );
    channel.connection_established(MS, 5);
    assert!(sends_poll(&take_actions(&mut channel), 5));
    channel
}

#[test]
fn sends_next_poll_on_the_same_connection_after_a_response() {
    let mut channel = polling_channel();
    let bytes = ok_response("{\"cursor\":6,\"cmds\":[{\"cursor\":6}]}");
    let (used, first_batch) = channel.read_response(2 * MS, &bytes[..30]);
    assert_eq!(first_batch, None);
    let (used_of_rest, batch) = channel.read_response(3 * MS, &bytes[used..]);
    assert_eq!(
        (used + used_of_rest, batch.map(|b| b.cursor)),
        (bytes.len(), Some(6))
    );
    channel.poll_again(3 * MS, 6);
    assert!(sends_poll(&take_actions(&mut channel), 6));
}

#[test]
fn polls_again_from_the_last_applied_event_when_the_connection_breaks_mid_response() {
    let mut channel = polling_channel();
    channel.read_response(
        2 * MS,
        &ok_response("{\"cursor\":6,\"cmds\":[{\"cursor\":6}]}")[..50],
    );
    channel.connection_lost(3 * MS);
    assert_eq!(channel.next_timeout(), 3 * MS);
    channel.handle_timeout(3 * MS);
    assert_eq!(
        take_actions(&mut channel),
        [ChannelAction::Close, ChannelAction::Connect(address(1))]
    );
    channel.connection_established(4 * MS, 5);
    assert!(sends_poll(&take_actions(&mut channel), 5));
    let (_, batch) = channel.read_response(5 * MS, &ok_response("{\"cursor\":6,\"cmds\":[]}"));
    assert_eq!(batch.map(|b| b.cursor), Some(6));
}

#[test]
fn reconnects_when_the_channel_does_not_respond_after_its_wait() {
    let mut channel = polling_channel();
    let due = channel.next_timeout();
    assert!(due > LONG_POLL_WAIT && due <= 2_000 * MS);
    channel.handle_timeout(due);
    assert_eq!(
        take_actions(&mut channel),
        [ChannelAction::Close, ChannelAction::Connect(address(1))]
    );
    // A connect that does not complete times out too.
    let due = channel.next_timeout();
    channel.handle_timeout(due);
    assert_eq!(
        take_actions(&mut channel),
        [ChannelAction::Close, ChannelAction::Connect(address(1))]
    );
}

#[test]
fn closes_connection_on_an_invalid_response_and_delays_retry_after_a_failed_connect() {
    for bytes in [
        ok_response("{\"cursor\":"),
        ok_response("[]"),
        b"HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n".to_vec(),
        vec![0; 40],
    ] {
        let mut channel = polling_channel();
        let (_, batch) = channel.read_response(2 * MS, &bytes);
        assert_eq!(
            (batch, take_actions(&mut channel)),
            (None, vec![ChannelAction::Close])
        );
    }
    let mut channel = ChannelPoll::new(address(1));
    channel.handle_timeout(0);
    channel.connection_lost(MS);
    assert_eq!(channel.next_timeout(), MS + RETRY_DELAY);
}

#[test]
fn polls_a_new_address_at_once_from_the_same_cursor() {
    let mut channel = polling_channel();
    channel.set_address(address(1));
    assert_eq!(take_actions(&mut channel), []);
    channel.set_address(address(2));
    channel.handle_timeout(2 * MS);
    assert_eq!(
        take_actions(&mut channel),
        [ChannelAction::Close, ChannelAction::Connect(address(2))]
    );
    channel.connection_established(3 * MS, 5);
    assert!(sends_poll(&take_actions(&mut channel), 5));
}

#[test]
fn extends_timeouts_of_a_slow_channel_until_it_responds() {
    let mut channel = polling_channel();
    // Each response arrives 0.7 s after the end of the requested wait.
    let response_delay = LONG_POLL_WAIT + 700 * MS;
    let (mut now, mut has_response) = (MS, false);
    for _ in 0..4 {
        let responded_at = now + response_delay;
        if channel.next_timeout() > responded_at {
            let (_, batch) =
                channel.read_response(responded_at, &ok_response("{\"cursor\":6,\"cmds\":[]}"));
            has_response = batch.is_some();
            break;
        }
        // The platform's acceptance test requires that a channel that does not respond is detected within 2 s of the end of
        // the wait.
        let due = channel.next_timeout();
        assert!(due <= now + LONG_POLL_WAIT + 2_000 * MS);
        channel.handle_timeout(due);
        assert_eq!(
            take_actions(&mut channel),
            [ChannelAction::Close, ChannelAction::Connect(address(1))]
        );
        now = due + MS;
        channel.connection_established(now, 5);
        assert!(sends_poll(&take_actions(&mut channel), 5));
    }
    assert!(has_response);
    // After a response the timeouts are no longer extended.
    channel.poll_again(now, 6);
    assert!(channel.next_timeout() <= now + LONG_POLL_WAIT + RESPONSE_SLACK);
}
