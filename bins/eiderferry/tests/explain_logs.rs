//! Output of `eiderferry explain-logs` for the logs of one or more nodes.

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

const NODE_A: &str = r#"{"timestamp":"2026-12-02T10:00:00.000000+00:00","level":"INFO","kvs":{"event":"started","node":"edge-a","zone":"z"}}
{"timestamp":"2026-12-02T10:00:05.100000+00:00","level":"INFO","kvs":{"attempt":1,"back_end":"i-1","event":"granted","request":"abc","expected_ms":12}}
{"timestamp":"2026-12-02T10:00:05.180000+00:00","level":"WARN","kvs":{"attempt":1,"back_end":"i-1","event":"attempt_failed","outcome":"broken","request":"abc"}}
{"timestamp":"2026-12-02T10:00:05.181000+00:00","level":"WARN","kvs":{"after":"broken","back_end":"i-1","event":"back_end_ejected","for_ms":1000}}
{"timestamp":"2026-12-02T10:00:05.182000+00:00","level":"WARN","kvs":{"elapsed_ms":82,"event":"answered_here","reason":"answer_lost","request":"abc","status":502,"verdict":"may_have_run"}}
{"timestamp":"2026-12-02T10:00:05.190000+00:00","level":"INFO","kvs":{"event":"granted","request":"other","back_end":"i-1"}}
"#;

fn write_log(name: &str, contents: &str) -> PathBuf {
    let name = format!("eiderferry-{}-{name}.log", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, contents).expect("the temporary directory is writable");
    path
}

fn command(request: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_eiderferry"));
    command.args(["explain-logs", request]);
    command
}

fn stdout_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[test]
fn timeline_includes_lines_of_the_request_and_of_its_back_ends() {
    let path = write_log("a", NODE_A);
    let output = command("abc")
        .arg(path)
        .output()
        .expect("the program starts");
    assert!(output.status.success());
    let output_text = stdout_text(&output);
    assert!(output_text.contains("edge-a"), "{output_text}");
    assert!(output_text.contains("back_end_ejected"), "{output_text}");
    assert!(!output_text.contains("other"), "{output_text}");
    let cause = "cause: answered here with 502 because of answer_lost; may_have_run, \
                 after: i-1 broken";
    assert!(output_text.contains(cause), "{output_text}");
}

const REPLICA_TAKEOVER: &str = r#"{"timestamp":"2026-12-02T10:00:05.100000+00:00","level":"INFO","kvs":{"attempt":1,"back_end":"i-1","event":"granted","request":"run","replica_at":"i-2"}}
{"timestamp":"2026-12-02T10:00:05.180000+00:00","level":"WARN","kvs":{"attempt":1,"back_end":"i-1","event":"attempt_failed","outcome":"broken","request":"run"}}
{"timestamp":"2026-12-02T10:00:05.191000+00:00","level":"WARN","kvs":{"after_event":7,"back_end":"i-2","event":"taken_over","request":"run","waited_ms":11}}
{"timestamp":"2026-12-02T10:00:06.000000+00:00","level":"INFO","kvs":{"attempts":2,"elapsed_ms":900,"event":"ended","how":"whole","request":"run","status":200}}
"#;

#[test]
fn cause_names_each_back_end_that_the_request_ran_on() {
    let path = write_log("over", REPLICA_TAKEOVER);
    let output = command("run")
        .arg(path)
        .output()
        .expect("the program starts");
    let output_text = stdout_text(&output);
    let cause = "cause: ended whole with status 200, after: i-1 broken, continued from its \
                 replica at i-2 after event 7";
    assert!(output_text.contains(cause), "{output_text}");
    assert!(output_text.contains("replica_at=i-2"), "{output_text}");
}

#[test]
fn lines_of_several_nodes_are_sorted_by_time() {
    let late = NODE_A
        .replace("edge-a", "edge-b")
        .replace("10:00:05", "10:00:07");
    let (late_log, early_log) = (write_log("late", &late), write_log("early", NODE_A));
    let output = command("abc")
        .args([late_log, early_log])
        .output()
        .expect("the program starts");
    let output_text = stdout_text(&output);
    let position = |name: &str| output_text.find(name).expect("the node is listed");
    assert!(position("edge-a") < position("edge-b"), "{output_text}");
}

