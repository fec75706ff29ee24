//! Words about a dead host that arrive out of order.

use std::time::Duration;

use dunlinrock_coord::member::{Action, HostState, LocalMember, Membership, Timings};
use dunlinrock_schema::{
    coord::{Message, Rumor, Rumors, StateWord, Word},
    store::{Listed, Listing},
};

const DOMAIN: &str = "a";

fn listed(name: &str) -> Listed {
    Listed {
        name: name.into(),
        incarnation: 1,
        region: "r".into(),
        domain: DOMAIN.into(),
        callers: "127.0.0.1:1".into(),
        peers: "127.0.0.1:2".into(),
        leaving: false,
    }
}

/// The beat that others heard last of the dead host.
const LAST: u64 = 20;

fn word(by: &str, state: HostState) -> Rumor {
    said(by, state, LAST)
}

fn said(by: &str, state: HostState, beat: u64) -> Rumor {
    Rumor {
        origin: DOMAIN.into(),
        ttl_ms: 20_000,
        word: Word::State(StateWord {
            name: "dead".into(),
            incarnation: 1,
            beat,
            state,
            by: by.into(),
            turn: 0,
        }),
    }
}

const NOW: Duration = Duration::from_secs(1);

/// A host that has just started and read the list.
fn open() -> Membership {
    let me = LocalMember {
        name: "late".into(),
        incarnation: 9,
        region: "r".into(),
        domain: DOMAIN.into(),
        callers: "127.0.0.1:3".into(),
        peers: "127.0.0.1:4".into(),
    };
    let mut member = Membership::open(me, Timings::default(), NOW);
    let hosts = ["dead", "one", "two"].map(listed).to_vec();
    member.handle_listing(NOW, &Listing { hosts });
    member
}

/// What a host that has just started makes of the words that it is given.
fn heard(words: Vec<Rumor>) -> HostState {
    let mut member = open();
    let rumors = Rumors {
        name: "one".into(),
        sync: true,
        rumors: words,
    };
    member.handle_message(NOW, &Message::Rumors(rumors));
    member.state_of("dead")
}

// Callers see: requests handed to a host that is long dead, for as long as its peer is down too.
// Order: a host of a domain dies; the others doubt it, and then say that it is gone; a new host
// starts there and asks for the words it missed, which come in no order. The older doubt, taken
// last, stood in place of the later word, so that the new host counted a dead one among those who
// must agree, and never took the next host that died for gone.
#[test]
fn a_doubt_that_comes_late_does_not_replace_the_word_that_a_host_is_gone() {
    let (suspect, gone) = (HostState::Suspect, HostState::Gone);
    let in_order = vec![word("one", suspect), word("one", gone), word("two", gone)];
    assert_eq!(heard(in_order), gone);
    let late = vec![word("one", gone), word("two", gone), word("one", suspect)];
    assert_eq!(heard(late), gone);
}

// As above, with another word: the host's own, that it serves, from long before its death. A new
// host that takes it last has heard no beat before, and must not take it for a sign of life after
// the last beat that the others heard.
#[test]
fn an_old_sign_of_life_does_not_take_back_that_a_host_is_gone() {
    let (serving, gone) = (HostState::Serving, HostState::Gone);
    let late = vec![
        word("one", gone),
        word("two", gone),
        said("dead", serving, 3),
    ];
    assert_eq!(heard(late), gone);
    // One beat after the last that was heard refutes both.
    let alive = vec![
        word("one", gone),
        word("two", gone),
        said("dead", serving, LAST + 1),
    ];
    assert_eq!(heard(alive), serving);
}

// The operators see: a host that serves, as suspect, at hosts that started lately, for good. Order:
// it has said of itself that it serves; a new host of its domain has not heard it yet and doubts
// it, naming no beat; a new host elsewhere has not heard it either and takes the doubt. The host
// must answer also a doubt from before its last word: those who started since have not got that.
#[test]
fn a_host_answers_the_doubt_of_one_that_never_heard_it() {
    let mut member = open();
    member.set_state(NOW, HostState::Serving);
    let doubt = Word::State(StateWord {
        name: "late".into(),
        incarnation: 9,
        beat: 0,
        state: HostState::Suspect,
        by: "one".into(),
        turn: 0,
    });
    let rumor = Rumor {
        origin: DOMAIN.into(),
        ttl_ms: 20_000,
        word: doubt,
    };
    let rumors = Rumors {
        name: "one".into(),
        sync: false,
        rumors: vec![rumor],
    };
    let actions = member.handle_message(NOW, &Message::Rumors(rumors));
    let answers = actions.iter().filter(|action| match action {
        Action::Send {
            message: Message::Rumors(rumors),
            ..
        } => rumors
            .rumors
            .iter()
            .any(|rumor| matches!(&rumor.word, Word::State(word) if &*word.by == "late")),
        _ => false,
    });
    assert!(answers.count() > 0, "no answer to the doubt: {actions:?}");
}
