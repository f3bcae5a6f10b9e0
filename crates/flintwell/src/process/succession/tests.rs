use super::*;
use crate::process::shutdown;

#[tokio::test]
async fn successor_is_a_younger_running_process_that_serves_and_limits_are_shared_meanwhile() {
    let parent = std::env::temp_dir().join(format!("flintwell-succession-{}", std::process::id()));
    std::fs::create_dir_all(&parent).expect("create directory");
    let store = Store::open(Some(&parent), "n").expect("open store");
    let old = Succession::open(store.clone(), 1).expect("open old entry");
    assert!(!old.has_sibling() && !old.has_successor());
    let permits = Arc::new(Semaphore::new(10));
    let (limits, (_controller, shutdown)) = ([(permits.clone(), 10)], shutdown::channel());
    let work = async {
        sleep(POLL_INTERVAL * 3).await;
        assert_eq!(permits.available_permits(), 10);
        let new = Succession::open(store.clone(), 2).expect("open new entry");
        assert!(old.has_sibling() && !old.has_successor(), "the new process does not serve yet");
        new.mark_serving().expect("mark as serving");
        assert!(old.has_successor() && !new.has_successor());
        sleep(POLL_INTERVAL * 3).await;
        assert_eq!(permits.available_permits(), 5);
        // As after a kill: the file remains, the lock does not.
        let Succession { file, lock, .. } = &new;
        assert!(store.path(file).is_some_and(|path| path.exists()));
        lock.as_ref().expect("lock held").unlock().expect("unlock");
        assert!(!old.has_successor() && !old.has_sibling());
        sleep(POLL_INTERVAL * 3).await;
        assert_eq!(permits.available_permits(), 10);
    };
    tokio::select! {
        () = old.share_limits(&limits, &shutdown) => {}
        () = work => {}
    }
    std::fs::remove_dir_all(&parent).expect("remove directory");
}

#[tokio::test]
async fn process_that_stops_is_no_successor() {
    let parent = tempfile::tempdir().expect("create directory");
    let store = Store::open(Some(parent.path()), "n").expect("open store");
    let old = Succession::open(store.clone(), 1).expect("open old entry");
    let new = Succession::open(store, 2).expect("open new entry");
    assert_eq!((old.socket_server(), new.socket_server()), (SocketServer::None, SocketServer::None));
    old.mark_serving().expect("mark as serving");
    new.mark_serving().expect("mark as serving");
    assert_eq!((old.socket_server(), new.socket_server()), (SocketServer::Successor, SocketServer::Older));
    new.mark_stopping();
    assert_eq!(old.socket_server(), SocketServer::None);
    assert!(!old.has_successor() && old.has_sibling());
}