#[test]
fn standard_input_lines_may_have_a_prefix_before_the_json() {
    let mut child = command("abc")
        .arg("-")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut input = child.stdin.take().expect("standard input is piped");
    for line in NODE_A.lines() {
        writeln!(input, "  12.5 edge-c {line}").expect("standard input is piped");
    }
    drop(input);
    let output_text = stdout_text(&child.wait_with_output().expect("the program exits"));
    assert!(output_text.contains("edge-c"), "{output_text}");
}

#[test]
fn request_without_log_lines_exits_with_not_found() {
    let path = write_log("none", NODE_A);
    let output = command("nowhere")
        .arg(path)
        .output()
        .expect("the program starts");
    assert_eq!(output.status.code(), Some(6));
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(message.contains("nowhere"), "{message}");
}

#[test]
fn unreadable_log_file_is_named_in_the_error() {
    let output = command("abc")
        .arg("/nowhere/x.log")
        .output()
        .expect("the program starts");
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(message.contains("/nowhere/x.log"), "{message}");
}

const CRASHES_ON_NODE_B: &str = r#"{"timestamp":"2026-12-02T10:00:01.000000+00:00","level":"INFO","kvs":{"event":"started","node":"edge-b","zone":"z"}}
{"timestamp":"2026-12-02T10:00:05.180000+00:00","level":"WARN","kvs":{"back_end":"i-1","connection":"refused","digest":"00ab","event":"crashed_run","request":"first"}}
{"timestamp":"2026-12-02T10:00:06.180000+00:00","level":"WARN","kvs":{"back_end":"i-2","connection":"refused","digest":"00ab","event":"crashed_run","request":"second"}}
{"timestamp":"2026-12-02T10:00:06.280000+00:00","level":"WARN","kvs":{"back_end":"i-9","connection":"refused","digest":"00cd","event":"crashed_run","request":"another"}}
{"timestamp":"2026-12-02T10:00:07.180000+00:00","level":"WARN","kvs":{"crashes":3,"digest":"00ab","event":"request_quarantined","for_ms":600000,"source":"own"}}
"#;
const REFUSAL_ON_NODE_A: &str = r#"{"timestamp":"2026-12-02T10:00:01.000000+00:00","level":"INFO","kvs":{"event":"started","node":"edge-a","zone":"z"}}
{"timestamp":"2026-12-02T10:02:00.000000+00:00","level":"WARN","kvs":{"event":"not_granted","reason":"crashes_back_ends","request":"late","retry_after_ms":480000}}
{"timestamp":"2026-12-02T10:02:00.001000+00:00","level":"WARN","kvs":{"digest":"00ab","elapsed_ms":1,"event":"answered_here","reason":"crashes_back_ends","request":"late","status":500,"verdict":"not_run"}}
"#;

#[test]
fn cause_of_a_quarantined_request_names_back_ends_and_requests_that_crashed() {
    let (refusal_log, crash_log) = (
        write_log("refused", REFUSAL_ON_NODE_A),
        write_log("crashes", CRASHES_ON_NODE_B),
    );
    let output = command("late")
        .args([refusal_log, crash_log])
        .output()
        .expect("the program starts");
    let output_text = stdout_text(&output);
    let cause = "cause: answered here with 500 because of crashes_back_ends; not_run; back ends \
                 crashed under it: i-1 (request first), i-2 (request second)";
    assert!(output_text.contains(cause), "{output_text}");
    assert!(output_text.contains("request_quarantined"), "{output_text}");
    assert!(!output_text.contains("i-9"), "{output_text}");
}

