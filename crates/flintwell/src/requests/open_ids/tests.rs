use super::*;
use tempfile::tempdir;

/// Two open files of one directory, as two processes have them.
fn two_processes(directory: &std::path::Path) -> [OpenIds; 2] {
    let store = Store::open(Some(directory), "n0").expect("directory");
    [OpenIds::open(&store).expect("open"), OpenIds::open(&store).expect("open")]
}

#[test]
fn id_is_open_at_one_process_until_it_is_released() {
    let directory = tempdir().expect("directory");
    let [first, second] = two_processes(directory.path());
    let id = IdHash(u64::MAX);
    assert!(first.try_claim(id).expect("lock"));
    assert!(!second.try_claim(id).expect("lock"));
    assert!(second.try_claim(IdHash(0)).expect("lock"), "another id is free");
    first.release(id).expect("unlock");
    assert!(second.try_claim(id).expect("lock"));
}

#[test]
fn neighbouring_ids_are_released_one_by_one() {
    let directory = tempdir().expect("directory");
    let [first, second] = two_processes(directory.path());
    let ids = [0, 2, 4].map(IdHash);
    assert!(ids.iter().all(|id| first.try_claim(*id).expect("lock")));
    first.release(ids[1]).expect("unlock");
    assert_eq!(ids.map(|id| second.try_claim(id).expect("lock")), [false, true, false]);
}

#[test]
fn ids_of_a_process_that_ends_are_released() {
    let directory = tempdir().expect("directory");
    let [first, second] = two_processes(directory.path());
    assert!(first.try_claim(IdHash(1)).expect("lock"));
    drop(first);
    assert!(second.try_claim(IdHash(1)).expect("lock"));
}

#[test]
fn without_a_directory_every_id_is_free() {
    let store = Store::open(None, "n0").expect("no directory");
    let ids = OpenIds::open(&store).expect("no file");
    assert!(ids.try_claim(IdHash(1)).expect("no lock") && ids.release(IdHash(1)).is_ok());
}
