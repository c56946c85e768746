//! Memory for buffered answers: those without end do not use up what the others need.

use relay::AnswerPool;
use relay::answer_pool::AnswerShare;

const CAPACITY: usize = 32 << 20;

/// Bytes by which an answer grows.
const STEP: usize = 64 << 10;

/// Grows an answer until it has `limit` bytes or fails; returns what it has.
fn fill(share: &mut AnswerShare, limit: usize) -> usize {
    let steps = (0..limit / STEP).take_while(|_| share.grow(STEP));
    steps.count() * STEP
}

#[test]
fn one_answer_gets_half() {
    let pool = AnswerPool::new(CAPACITY);
    let mut share = pool.share();
    assert_eq!(fill(&mut share, usize::MAX), CAPACITY / 2);
    drop(share);
    assert_eq!(pool.held(), 0);
}

/// Answers without end must leave room for the answers of sound servers, even if none of them is given up.
#[test]
fn endless_answers_leave_room() {
    for count in [1, 2, 8, 20] {
        let pool = AnswerPool::new(CAPACITY);
        let mut endless: Vec<AnswerShare> = (0..count).map(|_| pool.share()).collect();
        // They grow by turns.
        let grow = |s: &mut AnswerShare| s.grow(STEP);
        while endless.iter_mut().map(grow).fold(false, |a, b| a | b) {}
        let mut sound = pool.share();
        let room = CAPACITY / (count + 1) / 2 - STEP;
        let got = fill(&mut sound, room);
        assert_eq!(got / STEP, room / STEP, "{count} answers without end");
    }
}

#[test]
fn small_answers_always_fit() {
    let pool = AnswerPool::new(1 << 20);
    let mut others: Vec<AnswerShare> = (0..100).map(|_| pool.share()).collect();
    assert!(others.iter_mut().all(|s| s.grow(STEP)));
    let mut small = pool.share();
    assert!(small.grow(STEP));
    assert!(!small.grow(1));
    drop((small, others));
    assert_eq!(pool.held(), 0);
}
