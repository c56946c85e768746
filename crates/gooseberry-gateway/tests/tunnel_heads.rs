//! Heads of answers read from the bytes that pass through a tunnel, however they arrive.

use gooseberry_gateway::tunnel::head::HeadReader;
use hyper::http::response::Parts;

const INTERIM: &str = "HTTP/1.1 100 Continue\r\nserver-leaving: 0\r\n\r\n";
const FINAL: &str = "HTTP/1.1 503 No\r\nretry-after: 30\r\nserver-leaving: 1\r\n\r\nbody";

/// The head read from these bytes in pieces of at most `size`, and whether no more bytes are needed.
fn read(bytes: &[u8], size: usize) -> (Option<Parts>, bool) {
    let mut reader = HeadReader::default();
    let mut pieces = bytes.chunks(size);
    let head = pieces.find_map(|piece| reader.push(piece));
    (head, reader.is_done())
}

#[test]
fn heads_in_pieces() {
    let answer = format!("{INTERIM}{INTERIM}{FINAL}");
    for size in 1..answer.len() {
        let (head, is_done) = read(answer.as_bytes(), size);
        let head = head.expect("the head is complete");
        assert!(is_done);
        assert_eq!((head.status.as_u16(), head.headers.len()), (503, 2));
        assert_eq!(head.headers["server-leaving"], "1");
    }
}

#[test]
fn bytes_without_head() {
    let long = format!("HTTP/1.1 200 OK\r\nx: {}", "y".repeat(64 << 10));
    for bytes in [
        "\0\0\0",
        "HTTP/1.1 9 No\r\n\r\n",
        "HTTP/1.1 000 No\r\n\r\n",
        &long,
    ] {
        let (head, is_done) = read(bytes.as_bytes(), 100);
        assert!(head.is_none() && is_done, "{bytes:.20}");
    }
    assert!(!read(&FINAL.as_bytes()[..20], 7).1, "incomplete");
}
