use super::DiscoveryCalls;
use crate::process::clock::Clock;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(100); // for a connection over loopback

#[test]
fn completions_from_before_abort_all_are_dropped() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let mut calls = DiscoveryCalls::new(Clock::start(), Rc::default());
        calls.connect(addr, None);
        sleep(CONNECT_TIMEOUT).await;
        calls.abort_all();
        assert!(timeout(CONNECT_TIMEOUT, calls.next_completion()).await.is_err());
        calls.connect(addr, None);
        assert!(
            timeout(CONNECT_TIMEOUT, calls.next_completion()).await.is_ok(),
            "later completions are delivered"
        );
    });
}