const STREAM_OF_THREE_REQUESTS: &str = r#"{"timestamp":"2026-12-02T10:00:05.100000+00:00","level":"INFO","kvs":{"attempt":1,"back_end":"i-1","event":"granted","request":"first","version":"v1"}}
{"timestamp":"2026-12-02T10:00:05.180000+00:00","level":"WARN","kvs":{"elapsed_ms":80,"event":"ended","how":"broken_off","request":"first","status":200,"attempts":1}}
{"timestamp":"2026-12-02T10:00:05.300000+00:00","level":"INFO","kvs":{"after_event":3,"event":"stream_resumption","pool":"","request":"second","first_request":"first","source":"unanswered","version":""}}
{"timestamp":"2026-12-02T10:00:05.301000+00:00","level":"WARN","kvs":{"elapsed_ms":301,"event":"answered_here","reason":"stream_version_unknown","request":"second","status":503,"verdict":"not_run"}}
{"timestamp":"2026-12-02T10:00:05.700000+00:00","level":"INFO","kvs":{"after_event":3,"event":"stream_resumption","pool":"p","request":"third","first_request":"first","source":"10.1.0.4:7340","version":"v1"}}
{"timestamp":"2026-12-02T10:00:05.701000+00:00","level":"INFO","kvs":{"attempt":1,"back_end":"i-2","event":"granted","request":"third","version":"v1"}}
{"timestamp":"2026-12-02T10:00:06.000000+00:00","level":"INFO","kvs":{"attempts":1,"elapsed_ms":300,"event":"ended","how":"whole","request":"third","status":200}}
{"timestamp":"2026-12-02T10:00:06.100000+00:00","level":"INFO","kvs":{"after_event":1,"event":"stream_resumption","pool":"p","request":"stranger","first_request":"another","source":"own_record","version":"v2"}}
"#;

#[test]
fn the_timeline_covers_all_requests_for_the_same_stream() {
    let path = write_log("stream", STREAM_OF_THREE_REQUESTS);
    let explain = |request: &str| {
        let output = command(request).arg(&path).output();
        stdout_text(&output.expect("the program starts"))
    };
    for request in ["first", "second", "third"] {
        let text = explain(request);
        for part in ["broken_off", "stream_version_unknown", "i-2", "version=v1"] {
            assert!(text.contains(part), "{request}: {part} in {text}");
        }
        assert!(!text.contains("stranger"), "{text}");
    }
    let cause = "cause: answered here with 503 because of stream_version_unknown; not_run, after: \
                 taking up the stream of first after event 3; its version is unknown, as some \
                 nodes asked did not answer";
    let text = explain("second");
    assert!(text.contains(cause), "{text}");
    let cause = "cause: ended whole with status 200, after: taking up the stream of first after \
                 event 3; its version v1 is known from 10.1.0.4:7340";
    let text = explain("third");
    assert!(text.contains(cause), "{text}");
}

const PART_CRASHES: &str = r#"
{"timestamp":"2026-12-02T10:00:05.180000+00:00","level":"WARN","kvs":{"back_end":"i-1","connection":"refused","digest":"00a1","event":"crashed_run","parts":"a1,bad","request":"first"}}
{"timestamp":"2026-12-02T10:00:06.180000+00:00","level":"WARN","kvs":{"back_end":"i-2","connection":"refused","digest":"00a2","event":"crashed_run","parts":"bad,c7","request":"second"}}
{"timestamp":"2026-12-02T10:00:06.280000+00:00","level":"WARN","kvs":{"back_end":"i-2","connection":"refused","digest":"00a3","event":"crashed_run","parts":"a1","request":"beside"}}
{"timestamp":"2026-12-02T10:00:07.180000+00:00","level":"WARN","kvs":{"callers":"one","crashes":3,"event":"part_quarantined","for_ms":600000,"parts":"bad","source":"own"}}
"#;

const PART_REFUSAL: &str = r#"
{"timestamp":"2026-12-02T10:02:00.001000+00:00","level":"WARN","kvs":{"digest":"00a9","elapsed_ms":1,"event":"answered_here","parts":"bad","reason":"crashes_back_ends","request":"late","status":500,"verdict":"not_run"}}
"#;

#[test]
fn cause_of_a_request_with_a_quarantined_prompt_part_names_the_part_and_its_crashes() {
    let (refusal_log, crash_log) = (
        write_log("part-refusal", PART_REFUSAL),
        write_log("part-crashes", PART_CRASHES),
    );
    let output = command("late")
        .args([refusal_log, crash_log])
        .output()
        .expect("the program runs");
    let text = stdout_text(&output);
    let cause = "cause: answered here with 500 because of crashes_back_ends; not_run; prompt part bad \
                 is refused; back ends crashed under it: i-1 (request first), i-2 (request second)";
    assert!(text.contains(cause), "{text}");
    assert!(text.contains("part_quarantined"), "{text}");
    assert!(!text.contains("beside"), "{text}");
}
