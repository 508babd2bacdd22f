//! Tests of the wait lists and the latch.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use quickcheck::{Arbitrary, Gen};

use super::{Latch, WaitList, Waiter};

const SEED: u64 = 20_261_204;

fn is_woken(waiter: &mut Waiter) -> bool {
    is_done(waiter.woken())
}

fn is_done(future: impl Future<Output = ()>) -> bool {
    let mut context = Context::from_waker(Waker::noop());
    pin!(future).poll(&mut context) == Poll::Ready(())
}

#[test]
fn wake_first_wakes_the_oldest_waiter() {
    let list = WaitList::new();
    let mut first = list.enqueue();
    let mut second = list.enqueue();

    list.wake_first();

    assert!(is_woken(&mut first));
    assert!(!is_woken(&mut second));
}

#[test]
fn a_waiter_enqueued_at_the_front_is_woken_first() {
    let list = WaitList::new();
    let mut second = list.enqueue();
    let mut first = list.enqueue_front();

    list.wake_first();

    assert!(is_woken(&mut first));
    assert!(!is_woken(&mut second));
}

#[test]
fn wake_first_skips_waiters_that_gave_up() {
    let list = WaitList::new();
    drop(list.enqueue());
    let mut second = list.enqueue();

    list.wake_first();

    assert!(is_woken(&mut second));
}

#[test]
fn a_wake_without_waiters_is_not_stored() {
    let list = WaitList::new();

    list.wake_first();
    list.wake_all();

    assert!(!is_woken(&mut list.enqueue()));
}

#[test]
fn wake_all_wakes_every_waiter() {
    let list = WaitList::new();
    let mut waiters = [list.enqueue(), list.enqueue(), list.enqueue_front()];

    list.wake_all();

    assert!(waiters.iter_mut().all(is_woken));
}

/// An operation on a list.
#[derive(Debug, Clone, Copy)]
enum Operation {
    Enqueue,
    EnqueueFront,
    GiveUp(usize),
    WakeFirst,
    WakeAll,
}

impl Arbitrary for Operation {
    fn arbitrary(rng: &mut Gen) -> Self {
        match u8::arbitrary(rng) % 12 {
            0..5 => Self::Enqueue,
            5 => Self::EnqueueFront,
            6..9 => Self::GiveUp(usize::arbitrary(rng)),
            9..11 => Self::WakeFirst,
            _ => Self::WakeAll,
        }
    }
}

/// A list, and a plain queue of its waiters as the reference model.
struct Model {
    list: Rc<WaitList>,
    waiting: RefCell<VecDeque<Waiter>>,
}

impl Model {
    fn apply(&self, operation: Operation) {
        let mut waiting = self.waiting.borrow_mut();
        match operation {
            Operation::Enqueue => waiting.push_back(self.list.enqueue()),
            Operation::EnqueueFront => waiting.push_front(self.list.enqueue_front()),
            Operation::GiveUp(at) => {
                let at = at.checked_rem(waiting.len()).unwrap_or(0);
                drop(waiting.remove(at));
            }
            Operation::WakeFirst => {
                self.list.wake_first();
                let first = waiting.pop_front();
                assert!(first.is_none_or(|mut first| is_woken(&mut first)));
            }
            Operation::WakeAll => {
                self.list.wake_all();
                assert!(waiting.drain(..).all(|mut waiter| is_woken(&mut waiter)));
            }
        }
        assert!(!waiting.iter_mut().any(is_woken));
        assert_eq!(self.list.len(), waiting.len());
        assert_eq!(self.list.is_empty(), waiting.is_empty());
    }
}

#[test]
fn a_list_behaves_like_a_plain_queue() {
    let mut rng = Gen::from_size_and_seed(300, SEED);
    for _ in 0..200 {
        let model = Model {
            list: WaitList::new(),
            waiting: RefCell::default(),
        };
        for operation in Vec::<Operation>::arbitrary(&mut rng) {
            model.apply(operation);
        }
    }
}

#[test]
fn a_set_latch_releases_earlier_and_later_waiters() {
    let latch = Latch::new();
    let clone = latch.clone();
    let mut waiting = pin!(clone.wait());
    assert!(!is_done(waiting.as_mut()));

    latch.set();

    assert!(latch.is_set() && clone.is_set());
    assert!(is_done(waiting));
    assert!(is_done(latch.wait()));
}
