//! Kinds of messages between hosts keep their numbers, by which hosts of other versions tell them apart.

use membership::gossip::{Body, PromptEvidence};

#[test]
fn numbers_of_kinds() {
    let evidence = PromptEvidence::default;
    let others = Body::Others {
        digest: 0,
        hosts: 0,
        usage: Vec::new(),
        ranks: Vec::new(),
    };
    let centre = Body::Centre {
        hosts: 0,
        usage: Vec::new(),
    };
    let kinds = [
        Body::Digest(Vec::new()),
        centre,
        others,
        Body::Prompts(evidence()),
        Body::Limits(Vec::new()),
        Body::Leaving(Vec::new()),
        Body::Requests(evidence()),
    ];
    for (number, kind) in kinds.iter().enumerate() {
        let bytes = postcard::to_stdvec(kind).unwrap();
        assert_eq!(usize::from(bytes[0]), number, "{kind:?}");
    }
}

/// A kind of a later version is an error, so that the message is skipped as a whole.
#[test]
fn unknown_kind() {
    assert!(postcard::from_bytes::<Body>(&[200, 1, 0]).is_err());
}
