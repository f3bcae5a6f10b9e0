use super::*;

#[tokio::test]
async fn connections_opened_for_a_burst_close_soon_and_one_stays() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = listener.local_addr().expect("its address");
    let work = async {
        let (pool, node) = (Pool::new(8, 1_000_000, 10_000_000), NodeId::from("n"));
        pool.place(&node, addr, 0.0, true);
        let mut links = Vec::new();
        let mut ends = Vec::new();
        for _ in 0..4 {
            links.push(pool.dial(&node).await.expect("a connection"));
            ends.push(listener.accept().await.expect("accepted"));
        }
        links.into_iter().for_each(|link| pool.give_back(&node, link));
        let open = || pool.nodes.borrow()[&node].idle.len();
        let before = open();
        let _ = timeout(SPARE_IDLE + SWEEP * 2, pool.sweep()).await;
        (before, open())
    };
    assert_eq!(tokio::task::LocalSet::new().run_until(work).await, (4, 1));
}

#[test]
fn idle_times_that_nodes_cut_short_are_found_and_single_resets_are_forgotten() {
    let pool = Pool::new(1, 1, 10_000_000);
    let use_at = |idle: u64, reset| pool.used_after(Duration::from_millis(idle), reset);
    let limit = || pool.idle_limit.get().as_millis();
    for n in 0..200 {
        let idle = n * 37 % 400;
        // As it does, only what is within the limit is used.
        if u128::from(idle) < limit() {
            use_at(idle, idle > 100);
        }
    }
    assert!((50..250).contains(&limit()), "{}", limit());
    for n in 0..400 {
        use_at(limit() as u64 * 3 / 4, n % 15 == 0);
    }
    assert_eq!(limit(), 8_500, "one in fifteen is no sign");
}
