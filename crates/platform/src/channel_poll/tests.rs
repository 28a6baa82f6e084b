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

fn sends_poll(wants: &[ChannelAction], cursor: u64) -> bool {
    let line = format!("GET /cmd/next?resume={cursor}&block=");
    wants
        .iter()
        .any(|w| matches!(w, ChannelAction::Send(bytes) if bytes.starts_with(line.as_bytes())))
}

/// A poll that is out, after event 5.
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
fn sends_next_poll_on_the_same_connection_after_an_answer() {
    let mut channel = polling_channel();
    let bytes = ok_response("{\"cursor\":6,\"cmds\":[{\"cursor\":6}]}");
    let (used, none) = channel.read_response(2 * MS, &bytes[..30]);
    assert_eq!(none, None);
    let (rest, batch) = channel.read_response(3 * MS, &bytes[used..]);
    assert_eq!(
        (used + rest, batch.map(|b| b.cursor)),
        (bytes.len(), Some(6))
    );
    channel.poll_again(3 * MS, 6);
    assert!(sends_poll(&take_actions(&mut channel), 6));
}

#[test]
fn polls_again_from_last_whole_event_when_connection_breaks_mid_answer() {
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
fn reconnects_when_channel_is_silent_beyond_its_wait() {
    let mut channel = polling_channel();
    let due = channel.next_timeout();
    assert!(due > LONG_POLL_WAIT && due <= 2_000 * MS);
    channel.handle_timeout(due);
    assert_eq!(
        take_actions(&mut channel),
        [ChannelAction::Close, ChannelAction::Connect(address(1))]
    );
    // A connection that never comes up is not waited for either.
    let due = channel.next_timeout();
    channel.handle_timeout(due);
    assert_eq!(
        take_actions(&mut channel),
        [ChannelAction::Close, ChannelAction::Connect(address(1))]
    );
}

#[test]
fn closes_connection_on_unreadable_answer_and_delays_retry_after_refusal() {
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
fn allows_a_slow_channel_more_time_until_its_answer_is_read() {
    let mut channel = polling_channel();
    // Each answer comes 0.7 s after the wait that was asked for.
    let late = LONG_POLL_WAIT + 700 * MS;
    let (mut now, mut heard) = (MS, false);
    for _ in 0..4 {
        let answered = now + late;
        if channel.next_timeout() > answered {
            let (_, batch) =
                channel.read_response(answered, &ok_response("{\"cursor\":6,\"cmds\":[]}"));
            heard = batch.is_some();
            break;
        }
        // PROTOCOL's days count a silent channel as told 2 s after the wait's end.
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
    assert!(heard);
    // Once it answers it is expected to do so in time again.
    channel.poll_again(now, 6);
    assert!(channel.next_timeout() <= now + LONG_POLL_WAIT + RESPONSE_SLACK);
}
