//! Tests of the adapter program over its standard input and output.

use std::io::Write;
use std::process::{Command, Stdio};

const SETTINGS: &str = r#"{"allowed":{"maxAttempts":3,"mayCancel":true,"peers":false,"probes":false,"retryAfter":false,"unheardOf":1},
"classes":[{"aimMs":600.0,"effect":"pure","giveUpMs":6000.0,"group":"all","name":"web","windowMs":5000.0,"worth":3.0}],
"domain":{"ack":"accepted","admitCores":1.5,"admitMemory":1.5,"classPriority":[0],"freeBy":"used","freshOffers":86.0,
"kindByClass":[-1],"kindCores":[30],"listsFree":false,"memoryByKind":[86.0],"spreadMost":[4],"spreadOver":["zone"],"startBonusS":[12.0]},
"fees":{"crossZone":0.03},"invariants":{"askWithinMs":10000.0,"coldFrom":0.17,"coldMs":15000.0,"fallMultiple":4.0,"tipAfterMs":3000.0},
"ordinal":1,"peersTotal":3,"registryMode":"ask","reporting":{"fields":[],"how":"silent"},"zone":0,"somethingNew":{}}"#;

fn launch(instance_id: u32) -> String {
    format!(
        r#"["LAUNCH",{instance_id},7,{}]"#,
        SETTINGS.replace('\n', "")
    )
}

/// Runs the adapter on these lines; returns its exit code, standard output and standard error.
fn run_adapter(lines: &[&str]) -> (i32, Vec<String>, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_maplethread-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("start the adapter");
    let mut input = child.stdin.take().expect("standard input is piped");
    // The write fails if the adapter has exited at an invalid line.
    let _ = input.write_all((lines.join("\n") + "\n").as_bytes());
    drop(input);
    let output = child.wait_with_output().expect("wait for the adapter");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("output is UTF-8");
    let out = text(output.stdout).lines().map(str::to_owned).collect();
    (
        output.status.code().expect("an exit code"),
        out,
        text(output.stderr),
    )
}

