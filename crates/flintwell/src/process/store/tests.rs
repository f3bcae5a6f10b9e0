use super::*;

#[test]
fn what_is_written_is_found_whole_and_names_cannot_leave_the_folder() {
    let below = std::env::temp_dir().join(format!("flintwell-store-{}", std::process::id()));
    fs::create_dir_all(&below).expect("a folder");
    let store = Store::open(Some(&below), "../n 0").expect("opened");
    store.write("out-a", b"one").expect("written");
    store.write("out-a", b"two").expect("written again");
    assert_eq!((store.read("out-a"), store.list_files("out-")), (Some(b"two".to_vec()), vec!["out-a".into()]));
    assert_eq!(escape_file_name("../a"), "_2e_2e_2fa");
    store.remove("out-a");
    assert_eq!(store.read("out-a"), None);
    fs::remove_dir_all(&below).expect("cleared");
    assert!(store.write("out-a", b"one").is_err(), "a failed write is reported");
    assert!(!Store(None).is_persistent() && Store(None).write("a", b"").is_ok());
}
