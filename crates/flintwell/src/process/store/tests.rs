use super::*;

#[test]
fn written_files_are_read_back_and_names_cannot_escape_the_directory() {
    let parent = std::env::temp_dir().join(format!("flintwell-store-{}", std::process::id()));
    fs::create_dir_all(&parent).expect("create directory");
    let store = Store::open(Some(&parent), "../n 0").expect("open store");
    store.write("out-a", b"one").expect("write");
    store.write("out-a", b"two").expect("overwrite");
    assert_eq!(
        (store.read("out-a"), store.list_files("out-")),
        (Some(b"two".to_vec()), vec!["out-a".into()])
    );
    assert_eq!(escape_file_name("../a"), "_2e_2e_2fa");
    store.remove("out-a");
    assert_eq!(store.read("out-a"), None);
    fs::remove_dir_all(&parent).expect("remove directory");
    assert!(store.write("out-a", b"one").is_err(), "a failed write is reported");
    assert!(!Store(None).is_persistent() && Store(None).write("a", b"").is_ok());
}
