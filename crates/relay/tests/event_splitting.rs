//! Splitting of a byte stream into server-sent events.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use relay::{SplitError, Splitter};

/// Id and bytes of an event.
type IdAndBytes = (u64, Vec<u8>);

fn split(chunks: &[&[u8]]) -> Result<Vec<IdAndBytes>, SplitError> {
    let mut splitter = Splitter::default();
    let mut events = Vec::new();
    for chunk in chunks {
        splitter.push(chunk);
        while let Some(event) = splitter.pop()? {
            events.push((event.id, event.bytes.to_vec()));
        }
    }
    Ok(events)
}

#[test]
fn ids_and_line_ends() {
    let events = split(&[b"id: 1\ndata: a\n\nversion: 3\r\nid:2\r\ndata: b\r\n\r\n"]);
    let ids: Vec<u64> = events.unwrap().into_iter().map(|(id, _)| id).collect();
    assert_eq!(ids, [1, 2]);
}

#[test]
fn sound_events() {
    for text in [
        "id: 1\n\n",
        "id:1\ndata:a\n\n",
        "id: 1\r\ndata: a\r\n\r\n",
        "data: a\ndata: b\nid: 1\n\n",
        "weight-versions: 7\nid: 1\ndata: a\n\n",
        "id: 1\nevent: token\nretry: 10\ndata: a:\tb \u{e9}\n\n",
        ": comment\nid: 1\ndata:\n\n",
    ] {
        let expected = vec![(1, text.as_bytes().to_vec())];
        assert_eq!(split(&[text.as_bytes()]), Ok(expected), "{text:?}");
    }
    let large = format!("id: 1\ndata: {}\n\n", "a".repeat(128 << 10));
    assert_eq!(split(&[large.as_bytes()]).unwrap().len(), 1);
}

/// Bytes that are no event must not be taken for one, as they would be forwarded to the caller.
#[test]
fn foreign_bytes() {
    let cases: [(&[u8], SplitError); 14] = [
        (b"\n\n", SplitError::BadLine),
        (b"\r\n\r\n", SplitError::BadLine),
        (b"\nid: 1\ndata: a\n\n", SplitError::BadLine),
        (b"data: c\n\n", SplitError::NoSingleId),
        (b": comment\n\n", SplitError::NoSingleId),
        (b"id: 1\nid: 2\n\n", SplitError::NoSingleId),
        (b"id: 1\ndata\n\n", SplitError::BadLine),
        (b"id: 1\n data: a\n\n", SplitError::BadLine),
        (b"id: 1\ndata: \0\n\n", SplitError::BadLine),
        (b"id: 1\ndata: \xff\n\n", SplitError::BadLine),
        (b"\x80\x81id: 1\ndata: a\n\n", SplitError::BadLine),
        (b"HTTP/1.1 200 OK\r\nid: 1\n\n", SplitError::BadLine),
        (b"Content-Length: 0\r\nid: 1\n\n", SplitError::BadLine),
        (b"{\"id\": 1}\n\n", SplitError::BadLine),
    ];
    for (bytes, error) in cases {
        let text = String::from_utf8_lossy(bytes);
        assert_eq!(split(&[bytes]), Err(error), "{text:?}");
    }
}

#[test]
fn partial_event_is_buffered() {
    let mut splitter = Splitter::default();
    splitter.push(b"id: 1\ndata: a\n");
    assert_eq!(splitter.pop(), Ok(None));
    assert!(splitter.is_partial());
    splitter.push(b"\n");
    assert!(splitter.pop().unwrap().is_some());
    assert!(!splitter.is_partial());
}

#[test]
fn invalid_events() {
    assert_eq!(split(&[b"id: x\n\n"]), Err(SplitError::BadId));
    let large = vec![b'a'; 2 << 20];
    assert_eq!(split(&[&large]), Err(SplitError::TooLarge));
}

/// However the bytes of a stream are divided into chunks, the events are the same and no byte is lost.
#[test]
fn arbitrary_chunks() {
    let config = Config {
        cases: 256,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let ends = prop::sample::select(vec!["\n", "\r\n"]);
    let events = prop::collection::vec((any::<u32>(), "[a-z ]{0,40}", ends), 0..12);
    let cuts = prop::collection::vec(0_usize..400, 0..20);
    runner
        .run(&(events, cuts), |(events, cuts)| {
            let texts: Vec<String> = events
                .iter()
                .map(|(id, data, end)| format!("id: {id}{end}data: {data}{end}{end}"))
                .collect();
            let stream = texts.concat().into_bytes();
            let mut at: Vec<usize> = cuts.iter().map(|c| c % (stream.len() + 1)).collect();
            at.extend([0, stream.len()]);
            at.sort_unstable();
            let chunks: Vec<&[u8]> = at.windows(2).map(|w| &stream[w[0]..w[1]]).collect();
            let found = split(&chunks).unwrap();
            let expected: Vec<IdAndBytes> = events
                .iter()
                .zip(texts)
                .map(|((id, _, _), text)| (u64::from(*id), text.into_bytes()))
                .collect();
            prop_assert_eq!(found, expected);
            Ok(())
        })
        .unwrap();
}
