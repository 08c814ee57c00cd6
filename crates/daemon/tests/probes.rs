//! Health endpoints of targets, and answers of theirs that are none.

use std::{sync::Arc, time::Duration};

use base::{Service, Target};
use daemon::probes;
use dispatch::HealthReport;
use entry::{message::Event, view::View};
use rstest::rstest;
use standin::config::service;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    sync::{mpsc, watch},
    time::timeout,
};

/// Time within which a sound health endpoint must have been reported, and one that misses probes as well.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Guards against a target in trouble that counts as sound by an answer whose status the protocol doesn't have.
#[rstest]
#[case::sound("200", true)]
#[case::zeros("000", false)]
#[case::upgrade("101", false)]
#[case::just_above_599("600", false)]
#[case::highest("999", false)]
#[tokio::test]
async fn probe_takes_answers_of_the_protocol_only(#[case] status: &str, #[case] is_sound: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let target = Target {
        addr: listener.local_addr().unwrap(),
        ..standin::config::target("d", None)
    };
    let service = Service {
        targets: [("t".into(), target)].into(),
        ..service(1, 1_000)
    };
    let mut config = standin::config::config([("d", "r")]);
    config.services.insert("s".into(), service);
    let view = View {
        config: Some((1, Arc::new(config))),
        ..View::default()
    };
    let body = r#"{"in_flight":3}"#;
    let answer = format!(
        "HTTP/1.1 {status} Status\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4_096]).await;
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    let (_view, view) = watch::channel(Arc::new(view));
    let (events, mut rx) = mpsc::unbounded_channel();
    tokio::spawn(probes::run(view, events));
    let event = timeout(MAX_WAIT, rx.recv()).await.unwrap();
    let Some(Event::TargetHealth(_, _, report)) = event else {
        panic!("{event:?}");
    };
    let expected = HealthReport {
        in_flight: 3,
        is_leaving: false,
    };
    assert_eq!(report, is_sound.then_some(expected));
}
