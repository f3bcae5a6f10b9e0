use super::*;
use crate::process::shutdown;

#[tokio::test]
async fn only_a_younger_process_that_lives_and_serves_succeeds_us_and_rooms_are_shared_meanwhile() {
    let below = std::env::temp_dir().join(format!("flintwell-succession-{}", std::process::id()));
    std::fs::create_dir_all(&below).expect("a folder");
    let store = Store::open(Some(&below), "n").expect("opened");
    let old = Succession::open(store.clone(), 1).expect("the old one");
    assert!(!old.another() && !old.succeeded());
    let room = Arc::new(Semaphore::new(10));
    let (sharing, (_stop, shutdown)) = ([(room.clone(), 10)], shutdown::new());
    let work = async {
        sleep(LOOK * 3).await;
        assert_eq!(room.available_permits(), 10);
        let new = Succession::open(store.clone(), 2).expect("the new one");
        assert!(old.another() && !old.succeeded(), "the new process does not serve yet");
        new.serves().expect("said");
        assert!(old.succeeded() && !new.succeeded());
        sleep(LOOK * 3).await;
        assert_eq!(room.available_permits(), 5);
        // As after a kill: the file remains, the lock does not.
        let Succession { file, lock, .. } = &new;
        assert!(store.path(file).is_some_and(|path| path.exists()));
        lock.as_ref().expect("a lock").unlock().expect("unlocked");
        assert!(!old.succeeded() && !old.another());
        sleep(LOOK * 3).await;
        assert_eq!(room.available_permits(), 10);
    };
    tokio::select! {
        () = old.share(&sharing, &shutdown) => {}
        () = work => {}
    }
    std::fs::remove_dir_all(&below).expect("cleared");
}
