//! Splitting of a byte stream into server-sent events.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use relay::{SplitError, Splitter};

/// Id and bytes of an event.
type IdAndBytes = (Option<u64>, Vec<u8>);

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
    let events = split(&[b"id: 1\ndata: a\n\nversion: 3\r\nid:2\r\ndata: b\r\n\r\ndata: c\n\n"]);
    let ids: Vec<Option<u64>> = events.unwrap().into_iter().map(|(id, _)| id).collect();
    assert_eq!(ids, [Some(1), Some(2), None]);
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
                .map(|((id, _, _), text)| (Some(u64::from(*id)), text.into_bytes()))
                .collect();
            prop_assert_eq!(found, expected);
            Ok(())
        })
        .unwrap();
}
