//! Whether a host's own links are lost, or the targets are down.

use dunlinrock_admit::direct::{Link, LinkCheck, LinkStatus};

/// A check of four targets and three other hosts.
fn check(reached: usize, answered: usize, helpers: usize) -> LinkCheck {
    LinkCheck {
        tried: 4,
        reached,
        asked: 3,
        answered,
        helpers,
    }
}

#[test]
fn a_host_that_reaches_no_target_while_another_does_has_lost_its_links() {
    let mut link = Link::open();
    assert_eq!(link.record(check(0, 3, 1)), LinkStatus::Lost);
}

/// Guards against a host that claims a loss of its own while the targets of all hosts are down.
#[test]
fn targets_that_no_host_reaches_are_down() {
    let mut link = Link::open();
    assert_eq!(link.record(check(0, 3, 0)), LinkStatus::TargetsDown);
    assert_eq!(link.record(check(1, 0, 0)), LinkStatus::Up);
}

#[test]
fn a_host_that_reaches_neither_targets_nor_hosts_has_lost_its_links() {
    let mut link = Link::open();
    assert_eq!(link.record(check(0, 0, 0)), LinkStatus::Lost);
}

/// A deployment of one host has nobody to ask; its requests must still be tried.
#[test]
fn a_host_without_others_blames_the_targets() {
    let mut link = Link::open();
    let alone = LinkCheck {
        tried: 2,
        ..LinkCheck::default()
    };
    assert_eq!(link.record(alone), LinkStatus::TargetsDown);
    assert_eq!(link.record(LinkCheck::default()), LinkStatus::TargetsDown);
}

/// Guards against a link that flaps: each return would send requests into timeouts again.
#[test]
fn lost_links_count_as_restored_after_two_good_checks_in_a_row() {
    let mut link = Link::open();
    link.record(check(0, 3, 3));
    for _ in 0..3 {
        assert_eq!(link.record(check(4, 0, 0)), LinkStatus::Lost);
        assert_eq!(link.record(check(0, 3, 3)), LinkStatus::Lost);
    }
    link.record(check(4, 0, 0));
    assert_eq!(link.record(check(1, 0, 0)), LinkStatus::Up);
    assert_eq!(link.status(), LinkStatus::Up);
}