#[test]
fn empty_batch_is_answered_with_its_number() {
    let (code, out, _) = run_adapter(&[r#"["TURN",8412.25,1]"#, r#"["EOB"]"#]);
    assert_eq!((code, out), (0, vec![r#"["DONE",1]"#.to_owned()]));
}

#[test]
fn task_is_offered_accepted_and_finished() {
    let (code, out, err) = run_adapter(&[
        r#"["TURN",1000,1]"#,
        &launch(3),
        r#"["ROSTER",0,[["10.0.0.1:5003",0,0,0,"Running",12,1,null,3.5],["10.0.0.2:5003",0,0,0,"Stopping"]]]"#,
        r#"["ROSTER_CHANGE",3,"restored",41,0]"#,
        r#"["REQUEST",3,4294967295,1,4569004829183723,2,12.0,8652.25,0,4050608788307276,1.5,0]"#,
        r#"["EOB"]"#,
        r#"["TURN",1010.5,2]"#,
        r#"["SEATED",3,4294967295,"10.0.0.1:5003",10.5,0]"#,
        r#"["INTERIM",3,4294967295,0,"10.0.0.1:5003",1]"#,
        r#"["FINISHED",3,4294967295,"10.0.0.1:5003",18.5,true,0,0,null,null]"#,
        r#"["HANGUP",3,4294967295]"#,
        r#"["EOB"]"#,
    ]);
    assert_eq!((code, err.as_str()), (0, ""));
    assert_eq!(out[0], r#"["LISTEN",3,true]"#);
    assert!(
        out.iter()
            .any(|line| line.starts_with(r#"["CLAIM_ROOM",3,4294967295,"10.0.0.1:5003","#)),
        "{out:?}"
    );
    let timer = out
        .iter()
        .find(|line| line.starts_with(r#"["REMIND",3,7640.25,"#));
    assert!(timer.is_some(), "timer before the deadline: {out:?}");
    assert_eq!(out.last().map(String::as_str), Some(r#"["DONE",2]"#));
}

#[test]
fn reused_roster_number_is_resolved_in_order_within_a_batch() {
    let (code, out, _) = run_adapter(&[
        r#"["TURN",1000,1]"#,
        &launch(1),
        &launch(2),
        r#"["ROSTER",0,[["a:1",0,0,0,"Running"]]]"#,
        r#"["ROSTER_CHANGE",1,"restored",1,0]"#,
        r#"["ROSTER",0,[["b:1",0,0,0,"Running"]]]"#,
        r#"["ROSTER_CHANGE",2,"restored",1,0]"#,
        r#"["REQUEST",1,10,0,1,2,null,8652.25,null,5,1.5,0]"#,
        r#"["REQUEST",2,11,0,1,2,null,8652.25,null,5,1.5,0]"#,
        r#"["EOB"]"#,
    ]);
    assert_eq!(code, 0);
    assert!(
        out.iter()
            .any(|line| line.starts_with(r#"["CLAIM_ROOM",1,10,"a:1","#)),
        "{out:?}"
    );
    assert!(
        out.iter()
            .any(|line| line.starts_with(r#"["CLAIM_ROOM",2,11,"b:1","#)),
        "{out:?}"
    );
}

#[test]
fn restarted_instance_within_a_batch_has_no_earlier_state() {
    let (code, out, _) = run_adapter(&[
        r#"["TURN",1000,1]"#,
        &launch(1),
        r#"["ROSTER",0,[["a:1",0,0,0,"Running"]]]"#,
        r#"["ROSTER_CHANGE",1,"restored",1,0]"#,
        r#"["REQUEST",1,10,0,1,2,null,8652.25,null,5,1.5,0]"#,
        r#"["KILLED",1]"#,
        &launch(1),
        r#"["TIMER",1,0]"#,
        r#"["EOB"]"#,
        r#"["TURN",1001,2]"#,
        r#"["KILLED",1]"#,
        r#"["EOB"]"#,
    ]);
    assert_eq!(code, 0);
    assert_eq!(
        out,
        [r#"["LISTEN",1,true]"#, r#"["DONE",1]"#, r#"["DONE",2]"#]
    );
}

#[test]
fn malformed_input_ends_with_one_error_line_and_no_reply() {
    let cases: [(&[&str], &str); 6] = [
        (&[r#"["TURN",1,1]"#, "not json"], "line 2: "),
        (
            &[r#"["TURN",1,1]"#, r#"["WHAT",1]"#],
            "line 2: message WHAT, field name",
        ),
        (
            &[r#"["TURN",1,1]"#, r#"["TIMER",5,1]"#, r#"["EOB"]"#],
            "a running instance, got 5",
        ),
        (
            &[r#"["TURN","late",1]"#],
            "line 1: message TURN, field clock: expected a number",
        ),
        (&[r#"["TURN",1,1]"#], "ended within a batch"),
        (
            &[r#"["TURN",1,1]"#, r#"["LAUNCH",1,1,{"zone":"a"}]"#],
            "message LAUNCH, field",
        ),
    ];
    for (lines, expected) in cases {
        let (code, out, err) = run_adapter(lines);
        assert_eq!((code, out.len()), (1, 0), "{lines:?}");
        assert!(err.contains(expected), "{err}");
        assert_eq!(err.lines().count(), 1, "{err}");
    }
}

#[test]
fn invalid_settings_break_only_their_instance() {
    let launch = launch(1).replace(r#""peersTotal":3"#, r#""peersTotal":0"#);
    let (code, out, _) = run_adapter(&[r#"["TURN",1,1]"#, &launch, r#"["EOB"]"#]);
    assert_eq!(code, 0);
    assert!(
        out[0].starts_with(r#"["BROKEN",1,"settings: placers"#),
        "{out:?}"
    );
    assert_eq!(out[1], r#"["DONE",1]"#);
}
