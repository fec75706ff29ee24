//! Returns of refused callers, in virtual time.

use std::{collections::BTreeMap, time::Duration};

use dunlinrock_admit::direct::{Refusal, Return, ReturnBook};

/// Returns a second before anything was served.
const FLOOR: f64 = 20.0;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn refusal(priority: u8, patience: Duration) -> Refusal {
    Refusal {
        earliest: ms(100),
        patience,
        priority,
        is_short: true,
    }
}

/// Returns a book of a host that serves `rate` requests a second, and the time.
fn book_at(rate: u64) -> (ReturnBook, Duration) {
    let mut book = ReturnBook::open(FLOOR, 0.0);
    let steps = (0..10 * rate).map(|n| ms(n * 1000 / rate));
    steps.for_each(|now| book.record_served(now));
    (book, ms(10_000))
}

/// A rush of 2.6 times the room for four seconds, as when many callers come at once: the host serves
/// 100 a second and refuses 160. In no half second may more callers be asked back than half of what
/// is served, and those who cannot be are told a longer time than they can wait.
#[test]
fn returns_ask_for_no_more_than_the_room_that_is_expected() {
    let (mut book, start) = book_at(100);
    let (mut due, mut without) = (BTreeMap::<u128, u32>::new(), 0);
    for n in 0..640 {
        let now = start + ms(n * 25 / 4);
        (n % 8 < 5).then(|| book.record_served(now));
        let told = book.book(&refusal(1, ms(2000)), now);
        match told.is_booked {
            true => *due.entry((now + told.after).as_millis() / 500).or_default() += 1,
            false => {
                without += 1;
                assert!(told.after > ms(2000), "{told:?}");
            }
        }
    }
    println!("{due:?} {without}");
    let most = due.values().max().copied().unwrap_or_default();
    assert!(most <= 30, "{due:?}");
    let booked: u32 = due.values().sum();
    assert!(booked > 250, "room was left unused: {booked}");
}

/// The same rush, in which one refused caller in ten is more urgent: they come back sooner.
#[test]
fn urgent_callers_come_back_first() {
    let (mut book, start) = book_at(100);
    let (mut urgent, mut others) = (Vec::new(), Vec::new());
    for n in 0..160 {
        let now = start + ms(n * 25 / 4);
        book.record_served(now);
        let priority = u8::from(n % 10 != 0);
        let told = book.book(&refusal(priority, ms(2000)), now);
        let told = told.is_booked.then_some(told.after);
        match priority {
            0 => urgent.push(told),
            _ => others.push(told),
        }
    }
    assert!(urgent.iter().all(Option::is_some), "{urgent:?}");
    let last = urgent.iter().flatten().max();
    assert!(
        last < others.iter().flatten().max(),
        "{urgent:?} {others:?}"
    );
}

/// All hosts were killed in a rush and start again: 65 hosts that have served nobody refuse 30
/// callers each in one moment. They must not come back in one moment, nor be sent away for long.
#[test]
fn hosts_that_know_nothing_ask_callers_back_spread() {
    let mut due = BTreeMap::<u128, u32>::new();
    for host in 0..65 {
        let mut book = ReturnBook::open(FLOOR, f64::from(host) / 65.0);
        for _ in 0..30 {
            let told = book.book(&refusal(1, ms(2600)), ms(500));
            assert!(told.is_booked);
            *due.entry(told.after.as_millis() / 100).or_default() += 1;
        }
    }
    println!("{due:?}");
    let most = due.values().max().copied().unwrap_or_default();
    assert!(most < 65 * 30 / 10, "{due:?}");
}

/// Room that was booked is kept from less urgent requests at its time only, and goes to the first
/// that is as urgent, or to anyone a moment later if nobody comes.
#[test]
fn booked_room_is_kept_for_a_short_time() {
    let (mut book, now) = book_at(100);
    let Return { after, is_booked } = book.book(&refusal(0, ms(2000)), now);
    let due = now + after;
    assert!(is_booked && after >= ms(100), "{after:?}");
    assert_eq!(book.kept(1, now), 0, "not yet");
    assert_eq!((book.kept(0, due), book.kept(1, due)), (0, 1));
    assert_eq!(book.kept(1, due + ms(250)), 0, "nobody came");
    book.claim(1, due);
    assert_eq!(book.kept(1, due), 1, "a less urgent request");
    book.claim(0, due);
    assert_eq!(book.kept(1, due), 0);
}

/// Targets fail or shed by themselves, and room is not short: a later return is no better, so the
/// callers come back soon, one after the other.
#[test]
fn callers_whose_request_failed_come_back_soon() {
    let mut book = ReturnBook::open(FLOOR, 0.0);
    let failed = Refusal {
        is_short: false,
        ..refusal(1, ms(2000))
    };
    let told: Vec<_> = (0..30).map(|_| book.book(&failed, ms(500)).after).collect();
    assert!(told.iter().all(|after| *after < ms(400)), "{told:?}");
    assert!(told.windows(12).all(|w| w[0] < w[11]), "{told:?}");
}
