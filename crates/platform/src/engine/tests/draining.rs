//! Connections on which a host has sent what is invalid.

use maplethread::AttemptOutcome;
use maplethread_platform_wire::host::{DecodeError, MessageHeader};
use maplethread_platform_wire::{Cause, SetupId};

use super::support::*;
use crate::engine::{ConnectionId, InvalidMessage, Output};

const INVALID_DESCRIPTION: DecodeError = DecodeError::InvalidParameter(63);

fn receive_invalid(
    harness: &mut Harness,
    connection: ConnectionId,
    error: DecodeError,
    id: u64,
) -> InvalidMessage {
    let header = MessageHeader {
        id: SetupId(id),
        length: 20,
    };
    harness
        .engine
        .handle_invalid_message(harness.now, connection, error, Some(header))
}

/// A malformed message about task 7.
fn receive_malformed(harness: &mut Harness, connection: ConnectionId) {
    let action = receive_invalid(harness, connection, DecodeError::MalformedParameters, 7);
    assert_eq!(action, InvalidMessage::ConnectionDrained);
}

/// Guards against a good answer that is thrown away with an invalid one under an unknown id ahead of it.
#[test]
fn invalid_answer_for_an_unknown_task_is_skipped() {
    let mut harness = Harness::new();
    let task = harness.request(OWNER_A, 7);
    let connection = harness.offer_and_send(task, 0);
    let action = receive_invalid(&mut harness, connection, INVALID_DESCRIPTION, 999);
    assert_eq!(action, InvalidMessage::Skipped);
    let outputs = harness.host_sends(connection, host_ready(7, "t"));
    assert_eq!(messages_to_owners(&outputs), [(OWNER_A, ready(7, "t"))]);
}

#[test]
fn other_invalid_messages_end_the_attempts_and_drain_the_connection() {
    let errors = [
        (INVALID_DESCRIPTION, 7),
        (DecodeError::MalformedParameters, 999),
        (DecodeError::UnknownType(77), 999),
        (DecodeError::InvalidLength(0), 999),
    ];
    for (error, id) in errors {
        let mut harness = Harness::new();
        let task = harness.request(OWNER_A, 7);
        let connection = harness.offer_and_send(task, 0);
        let action = receive_invalid(&mut harness, connection, error, id);
        assert_eq!(action, InvalidMessage::ConnectionDrained);
        let outputs = harness.turn();
        let position = |is_wanted: &dyn Fn(&Output) -> bool| outputs.iter().position(is_wanted);
        let close = position(&|output| is_sent(output, connection, kind::CLOSE));
        let drain = position(&|output| *output == Output::DrainConnection(connection));
        assert!(close.is_some() && close < drain, "{error:?} {outputs:?}");
        assert_eq!(
            harness.take_attempt_results(),
            [(0, AttemptOutcome::Disconnected, false)]
        );
        // An answer that arrives afterwards is too late.
        let outputs = harness.host_sends(connection, host_ready(7, "t"));
        assert_eq!(messages_to_owners(&outputs), []);
    }
}

/// Guards against releases that a host writes on a connection while the placer closes it (`real_sockets_quick_day_2`).
#[test]
fn release_on_a_connection_that_is_drained_reaches_the_owner() {
    let mut harness = Harness::new();
    let (_, connection) = harness.start_task(7);
    receive_malformed(&mut harness, connection);
    harness.turn();
    let outputs = harness.host_sends(connection, host_close(7, Cause::NORMAL));
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, close(7, Cause::NORMAL))]
    );
    // The host repeats it on the next connection.
    assert_eq!(harness.engine.table_sizes().draining_connections, 1);
    harness.engine.connection_drained(connection);
    let outputs = harness.host_sends(connection, host_close(7, Cause::NORMAL));
    assert_eq!(messages_to_owners(&outputs), []);
    let sizes = harness.engine.table_sizes();
    assert_eq!((sizes.tasks, sizes.draining_connections), (0, 0));
}

#[test]
fn early_result_on_a_connection_that_is_drained_is_kept() {
    let mut harness = Harness::new();
    let (_, connection) = harness.start_task(7);
    receive_malformed(&mut harness, connection);
    harness.host_sends(connection, host_close(8, Cause::RESET));
    let outputs = harness.owner_sends(OWNER_A, request(running_setup(8, "a")));
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, close(8, Cause::RESET))]
    );
}
