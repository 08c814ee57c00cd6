//! The table of error responses agrees with its documentation and with the serialized kinds.

use std::{fs, path::Path, time::Duration};

use base::{ERROR_RESPONSES, ErrorKind, ErrorResponse, Refusal};

fn markdown_row(response: &ErrorResponse) -> String {
    let retry = if response.is_retryable { "yes" } else { "no" };
    format!(
        "| `{}` | {} | {} | {retry} | {} |",
        response.kind, response.status, response.executed, response.message
    )
}

#[test]
fn errors_page_agrees_with_the_table() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/ERRORS.md");
    let page = fs::read_to_string(file).unwrap();
    let shown: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let expected: Vec<String> = ERROR_RESPONSES.iter().map(markdown_row).collect();
    assert_eq!(shown, expected);
}

#[test]
fn errors_table_is_in_the_order_of_kinds() {
    for response in ERROR_RESPONSES {
        assert_eq!(response.kind.response(), response);
    }
}

#[test]
fn errors_kinds_have_the_same_name_in_bodies_and_pages() {
    for response in ERROR_RESPONSES {
        let body = serde_json::to_string(&response.kind).unwrap();
        assert_eq!(body, format!("\"{}\"", response.kind));
    }
}

#[test]
fn errors_retry_after_is_rounded_up() {
    let refusal = Refusal::new(ErrorKind::RateLimited);
    assert_eq!(
        refusal
            .retry_after(Duration::from_millis(1))
            .retry_after_secs(),
        1
    );
    assert_eq!(
        refusal
            .retry_after(Duration::from_millis(1_001))
            .retry_after_secs(),
        2
    );
}
