//! Tests of the waiting lists and of the order to stop.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use quickcheck::{Arbitrary, Gen};

use super::{Latch, WaitList, Waiter};

const SEED: u64 = 20_261_204;

/// Whether the waiter was woken.
fn is_woken(waiter: &mut Waiter) -> bool {
    is_done(waiter.woken())
}

fn is_done(future: impl Future<Output = ()>) -> bool {
    let mut context = Context::from_waker(Waker::noop());
    pin!(future).poll(&mut context) == Poll::Ready(())
}

#[test]
fn the_first_is_woken_first() {
    let list = WaitList::new();
    let mut first = list.enqueue();
    let mut second = list.enqueue();

    list.wake_first();

    assert!(is_woken(&mut first));
    assert!(!is_woken(&mut second));
}

#[test]
fn one_that_rejoins_comes_before_all_others() {
    let list = WaitList::new();
    let mut second = list.enqueue();
    let mut first = list.enqueue_front();

    list.wake_first();

    assert!(is_woken(&mut first));
    assert!(!is_woken(&mut second));
}

#[test]
fn a_wake_passes_over_those_who_gave_up() {
    let list = WaitList::new();
    drop(list.enqueue());
    let mut second = list.enqueue();

    list.wake_first();

    assert!(is_woken(&mut second));
}

#[test]
fn a_wake_of_nobody_is_not_kept_for_later() {
    let list = WaitList::new();

    list.wake_first();
    list.wake_all();

    assert!(!is_woken(&mut list.enqueue()));
}

#[test]
fn everybody_is_woken_at_once() {
    let list = WaitList::new();
    let mut waiters = [list.enqueue(), list.enqueue(), list.enqueue_front()];

    list.wake_all();

    assert!(waiters.iter_mut().all(is_woken));
}

/// What can happen to a list.
#[derive(Debug, Clone, Copy)]
enum Step {
    Enqueue,
    EnqueueFront,
    GiveUp(usize),
    WakeFirst,
    WakeAll,
}

impl Arbitrary for Step {
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

/// A list beside a plain queue that does the same.
struct Pair {
    list: Rc<WaitList>,
    waiting: RefCell<VecDeque<Waiter>>,
}

impl Pair {
    fn take(&self, step: Step) {
        let mut waiting = self.waiting.borrow_mut();
        match step {
            Step::Enqueue => waiting.push_back(self.list.enqueue()),
            Step::EnqueueFront => waiting.push_front(self.list.enqueue_front()),
            Step::GiveUp(at) => {
                let at = at.checked_rem(waiting.len()).unwrap_or(0);
                drop(waiting.remove(at));
            }
            Step::WakeFirst => {
                self.list.wake_first();
                let first = waiting.pop_front();
                assert!(first.is_none_or(|mut first| is_woken(&mut first)));
            }
            Step::WakeAll => {
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
fn a_list_does_what_a_plain_queue_does() {
    let mut rng = Gen::from_size_and_seed(300, SEED);
    for _ in 0..200 {
        let pair = Pair {
            list: WaitList::new(),
            waiting: RefCell::default(),
        };
        for step in Vec::<Step>::arbitrary(&mut rng) {
            pair.take(step);
        }
    }
}

#[test]
fn the_order_to_stop_reaches_those_who_wait_and_those_who_come_later() {
    let shutdown = Latch::new();
    let clone = shutdown.clone();
    let mut waiting = pin!(clone.wait());
    assert!(!is_done(waiting.as_mut()));

    shutdown.set();

    assert!(shutdown.is_set() && clone.is_set());
    assert!(is_done(waiting));
    assert!(is_done(shutdown.wait()));
}
