use super::*;

const MS: Micros = 1000;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn answer(body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

fn wants(channel: &mut ChannelPoll) -> Vec<Want> {
    std::mem::take(&mut channel.wants)
}

fn asks(wants: &[Want], cursor: u64) -> bool {
    let line = format!("GET /cmd/next?resume={cursor}&block=");
    wants
        .iter()
        .any(|w| matches!(w, Want::Send(bytes) if bytes.starts_with(line.as_bytes())))
}

/// A poll that is out, after event 5.
fn asked() -> ChannelPoll {
    let mut channel = ChannelPoll::new(address(1));
    channel.tick(0);
    assert_eq!(wants(&mut channel), [Want::Connect(address(1))]);
    channel.connection_established(MS, 5);
    assert!(asks(&wants(&mut channel), 5));
    channel
}

#[test]
fn a_poll_follows_each_answer_on_the_same_connection() {
    let mut channel = asked();
    let bytes = answer("{\"cursor\":6,\"cmds\":[{\"cursor\":6}]}");
    let (used, none) = channel.read_response(2 * MS, &bytes[..30]);
    assert_eq!(none, None);
    let (rest, batch) = channel.read_response(3 * MS, &bytes[used..]);
    assert_eq!(
        (used + rest, batch.map(|b| b.cursor)),
        (bytes.len(), Some(6))
    );
    channel.poll_again(3 * MS, 6);
    assert!(asks(&wants(&mut channel), 6));
}

#[test]
fn one_that_breaks_off_mid_event_is_asked_again_at_once_from_the_last_whole_event() {
    let mut channel = asked();
    channel.read_response(
        2 * MS,
        &answer("{\"cursor\":6,\"cmds\":[{\"cursor\":6}]}")[..50],
    );
    channel.connection_lost(3 * MS);
    assert_eq!(channel.next_timeout(), 3 * MS);
    channel.tick(3 * MS);
    assert_eq!(
        wants(&mut channel),
        [Want::Close, Want::Connect(address(1))]
    );
    channel.connection_established(4 * MS, 5);
    assert!(asks(&wants(&mut channel), 5));
    let (_, batch) = channel.read_response(5 * MS, &answer("{\"cursor\":6,\"cmds\":[]}"));
    assert_eq!(batch.map(|b| b.cursor), Some(6));
}

#[test]
fn one_that_falls_silent_is_asked_again_soon_after_its_wait() {
    let mut channel = asked();
    let due = channel.next_timeout();
    assert!(due > BLOCK && due <= 2_000 * MS);
    channel.tick(due);
    assert_eq!(
        wants(&mut channel),
        [Want::Close, Want::Connect(address(1))]
    );
    // A connection that never comes up is not waited for either.
    let due = channel.next_timeout();
    channel.tick(due);
    assert_eq!(
        wants(&mut channel),
        [Want::Close, Want::Connect(address(1))]
    );
}

#[test]
fn answers_that_cannot_be_read_break_it_off_and_a_refusal_is_not_asked_in_a_loop() {
    for bytes in [
        answer("{\"cursor\":"),
        answer("[]"),
        b"HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n".to_vec(),
        vec![0; 40],
    ] {
        let mut channel = asked();
        let (_, batch) = channel.read_response(2 * MS, &bytes);
        assert_eq!((batch, wants(&mut channel)), (None, vec![Want::Close]));
    }
    let mut channel = ChannelPoll::new(address(1));
    channel.tick(0);
    channel.connection_lost(MS);
    assert_eq!(channel.next_timeout(), MS + RETRY_AFTER);
}

#[test]
fn a_new_address_is_asked_at_once_with_the_numbers_continued() {
    let mut channel = asked();
    channel.moved(address(1));
    assert_eq!(wants(&mut channel), []);
    channel.moved(address(2));
    channel.tick(2 * MS);
    assert_eq!(
        wants(&mut channel),
        [Want::Close, Want::Connect(address(2))]
    );
    channel.connection_established(3 * MS, 5);
    assert!(asks(&wants(&mut channel), 5));
}

#[test]
fn a_slow_channel_is_given_more_time_until_its_answer_is_read() {
    let mut channel = asked();
    // Each answer comes 0.7 s after the wait that was asked for.
    let late = BLOCK + 700 * MS;
    let (mut now, mut heard) = (MS, false);
    for _ in 0..4 {
        let answered = now + late;
        if channel.next_timeout() > answered {
            let (_, batch) = channel.read_response(answered, &answer("{\"cursor\":6,\"cmds\":[]}"));
            heard = batch.is_some();
            break;
        }
        // PROTOCOL's days count a silent channel as told 2 s after the wait's end.
        let due = channel.next_timeout();
        assert!(due <= now + BLOCK + 2_000 * MS);
        channel.tick(due);
        assert_eq!(
            wants(&mut channel),
            [Want::Close, Want::Connect(address(1))]
        );
        now = due + MS;
        channel.connection_established(now, 5);
        assert!(asks(&wants(&mut channel), 5));
    }
    assert!(heard);
    // Once it answers it is expected to do so in time again.
    channel.poll_again(now, 6);
    assert!(channel.next_timeout() <= now + BLOCK + SLACK);
}
