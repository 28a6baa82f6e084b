use maplethread::{Action, AttemptId, BlockReason, TaskId};
use maplethread_platform_settings::HostNames;

use super::{encode, hex};

#[test]
fn every_action_is_encoded_as_its_line() {
    let mut hosts = HostNames::default();
    let machine = hosts.id_or_assign("a:1");
    let id = AttemptId {
        task: TaskId(9),
        number: 2,
    };
    let cases = [
        (
            Action::Offer {
                task: TaskId(9),
                machine,
                timeout: 80_500,
            },
            r#"["CLAIM_ROOM",3,9,"a:1",80.5]"#,
        ),
        (Action::Cancel(id), r#"["CANCEL",3,9,2]"#),
        (
            Action::Reject {
                task: TaskId(9),
                retry_after: None,
            },
            r#"["NOT_NOW",3,9,0.0]"#,
        ),
        (
            Action::Reject {
                task: TaskId(9),
                retry_after: Some(1_500),
            },
            r#"["NOT_NOW",3,9,1.5]"#,
        ),
        (Action::Fail(TaskId(9)), r#"["DROP_REQUEST",3,9]"#),
        (Action::Migrate(TaskId(9)), r#"["RELOCATE",3,9]"#),
        (
            Action::SetTimer {
                after: 500_000,
                label: 77,
            },
            r#"["REMIND",3,500.0,77]"#,
        ),
        (Action::Probe(machine), r#"["TEST",3,"a:1"]"#),
        (
            Action::CloseIdleConnections(machine),
            r#"["CLOSE_IDLE",3,"a:1"]"#,
        ),
        (
            Action::SendToPeer {
                to: Some(1),
                bytes: vec![0x68, 0x0a],
            },
            r#"["PUBLISH",3,1,"680a"]"#,
        ),
        (
            Action::SendToPeer {
                to: None,
                bytes: vec![],
            },
            r#"["PUBLISH",3,"*",""]"#,
        ),
        (
            Action::WatchEndpoints { enabled: false },
            r#"["LISTEN",3,false]"#,
        ),
        (Action::FetchEndpoints, r#"["LOOKUP",3]"#),
        (
            Action::Log("two \"known\"".into()),
            r#"["PRINT",3,"two \"known\""]"#,
        ),
        (
            Action::Blocked {
                task: TaskId(9),
                reason: BlockReason::NoCapacity,
            },
            "",
        ),
    ];
    for (action, line) in cases {
        let mut out = String::new();
        encode(&mut out, 3, &action, &hosts);
        assert_eq!(out.trim_end(), line);
        assert_eq!(out.ends_with('\n'), !line.is_empty());
    }
}

#[test]
fn hex_round_trips_and_odd_lengths_or_invalid_digits_are_rejected() {
    assert_eq!(hex::decode("00ff68").as_deref(), Some(&[0, 255, 0x68][..]));
    assert_eq!(hex::encode(&[0, 255, 0x68]), "00ff68");
    assert_eq!((hex::decode("0"), hex::decode("zz")), (None, None));
}
