use super::*;
use crate::process::shutdown;

fn has_sibling(process: &Succession) -> bool {
    !process.sibling_names().is_empty()
}

#[tokio::test]
async fn successor_is_a_younger_running_process_that_serves_and_limits_are_shared_meanwhile() {
    let parent = std::env::temp_dir().join(format!("flintwell-succession-{}", std::process::id()));
    std::fs::create_dir_all(&parent).expect("create directory");
    let store = Store::open(Some(&parent), "n").expect("open store");
    let old = Succession::open(store.clone(), 1).expect("open old entry");
    assert!(!has_sibling(&old) && !old.has_successor());
    let permits = Arc::new(Semaphore::new(10));
    let (limits, (_controller, shutdown)) = ([(permits.clone(), 10)], shutdown::channel());
    let work = async {
        sleep(POLL_INTERVAL * 3).await;
        assert_eq!(permits.available_permits(), 10);
        let new = Succession::open(store.clone(), 2).expect("open new entry");
        assert!(has_sibling(&old) && !old.has_successor(), "the new process does not serve yet");
        new.mark_serving().expect("mark as serving");
        assert!(old.has_successor() && !new.has_successor());
        sleep(POLL_INTERVAL * 3).await;
        assert_eq!(permits.available_permits(), 5);
        // As after a kill: the file remains, the lock does not.
        let Succession { file, lock, .. } = &new;
        assert!(store.path(file).is_some_and(|path| path.exists()));
        lock.as_ref().expect("lock held").unlock().expect("unlock");
        assert!(!old.has_successor() && !has_sibling(&old));
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
    assert!(!old.has_successor() && has_sibling(&old));
}

#[tokio::test]
async fn limits_are_divided_by_the_number_of_processes() {
    let parent = tempfile::tempdir().expect("create directory");
    let store = Store::open(Some(parent.path()), "n").expect("open store");
    let processes = [1, 2, 3].map(|start| Succession::open(store.clone(), start).expect("open entry"));
    let permits = Arc::new(Semaphore::new(12));
    let (limits, (_controller, shutdown)) = ([(permits.clone(), 12)], shutdown::channel());
    let [first, second, third] = processes;
    let work = async {
        sleep(POLL_INTERVAL * 3).await;
        assert_eq!(permits.available_permits(), 4);
        drop(third);
        sleep(POLL_INTERVAL * 3).await;
        assert_eq!(permits.available_permits(), 6);
        drop(second);
        sleep(POLL_INTERVAL * 3).await;
        assert_eq!(permits.available_permits(), 12);
    };
    tokio::select! {
        () = first.share_limits(&limits, &shutdown) => {}
        () = work => {}
    }
}
