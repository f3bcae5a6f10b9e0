use super::*;
use crate::process::clock::Clock;
use flintwell_list_watch::{Basis, Lease};
use std::path::Path;

fn listed_node(id: &str) -> ListedNode {
    serde_json::from_value(serde_json::json!({"id": id, "addr": "127.0.0.1:1"})).expect("a listed node")
}

fn lease_confirmed_ago(ago: Micros) -> std::rc::Rc<ListLease> {
    let clock = Clock::start();
    let mut lease = Lease::unconfirmed();
    lease.renew(clock.now() - ago, Basis::Answer);
    ListLease::new(clock, lease, Default::default())
}

fn store_in(folder: &Path) -> ListStore {
    ListStore::new(Store::open(Some(folder), "n").expect("a folder"))
}

#[test]
fn list_is_stored_with_its_age_and_the_age_of_another_version_is_ignored() {
    let folder = tempfile::tempdir().expect("a folder");
    let store = store_in(folder.path());
    assert!(store.load().is_none());
    store.mark_changed(3);
    store.write(|| vec![listed_node("a")], &lease_confirmed_ago(2_000_000));
    let stored = store_in(folder.path()).load().expect("a list");
    assert_eq!((stored.list.version, stored.list.nodes[0].id.as_str()), (3, "a"));
    let age = stored.age.expect("an age");
    assert!((2_000_000..4_000_000).contains(&age), "{age} us");
    // A process killed between the two writes leaves a new list with the confirmation of the old one.
    store.mark_changed(4);
    store.write_list(|| vec![listed_node("a")]).expect("written");
    assert_eq!(store_in(folder.path()).load().expect("a list").age, None);
}

#[test]
fn failed_write_on_a_full_disk_is_repeated_once_there_is_space() {
    let folder = tempfile::tempdir().expect("a folder");
    let store = store_in(folder.path());
    let lease = lease_confirmed_ago(0);
    store.mark_changed(3);
    store.write(|| vec![listed_node("a")], &lease);
    // Files are written under this name before they are renamed: each write fails with ENOSPC from now on.
    let unfinished = folder.path().join("flintwell-n").join(format!("new-{}", std::process::id()));
    std::os::unix::fs::symlink("/dev/full", &unfinished).expect("a link");
    store.mark_changed(4);
    store.write(|| vec![listed_node("b")], &lease);
    assert_eq!(
        store_in(folder.path()).load().expect("a list").list.version,
        3,
        "the previous list is intact"
    );
    std::fs::remove_file(unfinished).expect("space again");
    store.write(|| vec![listed_node("b")], &lease);
    assert_eq!(store_in(folder.path()).load().expect("a list").list.version, 4);
}
