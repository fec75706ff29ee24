//! Rumors about a dead host that arrive out of order.

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

/// Number of the last heartbeat that other hosts received from the dead host.
const LAST: u64 = 20;

fn rumor(by: &str, state: HostState) -> Rumor {
    rumor_at(by, state, LAST)
}

fn rumor_at(by: &str, state: HostState, beat: u64) -> Rumor {
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

/// State of the dead host after a just started host received the rumors.
fn state_after(received: Vec<Rumor>) -> HostState {
    let mut member = open();
    let rumors = Rumors {
        name: "one".into(),
        sync: true,
        rumors: received,
    };
    member.handle_message(NOW, &Message::Rumors(rumors));
    member.state_of("dead")
}

// Guards against requests sent to a host that is long gone. A host of a domain dies; the others
// suspect it and then claim that it is gone; a new host of the domain requests the rumors it
// missed, which arrive in any order. An older suspicion that arrived last replaced the later claim.
// The new host then counted the dead one among the watchers that must agree, and never took the
// next host that died as gone.
#[test]
fn a_late_suspicion_does_not_replace_the_claim_that_a_host_is_gone() {
    let (suspect, gone) = (HostState::Suspect, HostState::Gone);
    let in_order = vec![
        rumor("one", suspect),
        rumor("one", gone),
        rumor("two", gone),
    ];
    assert_eq!(state_after(in_order), gone);
    let late = vec![
        rumor("one", gone),
        rumor("two", gone),
        rumor("one", suspect),
    ];
    assert_eq!(state_after(late), gone);
}

// As above, with another rumor: the host's own, that it serves, from long before its death. A new
// host that receives it last has received no heartbeat, and must not take it for one later than the
// last heartbeat that the others received.
#[test]
fn an_old_heartbeat_does_not_refute_that_a_host_is_gone() {
    let (serving, gone) = (HostState::Serving, HostState::Gone);
    let late = vec![
        rumor("one", gone),
        rumor("two", gone),
        rumor_at("dead", serving, 3),
    ];
    assert_eq!(state_after(late), gone);
    // A heartbeat with the number after the last one refutes both claims.
    let alive = vec![
        rumor("one", gone),
        rumor("two", gone),
        rumor_at("dead", serving, LAST + 1),
    ];
    assert_eq!(state_after(alive), serving);
}

// Guards against a serving host that stays suspect on recently started hosts. It broadcast that it
// serves; a new host of its domain has not received that and suspects it without a heartbeat
// number; a new host elsewhere has not received it either and accepts the suspicion. The host must
// also refute a suspicion older than its last broadcast, as hosts that started since have not
// received that.
#[test]
fn a_host_refutes_the_suspicion_of_one_that_never_heard_it() {
    let mut member = open();
    member.set_state(NOW, HostState::Serving);
    let suspicion = Word::State(StateWord {
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
        word: suspicion,
    };
    let rumors = Rumors {
        name: "one".into(),
        sync: false,
        rumors: vec![rumor],
    };
    let actions = member.handle_message(NOW, &Message::Rumors(rumors));
    let refutations = actions.iter().filter(|action| match action {
        Action::Send {
            message: Message::Rumors(rumors),
            ..
        } => rumors
            .rumors
            .iter()
            .any(|rumor| matches!(&rumor.word, Word::State(word) if &*word.by == "late")),
        _ => false,
    });
    assert!(
        refutations.count() > 0,
        "suspicion not refuted: {actions:?}"
    );
}
