//! The list of instances that `status` shows, as an instance answers it.

use proof::process;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task::spawn_blocking,
};

/// What an instance says of three others: one of a later build, one whose heartbeats don't name
/// their build, and one from which nothing was received.
fn status() -> Value {
    let instance = |is_heard: bool| {
        json!({
            "domain": "d", "version": 7, "is_heard": is_heard, "is_leaving": false,
            "is_listed": true, "is_gone": false,
        })
    };
    let mut later = instance(true);
    later["format"] = 9.into();
    later["build"] = "0.2.0".into();
    let mut unnamed = instance(true);
    unnamed["format"] = 2.into();
    unnamed["build"] = "".into();
    json!({
        "flags": [], "instance": "i0", "version": 7, "standing": "fresh", "targets": {},
        "workspaces": {},
        "instances": { "i1": later, "i2": unnamed, "i3": instance(false) },
    })
}

/// Answers one request with the status of an instance, and returns what the command prints.
async fn run_status(args: &[&str]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let served = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.unwrap());
        }
        let body = status().to_string();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes()).await.unwrap();
    });
    let mut all = vec!["--operator".to_owned(), addr];
    all.extend(args.iter().map(|arg| (*arg).to_owned()));
    let run = move || {
        let args: Vec<&str> = all.iter().map(String::as_str).collect();
        process::run("godwitgauge", &args)
    };
    let output = spawn_blocking(run).await.unwrap();
    served.await.unwrap();
    String::from_utf8(output.stdout).unwrap()
}

/// Guards against an upgrade in which operators could not see which instances are replaced: the
/// command dropped build and format.
#[tokio::test]
async fn status_shows_builds() {
    let text = run_status(&["status"]).await;
    assert!(
        text.contains("i1\tversion 7\tbuild 0.2.0, format 9\theard"),
        "{text}"
    );
    assert!(
        text.contains("i2\tversion 7\tbuild unknown, format 2\theard"),
        "{text}"
    );
    assert!(
        text.contains("i3\tversion 7\tbuild unknown\tnot heard"),
        "{text}"
    );
    let text = run_status(&["--output", "json", "status"]).await;
    let printed: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(printed["instances"]["i1"]["format"], 9, "{text}");
    assert_eq!(printed["instances"]["i1"]["build"], "0.2.0", "{text}");
}
