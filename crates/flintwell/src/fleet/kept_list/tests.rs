use super::*;
use crate::process::clock::Clock;
use flintwell_list_watch::{Basis, Lease};
use std::path::Path;

fn line(id: &str) -> Line {
    serde_json::from_value(serde_json::json!({"id": id, "addr": "127.0.0.1:1"})).expect("a line")
}

fn lease_confirmed_ago(ago: Micros) -> std::rc::Rc<ListLease> {
    let clock = Clock::start();
    let mut lease = Lease::unconfirmed();
    lease.renew(clock.now() - ago, Basis::Answer);
    ListLease::new(clock, lease, Default::default())
}

fn kept_in(folder: &Path) -> KeptList {
    KeptList::new(Store::open(Some(folder), "n").expect("a folder"))
}

#[test]
fn a_list_is_left_with_its_age_and_an_age_of_another_list_counts_for_nothing() {
    let folder = tempfile::tempdir().expect("a folder");
    let kept = kept_in(folder.path());
    assert!(kept.left().is_none());
    kept.told(3);
    kept.write(|| vec![line("a")], &lease_confirmed_ago(2_000_000));
    let left = kept_in(folder.path()).left().expect("a list");
    assert_eq!((left.listing.version, left.listing.servers[0].id.as_str()), (3, "a"));
    let age = left.age.expect("an age");
    assert!((2_000_000..4_000_000).contains(&age), "{age} us");
    // As after a process that was killed between the two files.
    kept.told(4);
    kept.write_list(|| vec![line("a")]).expect("written");
    assert_eq!(kept_in(folder.path()).left().expect("a list").age, None);
}

#[test]
fn what_a_full_disk_kept_from_being_written_is_written_once_there_is_room() {
    let folder = tempfile::tempdir().expect("a folder");
    let kept = kept_in(folder.path());
    let lease = lease_confirmed_ago(0);
    kept.told(3);
    kept.write(|| vec![line("a")], &lease);
    // Where a file is written before it is renamed, each write fails with ENOSPC from now on.
    let unfinished = folder.path().join("flintwell-n").join(format!("new-{}", std::process::id()));
    std::os::unix::fs::symlink("/dev/full", &unfinished).expect("a link");
    kept.told(4);
    kept.write(|| vec![line("b")], &lease);
    assert_eq!(kept_in(folder.path()).left().expect("a list").listing.version, 3, "the old one is whole");
    std::fs::remove_file(unfinished).expect("room again");
    kept.write(|| vec![line("b")], &lease);
    assert_eq!(kept_in(folder.path()).left().expect("a list").listing.version, 4);
}
