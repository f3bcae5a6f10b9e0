use super::Calls;
use crate::process::clock::Clock;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

const SOON: Duration = Duration::from_millis(100); // for a connection on loopback to come up

#[test]
fn what_had_ended_before_all_was_given_up_is_never_told() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let mut calls = Calls::new(Clock::start());
        calls.connect(addr, None);
        sleep(SOON).await;
        calls.give_up();
        assert!(timeout(SOON, calls.ended()).await.is_err());
        calls.connect(addr, None);
        assert!(timeout(SOON, calls.ended()).await.is_ok(), "what comes after is told");
    });
}
