//! The command line and the subcommands that need no fleet.

mod support;

use {
    std::{
        fs::File,
        io::{self, Read, Write},
        net::TcpListener,
        process::{Command, Output, Stdio},
        thread::{self, JoinHandle},
    },
    support::{BINARY, Test},
    tokio::net::TcpSocket,
};

const HEAD_END: &[u8] = b"\r\n\r\n";

#[test]
fn help_lists_every_subcommand_and_examples() {
    let output = Test::new().args(["--help"]).stdout_has("Examples:").run();
    for subcommand in ["check", "dump", "fake", "keys", "serve", "ticket"] {
        let found = output
            .stdout
            .lines()
            .any(|line| line.trim_start().starts_with(subcommand));
        assert!(found, "help lacks {subcommand}:\n{}", output.stdout);
    }
}

#[test]
fn a_command_line_without_a_subcommand_prints_help_and_fails() {
    Test::new().stderr_has("Usage: trestlewalk").status(2).run();
}

#[test]
fn an_unknown_subcommand_is_a_usage_fault() {
    Test::new()
        .args(["serf"])
        .stderr_has("unrecognized subcommand 'serf'")
        .status(2)
        .run();
}

#[test]
fn a_standard_output_that_nobody_reads_is_no_fault() {
    let (reader, writer) = io::pipe().unwrap();
    drop(reader);
    let output = check_example(writer.into());
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

#[test]
fn a_standard_output_that_takes_nothing_is_told() {
    let output = check_example(File::create("/dev/full").unwrap().into());
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(
        stderr.starts_with("standard output: can't write the file: "),
        "{stderr}"
    );
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn keys_makes_a_certificate_and_a_key_for_each_instance() {
    let output = Test::new()
        .args([
            "keys",
            "--out",
            "keys",
            "--instance",
            "a",
            "--instance",
            "b",
        ])
        .run();
    for file in ["authority.pem", "a.pem", "a.key", "b.pem", "b.key"] {
        let text = output.read_file(&format!("keys/{file}"));
        assert!(text.starts_with("-----BEGIN "), "{file}: {text}");
    }
}

#[test]
fn keys_without_an_instance_is_a_usage_fault() {
    Test::new()
        .args(["keys", "--out", "keys"])
        .stderr_has("--instance <NAME>")
        .status(2)
        .run();
}

#[test]
fn dump_of_a_dead_address_says_so() {
    let (address, _socket) = dead_address();
    Test::new()
        .args(["dump", &address])
        .stderr_has(&format!("{address} gave no dump: "))
        .stderr_has("error 5007: the process gave no dump")
        .status(57)
        .run();
}

#[test]
fn dump_of_what_is_no_instance_says_so() {
    let (address, server) = answer_once("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc");
    Test::new()
        .args(["dump", &address])
        .stderr_has("its answer is not JSON")
        .status(57)
        .run();
    server.join().unwrap();
}

#[test]
fn mint_prints_the_ticket_alone() {
    let body = r#"{"ticket": "t-1", "expires_in_ms": 1000}"#;
    let (address, server) = answer_once(&whole_answer("201 Created", 1000, body));
    Test::new()
        .args(["ticket", "mint", &address, "--expires", "2min"])
        .stdout("t-1\n")
        .run();
    let request = server.join().unwrap();
    assert!(
        request.starts_with("POST /v1/tickets HTTP/1.1"),
        "{request}"
    );
    assert!(request.ends_with("{\"expires_in_ms\":120000}"), "{request}");
}

#[test]
fn use_sends_the_ticket_and_prints_the_answer() {
    let (address, server) = answer_once(&whole_answer("200 OK", 1000, "slot kept"));
    Test::new()
        .file("body.json", "{}")
        .args(["ticket", "use", &address, "--ticket", "t-1"])
        .args(["--path", "/services/booking-app/confirm"])
        .args(["--body", "body.json"])
        .stdout("slot kept")
        .run();
    let request = server.join().unwrap();
    let first_line = "POST /services/booking-app/confirm HTTP/1.1";
    assert!(request.starts_with(first_line), "{request}");
    assert!(request.contains("trestlewalk-ticket: t-1"), "{request}");
}

#[test]
fn a_used_ticket_ends_with_its_own_exit_code() {
    let (address, server) = answer_once(&whole_answer("409 Conflict", 4003, "{}"));
    Test::new()
        .args(["ticket", "use", &address, "--ticket", "t-1"])
        .stderr_has("error 4003: not run again: the ticket was used before")
        .status(43)
        .run();
    server.join().unwrap();
}

#[test]
fn a_refused_request_ends_as_not_run() {
    let (address, server) = answer_once(&whole_answer("429 Too Many Requests", 2005, "{}"));
    Test::new()
        .args(["ticket", "use", &address, "--ticket", "t-1"])
        .stderr_has("error 2005: not run")
        .status(20)
        .run();
    server.join().unwrap();
}

#[test]
fn an_answer_that_ends_early_leaves_the_outcome_unknown() {
    let (address, server) = answer_once("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf");
    Test::new()
        .args(["ticket", "use", &address, "--ticket", "t-1"])
        .stderr_has("error 3003: outcome unknown")
        .status(30)
        .run();
    server.join().unwrap();
}

#[test]
fn a_connection_that_ends_without_an_answer_leaves_the_outcome_unknown() {
    let (address, server) = answer_once("");
    Test::new()
        .args(["ticket", "use", &address, "--ticket", "t-1"])
        .stderr_has("error 3001: outcome unknown")
        .status(30)
        .run();
    server.join().unwrap();
}

#[test]
fn a_request_that_was_never_sent_ends_as_not_run() {
    let (address, _socket) = dead_address();
    Test::new()
        .args(["ticket", "use", &address, "--ticket", "t-1"])
        .stderr_has("error 2004: not run")
        .status(20)
        .run();
}

#[test]
fn a_stand_in_with_faulty_settings_does_not_start() {
    Test::new()
        .args(["fake", "platform", "--set", "list_lag=1"])
        .stderr_has("--set: list_lag: unknown field `list_lag`")
        .status(51)
        .run();
}

/// Serves one connection: reads a request and sends `answer`. Joining the thread returns the request.
fn answer_once(answer: &str) -> (String, JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let answer = answer.to_owned();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = Vec::new();
        let mut byte = [0];
        while !request.ends_with(HEAD_END) && stream.read(&mut byte).unwrap() == 1 {
            request.push(byte[0]);
        }
        let mut body = vec![0; body_length(&request)];
        stream.read_exact(&mut body).unwrap();
        stream.write_all(answer.as_bytes()).unwrap();
        request.extend(body);
        String::from_utf8(request).unwrap()
    });
    (address, server)
}

fn body_length(head: &[u8]) -> usize {
    let head = String::from_utf8_lossy(head).to_lowercase();
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length:"));
    length.map_or(0, |length| length.trim().parse().unwrap())
}

fn check_example(stdout: Stdio) -> Output {
    Command::new(BINARY)
        .args(["check", "../../settings/gijon-1.yaml"])
        .stdout(stdout)
        .stderr(Stdio::piped())
        .output()
        .unwrap()
}

/// A loopback address on which nothing listens, and the socket that keeps parallel tests from its port.
fn dead_address() -> (String, TcpSocket) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    (socket.local_addr().unwrap().to_string(), socket)
}

fn whole_answer(status: &str, code: u16, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\ntrestlewalk-result: {code}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}
