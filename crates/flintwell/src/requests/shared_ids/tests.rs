use super::*;
use std::path::Path;
use tempfile::tempdir;

fn process(directory: &Path, name: &str) -> (Store, SharedIds) {
    let store = Store::open(Some(directory), "n0").expect("directory");
    (store.clone(), SharedIds::new(store, name.into()))
}

#[test]
fn process_says_that_it_shares_once_all_its_ids_are_recorded() {
    let directory = tempdir().expect("directory");
    let (store, ids) = process(directory.path(), "a");
    // Stands for a full disk: nothing can be created.
    std::fs::remove_dir(store.path("").expect("path")).expect("remove");
    ids.start(|| vec![IdHash(1)]);
    assert!(!is_sharing(&store, "a"));
    assert!(matches!(ids.record(IdHash(2)), Err(RecordError::Io(_))));
    let (_, other) = process(directory.path(), "b");
    ids.start(|| vec![IdHash(1)]);
    assert!(is_sharing(&store, "a") && other.is_used(IdHash(1)).expect("query"));
    ids.mark_incomplete();
    assert!(!is_sharing(&store, "a"));
}

#[test]
fn recorded_id_is_known_to_the_other_process_until_it_is_forgotten() {
    let directory = tempdir().expect("directory");
    let ((_, ids), (_, other)) = (process(directory.path(), "a"), process(directory.path(), "b"));
    let id = IdHash(7);
    assert!(!other.is_used(id).expect("query"));
    assert!(ids.record(id).is_ok() && ids.record(id).is_ok(), "a repeated record changes nothing");
    assert!(other.is_used(id).expect("query"));
    assert!(matches!(other.record(id), Err(RecordError::AlreadyUsed)));
    other.forget(id);
    assert!(other.is_used(id).expect("query"), "it belongs to the other process");
    ids.forget(id);
    assert!(!other.is_used(id).expect("query"));
}

#[test]
fn number_of_files_is_bounded_and_all_are_removed_at_the_end() {
    let directory = tempdir().expect("directory");
    let (_, ids) = process(directory.path(), "a");
    for n in 0..MAX_FILES as u64 + 2 {
        ids.record(IdHash(n)).expect("record");
    }
    assert!(!ids.is_used(IdHash(1)).expect("query") && ids.is_used(IdHash(2)).expect("query"));
    ids.stop();
    assert!(!ids.has_records());
}
