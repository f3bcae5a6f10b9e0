use super::*;
use flintwell_rollout::member::Member;
use serde_json::json;

#[test]
fn reads_the_written_record_and_rejects_a_truncated_or_altered_one() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let state = folder.path().join("state");
    let store = RecordStore::open(&state).expect("open the store");
    assert_eq!(store.read(), Ok(None));
    let record = Member::new("f", None, &json!({"a": 1.5})).record().clone();
    store.write(&record).expect("write");
    assert_eq!(store.read(), Ok(Some(record.clone())));
    let file = state.join(RECORD_FILE);
    let text = fs::read(&file).expect("read the file");
    for length in [0, 5, 40, text.len() - 1] {
        fs::write(&file, &text[..length]).expect("truncate the file");
        assert!(store.read().is_err(), "{length}");
    }
    fs::write(&file, String::from_utf8_lossy(&text).replace("1.5", "2.5")).expect("alter the file");
    assert!(store.read().is_err());
    fs::remove_dir_all(&state).expect("remove the folder");
    assert!(store.write(&record).is_err(), "a failed write is reported");
}
