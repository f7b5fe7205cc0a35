//! Operator commands against an admin listener whose responses are lost or can't be decoded.

use std::process::Command;
use std::sync::Arc;

use serde_json::{Value, json};
use standin::stack::OPERATOR_KEY;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;

use crate::BINARY;

const SUCCESS: Option<i32> = Some(0);
const OUTCOME_UNKNOWN: Option<i32> = Some(3);

/// What the listener does with an amendment.
#[derive(Debug, Clone, Copy)]
enum AmendBehavior {
    /// Closes the connection without a response.
    Lose,
    /// Responds with 200 and a body that no release sends.
    RespondUndecodable,
    /// Responds with 500.
    Fail,
}

/// Reads a request; returns its first line and body.
async fn read_request(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let text = String::from_utf8_lossy(&head).to_lowercase();
    let length = text
        .lines()
        .find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    let first = text.lines().next().unwrap_or_default().to_owned();
    Some((first, body))
}

async fn respond(stream: &mut TcpStream, status: &str, body: &Value) {
    let body = body.to_string();
    let head = format!(
        "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    // The client may have left.
    drop(stream.write_all(format!("{head}{body}").as_bytes()).await);
}

/// State of the listener, shared by its connections.
struct AdminState {
    behaviors: std::slice::Iter<'static, AmendBehavior>,
    history: Vec<Value>,
}

/// Serves amendments with `behaviors` in turn, on any number of connections: a client may open a new
/// one while an earlier one is idle. The history contains those whose response can't be decoded.
async fn serve_admin(listener: TcpListener, behaviors: &'static [AmendBehavior]) {
    let state = Arc::new(Mutex::new(AdminState {
        behaviors: behaviors.iter(),
        history: Vec::new(),
    }));
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_connection(stream, Arc::clone(&state)));
    }
}

async fn serve_connection(mut stream: TcpStream, state: Arc<Mutex<AdminState>>) {
    while let Some((first, body)) = read_request(&mut stream).await {
        let mut state = state.lock().await;
        if !first.contains("/amend") {
            respond(&mut stream, "200 OK", &json!(state.history)).await;
            continue;
        }
        match state.behaviors.next() {
            Some(AmendBehavior::RespondUndecodable) => {
                let amendment: Value = serde_json::from_slice(&body).expect("valid JSON");
                let token = amendment["token"].as_str().expect("a token");
                state.history.push(json!({
                    "revision": 7, "kind": "drain", "name": amendment["name"],
                    "record": amendment["record"], "operator": "ops",
                    "token": format!("{token}.1"),
                }));
                let unknown = json!({"outcome": "of another release"});
                respond(&mut stream, "200 OK", &unknown).await;
            }
            Some(AmendBehavior::Fail) => {
                respond(&mut stream, "500 Internal Server Error", &json!("broken")).await;
            }
            Some(AmendBehavior::Lose) | None => break,
        }
    }
}

/// Applies one drain record for each behavior; returns the exit code and the error output.
async fn apply_records(name: &str, behaviors: &'static [AmendBehavior]) -> (Option<i32>, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let server = tokio::spawn(serve_admin(listener, behaviors));
    let records: Vec<Value> = (0..behaviors.len())
        .map(|number| {
            let name = format!("rack-{number}");
            json!({"schema": 1, "kind": "drain", "name": name, "spec": {"hosts": ["h00"]}})
        })
        .collect();
    let path = std::env::temp_dir().join(format!("bramleyspring-{}-{name}", std::process::id()));
    std::fs::write(&path, json!(records).to_string()).expect("writable");
    let mut command = Command::new(BINARY);
    command
        .env("BRAMLEYSPRING_NODES", address.to_string())
        .env("BRAMLEYSPRING_KEY", OPERATOR_KEY)
        .arg("apply")
        .arg(&path);
    let output = tokio::task::spawn_blocking(move || command.output());
    let output = output.await.expect("no panic").expect("the client runs");
    server.abort();
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.code(), errors)
}

/// The response to one record is lost, and the next record fails. The operator must still learn that
/// the first may have been applied; an exit code of plain failure says that it was not.
#[tokio::test(flavor = "multi_thread")]
async fn later_error_keeps_unknown() {
    let behaviors = &[AmendBehavior::Lose, AmendBehavior::Fail];
    let (code, errors) = apply_records("unknown", behaviors).await;
    assert_eq!(code, OUTCOME_UNKNOWN, "{errors}");
    assert!(errors.contains("unknown whether"), "{errors}");
    assert!(errors.contains("broken"), "{errors}");
}

/// A node of another release accepts a record with a response that the client can't decode. It must
/// look in the history instead of reporting a refusal, or the operator would apply it twice.
#[tokio::test(flavor = "multi_thread")]
async fn undecodable_response_looked_up() {
    let behaviors = &[AmendBehavior::RespondUndecodable];
    let (code, errors) = apply_records("undecodable", behaviors).await;
    assert_eq!(code, SUCCESS, "{errors}");
}
