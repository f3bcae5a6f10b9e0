use super::*;
use flintwell_rollout::member::Member;
use serde_json::json;

#[test]
fn a_record_is_found_as_written_and_one_that_is_cut_or_changed_is_left_out() {
    let folder = tempfile::tempdir().expect("a folder");
    let state = folder.path().join("state");
    let disk = Disk::open(&state).expect("a folder");
    assert_eq!(disk.read(), Ok(None));
    let record = Member::new("f", None, &json!({"a": 1.5})).record().clone();
    disk.write(&record).expect("written");
    assert_eq!(disk.read(), Ok(Some(record.clone())));
    let (file, text) = (state.join(RECORD), fs::read(state.join(RECORD)).expect("it"));
    for cut in [0, 5, 40, text.len() - 1] {
        fs::write(&file, &text[..cut]).expect("cut");
        assert!(disk.read().is_err(), "{cut}");
    }
    fs::write(&file, String::from_utf8_lossy(&text).replace("1.5", "2.5")).expect("changed");
    assert!(disk.read().is_err());
    fs::remove_dir_all(&state).expect("cleared");
    assert!(disk.write(&record).is_err(), "said, not passed over");
}
