//! Scenario tests: the policy's normal behaviour, and a regression test for each failure found.

use crate::harness::*;
use flintwell_core::interface::*;
use flintwell_core::policy::Policy;

fn origin_id() -> NodeId {
    entry(0, NodeState::Ready, 0).node
}

fn restart_node(harness: &mut Harness, n: u32) {
    let now = harness.now();
    harness.update_list(ListUpdateKind::Delta, vec![entry(n, NodeState::Ready, now)]);
}

/// Starts a read of key `n` that misses at its cache.
fn start_missed_read(harness: &mut Harness, n: usize) -> RequestId {
    let id = harness.start_request(0, &format!("k{n}"), false);
    harness.end_attempt(&id, AttemptStatus::Miss);
    id
}

#[test]
fn concurrent_misses_are_coalesced_and_read_the_cache_that_the_leader_filled() {
    let mut harness = Harness::with_traffic(settings(), 5);
    let (a, b) = (harness.start_request(0, "k", false), harness.start_request(0, "k", false));
    let home = harness.current_node(&a);
    assert_eq!(harness.current_node(&b), home);
    harness.end_attempt(&a, AttemptStatus::Miss);
    harness.end_attempt(&b, AttemptStatus::Miss);
    assert_eq!((harness.current_node(&a), harness.current_node(&b)), (Some(origin_id()), None));
    harness.end_attempt(&a, AttemptStatus::Served);
    assert_eq!(harness.current_node(&b), home);
}

#[test]
fn followers_fetch_themselves_when_the_leader_fails_or_half_their_latency_target_has_passed() {
    let mut harness = Harness::new(settings(), 5);
    let ids: Vec<_> = (0..2).map(|_| harness.start_request(0, "k", false)).collect();
    ids.iter().for_each(|id| harness.end_attempt(id, AttemptStatus::Miss));
    harness.end_attempt(&ids[0], AttemptStatus::Error);
    assert_eq!(harness.current_node(&ids[1]), Some(origin_id()));
    let ids: Vec<_> = (0..2).map(|_| harness.start_request(0, "j", false)).collect();
    ids.iter().for_each(|id| harness.end_attempt(id, AttemptStatus::Miss));
    assert_eq!(harness.current_node(&ids[1]), None);
    harness.advance(305 * MS);
    assert_eq!(harness.current_node(&ids[1]), Some(origin_id()));
}

#[test]
fn a_write_is_sent_at_once_and_ends_the_coalescing_of_earlier_reads() {
    let mut harness = Harness::new(settings(), 5);
    let ids: Vec<_> = (0..2).map(|_| harness.start_request(0, "k", false)).collect();
    ids.iter().for_each(|id| harness.end_attempt(id, AttemptStatus::Miss));
    let write = harness.start_request(1, "k", true);
    assert_eq!(harness.current_node(&write), Some(origin_id()));
    // The held follower leads a new fetch that starts after the write.
    assert_eq!(harness.current_node(&ids[1]), Some(origin_id()));
}

#[test]
fn read_through_mode_holds_concurrent_reads_of_a_key_that_was_not_served_recently() {
    let mut harness = Harness::with_traffic(Settings { cache_aside: false, ..settings() }, 5);
    let (a, b) = (harness.start_request(0, "k", false), harness.start_request(0, "k", false));
    let home = harness.current_node(&a);
    assert_eq!(harness.current_node(&b), None);
    harness.end_attempt(&a, AttemptStatus::Served);
    assert_eq!(harness.current_node(&b), home);
    let c = harness.start_request(0, "k", false);
    assert_eq!(harness.current_node(&c), home);
}

#[test]
fn spare_is_used_when_the_home_has_two_in_flight_and_over_twice_the_mean() {
    let mut harness = Harness::with_traffic(settings(), 8);
    let ids: Vec<_> = (0..3).map(|_| harness.start_request(0, "k", false)).collect();
    assert_eq!(harness.current_node(&ids[0]), harness.current_node(&ids[1]));
    assert_ne!(harness.current_node(&ids[0]), harness.current_node(&ids[2]));
}

#[test]
fn removing_a_node_moves_only_its_keys() {
    let homes = |harness: &mut Harness| -> Vec<_> {
        let mut home = |n| {
            let id = harness.start_request(0, &format!("k{n}"), false);
            let home = harness.current_node(&id);
            harness.end_attempt(&id, AttemptStatus::Served);
            home
        };
        (0..200).map(&mut home).collect()
    };
    let mut harness = Harness::new(settings(), 6);
    let before = homes(&mut harness);
    harness.update_list(ListUpdateKind::Delta, vec![entry(3, NodeState::Gone, 0)]);
    let after = homes(&mut harness);
    let removed = Some(entry(3, NodeState::Ready, 0).node);
    assert!(before.iter().zip(&after).all(|(b, a)| *b == removed || a == b));
    assert!(before.contains(&removed) && !after.contains(&removed));
}

/// Guards against overload of a cold node whose share is derived from the requests sent to warm nodes, or
/// from their misses: in an overload both exceed what the warm nodes serve.
#[test]
fn a_cold_node_gets_less_than_a_warm_node_serves() {
    let mut harness = Harness::new(settings(), 4);
    restart_node(&mut harness, 2);
    let cold = entry(2, NodeState::Ready, 0).node;
    let (mut to_cold, mut served) = (0, 0);
    for n in 0..400 {
        let id = harness.start_request(0, &format!("k{n}"), false);
        to_cold += usize::from(harness.current_node(&id) == Some(cold.clone()));
        served += usize::from(n % 8 == 0);
        harness.end_attempt(&id, if n % 8 == 0 { AttemptStatus::Served } else { AttemptStatus::Miss });
        harness.advance(5 * MS);
    }
    assert!(to_cold > 0 && to_cold <= served / 3, "{to_cold} sent to the cold node, {served} served");
}

/// Guards against refusing reads when their home and spare are briefly full while the origin is idle. In
/// a burst, however, not every refusal of a cache may become a fetch.
#[test]
fn a_read_refused_by_home_and_spare_is_fetched_if_the_origin_has_capacity_and_refused_otherwise() {
    let mut harness = Harness::new(settings(), 6);
    for _ in 0..4 {
        let id = harness.start_request(0, "k", false);
        while harness.current_node(&id).is_some_and(|node| node != origin_id()) {
            harness.end_attempt(&id, AttemptStatus::Full);
        }
        assert_eq!(harness.current_node(&id), Some(origin_id()));
    }
    let next = harness.start_request(0, "k", false);
    assert_eq!(harness.final_answer(&next), Some("refused"));
    harness.advance(200 * MS);
    let later = harness.start_request(0, "k", false);
    assert!(harness.current_node(&later).is_some());
}

/// Guards against single refusals by an origin that is briefly full: each failed a request, and together
/// they cut the fetch limit to nothing.
#[test]
fn a_fetch_refused_by_the_origin_is_retried_unless_it_refuses_many() {
    let mut harness = Harness::new(settings(), 6);
    for n in 0..8 {
        let id = start_missed_read(&mut harness, n);
        harness.advance(60 * MS);
        harness.end_attempt(&id, AttemptStatus::Served);
    }
    let id = start_missed_read(&mut harness, 100);
    harness.end_attempt(&id, AttemptStatus::Full);
    let other = start_missed_read(&mut harness, 101);
    assert_eq!((harness.current_node(&id), harness.current_node(&other)), (None, Some(origin_id())));
    harness.advance(200 * MS);
    assert_eq!(harness.current_node(&id), Some(origin_id()));
    harness.end_attempt(&id, AttemptStatus::Served);
    let refused = (200..220).filter(|&n| {
        let id = start_missed_read(&mut harness, n);
        harness.end_attempt(&id, AttemptStatus::Full);
        harness.final_answer(&id) == Some("refused")
    });
    assert!(refused.count() >= 16, "fetches retried at an origin that refuses all");
}

/// Guards against mistaking an origin whose connection table is full for one without capacity: where other
/// proxies held all connections, a proxy with none open sent no fetches for 8 s.
#[test]
fn a_fetch_refused_on_a_new_connection_waits_for_an_open_one_and_leaves_the_fetch_limit() {
    let mut harness = Harness::new(settings(), 6);
    let (first, second) = (start_missed_read(&mut harness, 0), start_missed_read(&mut harness, 1));
    harness.end_attempt_on_connection(&second, AttemptStatus::Full, true);
    let third = start_missed_read(&mut harness, 2);
    assert_eq!([&first, &second, &third].map(|id| harness.current_node(id)), [Some(origin_id()), None, None]);
    harness.advance(30 * MS);
    harness.end_attempt(&first, AttemptStatus::Served);
    assert_eq!(harness.current_node(&second), Some(origin_id()), "sent on the connection that became free");
    harness.end_attempt(&second, AttemptStatus::Served);
    harness.end_attempt(&third, AttemptStatus::Served);
    for n in 10..30 {
        let id = start_missed_read(&mut harness, n);
        assert_eq!(harness.current_node(&id), Some(origin_id()), "sent at once as the only fetch in flight");
        harness.end_attempt_on_connection(&id, AttemptStatus::Full, true);
        harness.advance(200 * MS);
        harness.end_attempt(&id, AttemptStatus::Served);
    }
}

/// Guards against a metastable overload: overloaded nodes slow down, clients retry, and the load never falls
/// again.
#[test]
fn overloaded_caches_get_fewer_and_fewer_reads_and_all_of_them_after_recovery() {
    let mut harness = Harness::new(settings(), 6);
    let mut wave = |status| {
        let mut answered = 0;
        for n in 0..400 {
            let id = harness.start_request(0, &format!("k{n}"), false);
            answered += usize::from(harness.final_answer(&id).is_some());
            harness.advance(20 * MS);
            harness.end_attempt(&id, status);
            harness.end_attempt(&id, status);
            harness.advance(40 * MS);
        }
        answered
    };
    assert_eq!(wave(AttemptStatus::Served), 0);
    assert!(wave(AttemptStatus::Full) > 200);
    wave(AttemptStatus::Served);
    assert_eq!(wave(AttemptStatus::Served), 0);
}

/// Guards against an origin that keeps working on abandoned requests and is kept at capacity by writes and
/// their retries.
#[test]
fn an_origin_that_does_not_answer_gets_few_writes_until_it_recovers() {
    let mut harness = Harness::new(settings(), 3);
    let mut writes_sent = |answers: bool| {
        let ids: Vec<_> = (0..200)
            .map(|n| {
                let id = harness.start_request(1, &format!("w{n}"), true);
                harness.advance(30 * MS);
                if answers {
                    harness.in_flight().iter().for_each(|id| harness.end_attempt(id, AttemptStatus::Served));
                }
                id
            })
            .collect();
        harness.advance(2 * SECOND);
        ids.iter().filter(|id| !harness.host.0.borrow().requests[*id].attempts.is_empty()).count()
    };
    assert_eq!(writes_sent(true), 200);
    assert!(writes_sent(false) < 120);
    writes_sent(true);
    assert_eq!(writes_sent(true), 200);
}

#[test]
fn a_silent_node_is_ejected_and_later_probed_with_one_request() {
    let mut harness = Harness::with_traffic(settings(), 6);
    let id = harness.start_request(0, "k", false);
    let silent = harness.current_node(&id);
    harness.advance(400 * MS);
    harness.end_attempt(&id, AttemptStatus::Served);
    let other = harness.start_request(0, "k", false);
    assert!(harness.current_node(&other).is_some() && harness.current_node(&other) != silent);
    harness.end_attempt(&other, AttemptStatus::Served);
    harness.advance(300 * MS);
    let (probe, next) = (harness.start_request(0, "k", false), harness.start_request(0, "k", false));
    assert_eq!(harness.current_node(&probe), silent);
    assert_ne!(harness.current_node(&next), silent);
}

/// Guards against time-outs that count as answer times: each one at an unreachable node lengthened the
/// following ones until no time was left for another node.
#[test]
fn time_outs_at_silent_nodes_do_not_lengthen_later_time_outs() {
    let mut harness = Harness::new(settings(), 30);
    let timeouts: Vec<Micros> = (0..30)
        .filter_map(|n| {
            let id = harness.start_request(0, &format!("k{n}"), false);
            let timeout = harness.host.0.borrow().requests[&id]
                .attempts
                .last()
                .map(|a| a.times_out_at - a.started_at)?;
            harness.advance(timeout + 60 * MS);
            harness.end_attempt(&id, AttemptStatus::Served);
            Some(timeout)
        })
        .collect();
    assert!(timeouts.len() > 5);
    assert!(timeouts.iter().all(|timeout| *timeout <= timeouts[0] + 20 * MS), "{timeouts:?}");
}

/// Guards against detecting the loss of a zone one node at a time, and again whenever the ejection of a node
/// ends.
#[test]
fn a_silent_zone_is_probed_by_one_request_at_a_time_and_readmitted_at_its_first_answer() {
    let mut harness = Harness::new(settings(), 40);
    let sent_to_zone =
        |harness: &mut Harness, keys: std::ops::Range<usize>, status: AttemptStatus| -> usize {
            let mut to_zone = 0;
            for n in keys {
                let id = harness.start_request(0, &format!("k{n}"), false);
                while let Some(node) = harness.current_node(&id).filter(|node| *node != origin_id()) {
                    let in_zone = harness.host.0.borrow().nodes[&node].zone == 1;
                    to_zone += usize::from(in_zone);
                    harness.end_attempt(&id, if in_zone { status } else { AttemptStatus::Served });
                }
                harness.end_attempt(&id, AttemptStatus::Served);
                harness.advance(10 * MS);
            }
            to_zone
        };
    let lost = sent_to_zone(&mut harness, 0..200, AttemptStatus::TimedOut);
    assert!((3..12).contains(&lost), "{lost} sent to a lost zone");
    harness.advance(5 * SECOND);
    assert!(sent_to_zone(&mut harness, 200..400, AttemptStatus::Served) > 50);
}

#[test]
fn requests_above_a_tenants_quota_are_refused_and_those_within_it_are_not() {
    let mut harness =
        Harness::new(Settings { tenant_quotas_rps: vec![10.0], fleet_size: 2, ..settings() }, 2);
    let ids: Vec<_> = (0..40).map(|n| harness.start_request(0, &format!("k{n}"), false)).collect();
    assert!(harness.final_answer(&ids[0]).is_none());
    assert!(ids.iter().filter(|id| harness.final_answer(id).is_some()).count() >= 20);
}

#[test]
fn the_list_is_requested_again_after_a_failure() {
    let mut harness = Harness::new(settings(), 2);
    harness.policy.on_list_update(harness.now(), ListUpdateKind::Failed, Vec::new());
    harness.advance(3 * SECOND);
    assert!(harness.host.0.borrow().list_subscriptions >= 1);
}

/// Guards against a thundering herd at the list service: when 100 proxies started together, their calls came
/// together, 60 failed and were retried together, and most proxies never got the list.
#[test]
fn proxies_of_a_large_fleet_spread_their_list_requests_over_a_short_time() {
    let request_delay = |fleet_size: u32, seed: u64| -> Micros {
        let (host, now) = (ModelHost::default(), 3_600 * SECOND);
        let mut policy = Policy::new(now, Settings { fleet_size, ..settings() }, seed, host.clone());
        policy.on_list_update(now, ListUpdateKind::Restored, vec![entry(1, NodeState::Ready, 0)]);
        let state = host.0.borrow();
        if state.list_subscriptions > 0 {
            0
        } else {
            state.timers.iter().min().map_or(Micros::MAX, |timer| timer.0 - now)
        }
    };
    let delays: Vec<_> = (0..100).map(|seed| request_delay(100, seed)).collect();
    let within = |span: Micros| delays.iter().filter(|delay| **delay < span).count();
    assert!(within(500 * MS) < 35 && within(3_001 * MS) == 100, "{delays:?}");
    assert!(
        (0..100).all(|seed| request_delay(4, seed) <= 120 * MS && request_delay(1_000, seed) <= 8 * SECOND)
    );
    // A discovery service that needs 5 to 8 s to serve one call from each of 300 proxies cannot take all 300
    // within 3 s: each refused call costs it work and is retried. Hence the bound on the calls in any second.
    let max_per_second = |fleet| {
        let seconds: Vec<_> = (0..300).map(|seed| request_delay(fleet, seed) / SECOND).collect();
        (0..10).map(|second| seconds.iter().filter(|at| **at == second).count()).max().expect("ten seconds")
    };
    assert!(
        max_per_second(300) <= 60 && max_per_second(1_000) <= 60,
        "calls of 300 proxies in one second: {} and {}",
        max_per_second(300),
        max_per_second(1_000)
    );
}

/// Guards against a mean answer time that a few slow nodes raise, so that reads for idle nodes are refused,
/// and against a slow home that keeps its reads.
#[test]
fn a_slow_node_is_passed_over_and_idle_nodes_keep_their_reads() {
    let mut harness = Harness::new(settings(), 6);
    let first = harness.start_request(0, "k", false);
    let slow = harness.current_node(&first);
    harness.end_attempt(&first, AttemptStatus::Served);
    for n in 0..120 {
        let id = harness.start_request(0, &format!("k{n}"), false);
        assert_ne!(harness.final_answer(&id), Some("refused"), "only the slow node is overloaded");
        let latency_ms = if harness.current_node(&id) == slow { 170 } else { 5 };
        harness.advance(latency_ms * MS);
        harness.end_attempt(&id, AttemptStatus::Served);
    }
    let (probe, next) = (harness.start_request(0, "k", false), harness.start_request(0, "k", false));
    assert_eq!(harness.current_node(&probe), slow, "one request probes it when none is in flight there");
    assert_ne!(harness.current_node(&next), slow);
}

/// Guards against counting the network latency to another zone as overload: it is most of a short latency
/// target, so that idle nodes there were passed over.
#[test]
fn a_distant_node_is_not_considered_overloaded() {
    let mut harness = Harness::with_traffic(settings(), 2);
    for n in 0..40 {
        let pair = [(); 2].map(|()| harness.start_request(0, "k", false));
        assert!(
            pair.iter().all(|id| harness.current_node(id).is_some_and(|node| node != origin_id())),
            "round {n}"
        );
        harness.advance(150 * MS);
        pair.iter().for_each(|id| harness.end_attempt(id, AttemptStatus::Served));
    }
}

/// Guards against a node that answers most requests with an immediate error: it appears fast and idle and
/// keeps its keys.
#[test]
fn a_node_is_ejected_for_repeated_errors_but_not_for_a_single_one() {
    for always_fails in [true, false] {
        let (mut harness, mut sent) = (Harness::new(settings(), 6), 0);
        let first = harness.start_request(0, "k", false);
        let faulty = harness.current_node(&first);
        harness.end_attempt(&first, AttemptStatus::Served);
        for n in 0..100 {
            let id = harness.start_request(0, "k", false);
            if harness.current_node(&id) == faulty {
                sent += 1;
                harness.end_attempt(
                    &id,
                    if always_fails || n == 10 { AttemptStatus::Error } else { AttemptStatus::Served },
                );
            }
            harness.end_attempt(&id, AttemptStatus::Served);
            harness.advance(10 * MS);
        }
        assert!(if always_fails { sent < 15 } else { sent > 60 }, "sent {sent} requests");
    }
}

/// Guards against failing a request for an invalid response of the origin while there is time for a retry,
/// and against lowering the fetch limit for it.
#[test]
fn an_invalid_response_of_the_origin_is_retried_where_the_class_allows_it() {
    let mut harness = Harness::new(settings(), 3);
    let (read, unsafe_write) = (harness.start_request(0, "k", false), harness.start_request(4, "j", true));
    harness.end_attempt(&read, AttemptStatus::Miss);
    harness.end_attempt(&read, AttemptStatus::InvalidResponse);
    assert_eq!(harness.current_node(&read), Some(origin_id()));
    let writes: Vec<_> = (0..3).map(|n| harness.start_request(1, &format!("w{n}"), true)).collect();
    writes.iter().for_each(|write| harness.end_attempt(write, AttemptStatus::Full));
    harness.end_attempt(&read, AttemptStatus::Full);
    assert_eq!(harness.final_answer(&read), Some("refused"), "no retry at an origin at its fetch limit");
    harness.end_attempt(&unsafe_write, AttemptStatus::InvalidResponse);
    assert_eq!(harness.final_answer(&unsafe_write), Some("failed"));
}

/// Guards against single lost connections that lower the fetch limit: one in ten fell silent while the origin
/// was idle.
#[test]
fn single_time_outs_keep_the_fetch_limit_and_an_unresponsive_origin_lowers_it() {
    let mut harness = Harness::new(settings(), 3);
    let mut burst = |answered_per_ten: usize| {
        let ids: Vec<_> = (0..40).map(|n| harness.start_request(1, &format!("w{n}"), true)).collect();
        let sent_at_once = ids.iter().filter(|id| harness.current_node(id).is_some()).count();
        for _ in 0..40 {
            harness.advance(31 * MS);
            for (n, id) in harness.in_flight().iter().enumerate() {
                harness.end_attempt(
                    id,
                    if n % 10 < answered_per_ten { AttemptStatus::Served } else { AttemptStatus::TimedOut },
                );
            }
        }
        sent_at_once
    };
    let healthy: Vec<_> = (0..30).map(|_| burst(9)).collect();
    assert!(healthy[20..].iter().all(|sent| *sent >= 30), "{healthy:?}");
    let stopped: Vec<_> = (0..30).map(|_| burst(0)).collect();
    assert!(stopped[20..].iter().all(|sent| *sent <= 2), "{stopped:?}");
}

/// Settings of one proxy among 400, whose own traffic is sparse.
fn large_fleet() -> Settings {
    Settings { fleet_size: 400, proxy_index: 123, ..settings() }
}

/// Guards against overload of a hot key's home by hundreds of proxies, of which none has two requests in
/// flight there.
#[test]
fn a_proxy_of_a_large_fleet_spreads_a_key_that_it_requests_often() {
    let mut harness = Harness::new(large_fleet(), 8);
    let mut caches: Vec<_> = (0..40)
        .map(|n| {
            let id =
                harness.start_request(0, &if n % 2 == 0 { "hot".into() } else { format!("k{n}") }, false);
            let cache = harness.current_node(&id).filter(|_| n % 2 == 0);
            harness.end_attempt(&id, AttemptStatus::Served);
            harness.advance(100 * MS);
            cache
        })
        .collect();
    caches.sort();
    caches.dedup();
    assert!(caches.iter().flatten().count() >= 3, "{caches:?}");
}

/// Guards against overload of a cold home by hundreds of proxies that each send it the keys they requested
/// before. Sending it nothing at all is no remedy: 30 cold nodes stayed idle while 30 warm ones refused half
/// of all requests.
#[test]
fn a_proxy_of_a_large_fleet_sends_a_cold_node_requests_by_its_warmth_and_none_that_others_refused() {
    let mut harness = Harness::new(large_fleet(), 30);
    let cold = Some(entry(2, NodeState::Ready, 0).node);
    let to_cold = |harness: &mut Harness, keys: std::ops::Range<usize>, others_full: bool| -> usize {
        let mut to_cold = 0;
        for n in keys {
            let id = harness.start_request(0, &format!("k{}", n % 200), false);
            to_cold += usize::from(harness.current_node(&id) == cold);
            // The other caches refuse; the cold node may only be a request's first choice.
            while others_full
                && harness.current_node(&id).is_some_and(|node| node != origin_id() && Some(node) != cold)
            {
                harness.end_attempt(&id, AttemptStatus::Full);
                assert!(harness.current_node(&id) != cold, "a request that other nodes refused");
            }
            harness.end_attempt(&id, if n % 3 == 0 { AttemptStatus::Served } else { AttemptStatus::Miss });
            harness.end_attempt(&id, AttemptStatus::Served);
            harness.advance(20 * MS);
        }
        to_cold
    };
    let warm = to_cold(&mut harness, 0..1_000, false);
    // Five times 4 s give the same 20 s as above, so that a few requests by chance do not decide the result.
    let mut warming = 0;
    for _ in 0..5 {
        restart_node(&mut harness, 2);
        harness.advance(3 * SECOND);
        warming += to_cold(&mut harness, 0..200, false);
    }
    assert!(
        warm > 20 && warming > 0 && warming < warm,
        "{warming} in five times 4 s while warming, {warm} in 20 s while warm"
    );
    restart_node(&mut harness, 2);
    harness.advance(3 * SECOND);
    assert!(to_cold(&mut harness, 0..200, true) <= warm / 5);
}

/// Guards against overload of a cold node by one hot key: 4.5 s after its start a node was sent 47 requests
/// within 1.5 s, five times its capacity, all of one locked key.
#[test]
fn a_large_fleet_sends_a_hot_key_to_warm_nodes_only() {
    let mut harness = Harness::new(large_fleet(), 30);
    let reads = |harness: &mut Harness, count: usize| -> Vec<Option<NodeId>> {
        let read = |_| {
            let id = harness.start_request(0, "hot", false);
            let node = harness.current_node(&id);
            harness.end_attempt(&id, AttemptStatus::Served);
            harness.advance(20 * MS);
            node
        };
        (0..count).map(read).collect()
    };
    reads(&mut harness, 60);
    (2..=20).for_each(|n| restart_node(&mut harness, n));
    harness.advance(3 * SECOND);
    let cold: Vec<_> = (2..=20).map(|n| Some(entry(n, NodeState::Ready, 0).node)).collect();
    let sent = reads(&mut harness, 100);
    assert!(sent.iter().all(|node| node.is_some() && !cold.contains(node)), "{sent:?}");
}

/// Guards against overload of cold nodes in a burst: a large fleet sends them requests in proportion to its
/// arrivals, which in a burst exceeds their capacity.
#[test]
fn a_large_fleet_sends_a_cold_node_less_in_an_overload() {
    let to_cold = |overload: bool| -> usize {
        let mut harness = Harness::new(Settings { ramp_time: 40 * SECOND, ..large_fleet() }, 10);
        restart_node(&mut harness, 2);
        harness.advance(10 * SECOND);
        let cold = Some(entry(2, NodeState::Ready, 0).node);
        let mut to_cold = 0;
        for n in 0..1_000 {
            let id = harness.start_request(0, &format!("k{n}"), false);
            to_cold += usize::from(harness.current_node(&id) == cold);
            while overload && n % 5 > 0 && harness.current_node(&id).is_some_and(|node| node != origin_id()) {
                harness.end_attempt(&id, AttemptStatus::Full);
            }
            harness.end_attempt(&id, AttemptStatus::Served);
            harness.advance(20 * MS);
        }
        to_cold
    };
    let (normal, overload) = (to_cold(false), to_cold(true));
    assert!(normal > 10 && overload < normal / 4, "{overload} in an overload, {normal} at normal load");
}

/// Guards against spending every attempt on caches: a read refused by three caches and missed at a fourth had
/// none left for its fetch.
#[test]
fn the_last_attempt_of_a_read_goes_to_an_origin_with_capacity() {
    let mut harness = Harness::new(large_fleet(), 30);
    let id = harness.start_request(0, "k", false);
    for _ in 0..3 {
        assert_ne!(harness.current_node(&id), Some(origin_id()));
        harness.end_attempt(&id, AttemptStatus::Full);
    }
    assert_eq!(harness.current_node(&id), Some(origin_id()));
}

/// Guards against too few slots per node, which gave some of 100 nodes twice the share of others.
#[test]
fn keys_are_spread_evenly_over_more_than_a_hundred_nodes() {
    let mut harness = Harness::new(settings(), 119);
    let mut counts = std::collections::BTreeMap::new();
    for n in 0..11_900 {
        let id = harness.start_request(0, &format!("k{n}"), false);
        *counts.entry(harness.current_node(&id)).or_insert(0) += 1;
        harness.end_attempt(&id, AttemptStatus::Served);
    }
    assert!(counts.len() == 119 && counts.values().all(|n| (55..150).contains(n)), "{counts:?}");
}

/// Guards against the idle connections of a large fleet that fill the nodes' connection tables and slow the
/// nodes down.
#[test]
fn a_large_fleet_keeps_no_idle_connections_where_these_are_costly() {
    for (fleet_size, expected_closes) in [(4, 0), (400, 1)] {
        let mut harness = Harness::new(Settings { fleet_size, connection_cost: 0.01, ..settings() }, 5);
        let id = harness.start_request(0, "k", false);
        harness.end_attempt(&id, AttemptStatus::Served);
        assert_eq!(harness.host.0.borrow().idle_closes, expected_closes);
    }
}

/// Guards against a fetch limit that falls too slowly: a burst of hundreds of proxies stopped the origin
/// while each lowered its limit by only a fifth per second.
#[test]
fn a_proxy_that_rarely_fetches_lowers_its_fetch_limit_at_the_first_time_out() {
    let mut harness = Harness::new(large_fleet(), 8);
    for n in 0..3 {
        let write = harness.start_request(1, &format!("k{n}"), true);
        harness.advance(if n == 0 { 30 * MS } else { 3 * SECOND });
        harness.end_attempt(&write, if n == 0 { AttemptStatus::Served } else { AttemptStatus::TimedOut });
    }
    let ids: Vec<_> = (10..14).map(|n| harness.start_request(1, &format!("k{n}"), true)).collect();
    assert_eq!(ids.iter().filter(|id| harness.current_node(id).is_some()).count(), 1);
}

/// The origin and caches 1 to 6, alternately of a large and a small kind, with the given weights.
fn weighted_entries(weight: impl Fn(u32) -> f64) -> Vec<NodeEntry> {
    let kind = |n: u32| if n == 0 { ORIGIN_KIND } else { 2 + n % 2 };
    (0..7).map(|n| NodeEntry { kind: kind(n), weight: weight(n), ..entry(n, NodeState::Ready, 0) }).collect()
}

/// The nodes to which reads of 200 keys are sent; all reads are served.
fn homes(harness: &mut Harness) -> Vec<Option<NodeId>> {
    let home = |n| {
        let id = harness.start_request(0, &format!("h{n}"), false);
        let home = harness.current_node(&id);
        harness.end_attempt(&id, AttemptStatus::Served);
        home
    };
    (0..200).map(home).collect()
}

/// Guards against ignoring capacities, which overloads small nodes, and against assigning homes by momentary
/// weights, which moves them as the load changes.
#[test]
fn capacity_is_the_largest_weight_listed_for_a_kind_and_load_does_not_move_homes() {
    let mut harness = Harness::new(Settings { weight_mode: WeightMode::Live, ..large_fleet() }, 0);
    harness.update_list(ListUpdateKind::Snapshot, weighted_entries(|n| if n % 2 == 0 { 0.5 } else { 4.0 }));
    let idle = homes(&mut harness);
    let large = idle
        .iter()
        .flatten()
        .filter(|node| (1..7).step_by(2).any(|n| **node == entry(n, NodeState::Ready, 0).node));
    assert!(large.count() > 140, "{idle:?}");
    harness.update_list(
        ListUpdateKind::Delta,
        weighted_entries(|n| if n % 2 == 0 { 0.4 } else { 2.0 + f64::from(n) / 10.0 }),
    );
    assert_eq!(idle, homes(&mut harness));
}

/// Guards against a zero, negative, infinite or NaN weight, which left a node without keys or gave it all of
/// them.
#[test]
fn an_invalid_weight_leaves_every_node_its_share() {
    for weight_mode in [WeightMode::Live, WeightMode::Declared] {
        for weight in [0.0, -1.0, f64::NAN, f64::INFINITY] {
            let mut harness = Harness::new(Settings { weight_mode, ..large_fleet() }, 0);
            harness.update_list(
                ListUpdateKind::Snapshot,
                weighted_entries(|n| if n == 3 || n % 2 == 0 { weight } else { 1.0 }),
            );
            let homes = homes(&mut harness);
            let share = |n| {
                homes.iter().flatten().filter(|node| **node == entry(n, NodeState::Ready, 0).node).count()
            };
            assert!((1..7).all(|n| (8..80).contains(&share(n))), "{weight_mode:?} {weight}: {homes:?}");
        }
    }
}

/// Guards against overload of a hot key's home that no single proxy can see: each of hundreds requests the
/// key only every few seconds.
#[test]
fn a_node_listed_with_reduced_weight_loses_a_share_of_its_reads_until_its_weight_recovers() {
    let mut harness = Harness::new(Settings { weight_mode: WeightMode::Live, ..large_fleet() }, 0);
    let loaded = entry(1, NodeState::Ready, 0).node;
    let reads_at_loaded = |harness: &mut Harness, weight: f64| {
        harness.update_list(ListUpdateKind::Delta, weighted_entries(|n| if n == 1 { weight } else { 1.0 }));
        homes(harness).iter().flatten().filter(|node| **node == loaded).count()
    };
    harness.update_list(ListUpdateKind::Snapshot, weighted_entries(|_| 1.0));
    let before = reads_at_loaded(&mut harness, 1.0);
    let (first, second) = (reads_at_loaded(&mut harness, 0.1), reads_at_loaded(&mut harness, 0.1));
    assert!(first < before * 3 / 4 && first > before / 5 && second < first, "{before} {first} {second}");
    for _ in 0..20 {
        harness.update_list(ListUpdateKind::Delta, weighted_entries(|_| 1.0));
    }
    assert_eq!(reads_at_loaded(&mut harness, 1.0), before);
}

/// Guards against needless cross-zone attempts: three of five requests crossed zones, at a cost of a tenth of
/// their worth.
#[test]
fn homes_are_in_the_proxys_zone_where_crossing_is_costly_unless_no_cache_is_listed_there() {
    let mut harness = Harness::new(Settings { cross_zone_cost: 0.1, ..settings() }, 6);
    let in_own_zone =
        |node: &Option<NodeId>| (0..7).step_by(2).any(|n| *node == Some(entry(n, NodeState::Ready, 0).node));
    assert!(homes(&mut harness).iter().all(in_own_zone));
    for caches in [vec![1], vec![2], vec![]] {
        let mut list = vec![entry(0, NodeState::Ready, 0)];
        list.extend(caches.iter().map(|&n| entry(n, NodeState::Ready, 0)));
        harness.update_list(ListUpdateKind::Snapshot, list);
        assert_eq!(homes(&mut harness).iter().flatten().count(), 200);
    }
}

/// Guards against sending a restricted class to a node of another kind: in a deployment that serves chart
/// requests on one kind only, they went to any kind from 30 ms after the start of each run.
#[test]
fn a_restricted_class_is_sent_only_to_its_nodes_or_the_origin_even_if_all_its_nodes_drain() {
    let mut harness = Harness::new(settings(), 6);
    let send = |harness: &mut Harness, class: usize, key: &str| {
        let id = harness.start_request(class, key, false);
        (harness.current_node(&id), id)
    };
    let allowed = [1, 3, 5].map(|n| Some(entry(n, NodeState::Ready, 0).node));
    for n in 0..40 {
        let (node, id) = send(&mut harness, 5, &format!("k{n}"));
        assert!(allowed.contains(&node), "{node:?}");
        // The harness checks the nodes of the retries.
        [AttemptStatus::Full, AttemptStatus::Error, AttemptStatus::Served]
            .iter()
            .for_each(|&status| harness.end_attempt(&id, status));
        harness.advance(SECOND);
    }
    // An unrestricted leader misses at a node that its follower's class excludes.
    let key = (0..).map(|n| format!("j{n}")).find(|key| {
        let (node, id) = send(&mut harness, 0, key);
        harness.end_attempt(&id, AttemptStatus::Served);
        node.is_some_and(|node| (2..=6).step_by(2).any(|n| entry(n, NodeState::Ready, 0).node == node))
    });
    let key = key.expect("a key with its home in the first zone");
    let (leader, follower) = (send(&mut harness, 0, &key).1, send(&mut harness, 5, &key).1);
    harness.end_attempt(&leader, AttemptStatus::Miss);
    harness.end_attempt(&follower, AttemptStatus::Miss);
    harness.end_attempt(&leader, AttemptStatus::Served);
    assert_eq!(harness.current_node(&follower), Some(origin_id()), "not the leader's cache");
    for n in [1, 3, 5] {
        harness.update_list(ListUpdateKind::Delta, vec![entry(n, NodeState::Draining, 0)]);
    }
    assert_eq!(send(&mut harness, 5, "late").0, Some(origin_id()));
}

/// Guards against errors of listed start times, as clocks differ: a node listed with a start 10 s too early
/// got all its keys as if it were warm. Assuming the latest possible start alone would leave a node that is
/// listed at once idle for 10 s.
#[test]
fn a_listed_start_time_counts_as_the_latest_possible_one() {
    for (max_error_s, listed_after_s, waited_s, is_warm) in
        [(0, 9, 0, true), (10, 9, 0, false), (10, 9, 4, false), (10, 9, 9, true), (10, 0, 9, true)]
    {
        let mut harness =
            Harness::with_traffic(Settings { max_start_time_error: max_error_s * SECOND, ..settings() }, 4);
        let started_at = harness.now() - listed_after_s * SECOND;
        harness.update_list(ListUpdateKind::Delta, vec![entry(3, NodeState::Ready, started_at)]);
        harness.advance(waited_s * SECOND);
        // Listed again with the same start time, it has not restarted.
        harness.update_list(ListUpdateKind::Delta, vec![entry(3, NodeState::Ready, started_at)]);
        let sent = (0..80).filter(|n| {
            let id = harness.start_request(0, &format!("k{n}"), false);
            let node = harness.current_node(&id);
            harness.advance(20 * MS);
            harness.end_attempt(&id, AttemptStatus::Served);
            node == Some(entry(3, NodeState::Ready, 0).node)
        });
        let sent = sent.count();
        assert!(
            if is_warm { sent > 12 } else { sent < 12 },
            "{sent} sent with a maximum error of {max_error_s} s, listed after {listed_after_s} s, waited \
             {waited_s} s",
        );
    }
}

/// Guards against an origin's connection table that is full of idle connections and of those with long
/// responses in progress: proxies without an open connection were refused five times out of six.
#[test]
fn idle_connections_to_an_origin_are_closed_while_it_refuses_new_ones() {
    let mut harness = Harness::new(settings(), 6);
    let closes = |harness: &mut Harness, n: usize, refused: bool| {
        let id = start_missed_read(harness, n);
        if refused {
            harness.end_attempt_on_connection(&id, AttemptStatus::Full, true);
            harness.advance(200 * MS);
        }
        let before = harness.host.0.borrow().idle_closes;
        harness.end_attempt(&id, AttemptStatus::Served);
        harness.host.0.borrow().idle_closes - before
    };
    assert_eq!(closes(&mut harness, 0, false), 0, "kept while no connection is refused");
    assert_eq!((closes(&mut harness, 1, true), closes(&mut harness, 2, false)), (1, 1));
    harness.advance(6_000 * MS);
    assert_eq!(closes(&mut harness, 3, false), 0, "kept again some seconds after the last refusal");
}

/// Guards against closing the connection to the origin after every fetch, and all connections to the nodes
/// with the most requests.
#[test]
fn a_large_fleet_keeps_connections_to_the_origin_and_to_the_nodes_with_most_requests() {
    let mut harness = Harness::new(Settings { connection_cost: 0.01, ..large_fleet() }, 5);
    for n in 0..60 {
        let id = harness.start_request(0, &format!("k{n}"), false);
        harness.end_attempt(&id, AttemptStatus::Miss);
        let closes = harness.host.0.borrow().idle_closes;
        harness.end_attempt(&id, AttemptStatus::Served);
        assert_eq!(harness.host.0.borrow().idle_closes, closes, "connection to the origin closed");
    }
    assert_eq!(harness.host.0.borrow().idle_closes, 60);
    let mut harness = Harness::new(Settings { connection_cost: 0.01, fleet_size: 300, ..settings() }, 40);
    (0..200).for_each(|n| {
        let id = harness.start_request(1, &format!("k{n}"), false);
        harness.end_attempt(&id, AttemptStatus::Served);
    });
    let before = harness.host.0.borrow().idle_closes;
    for n in 0..100 {
        let id = harness.start_request(0, "hot", false);
        harness.end_attempt(&id, AttemptStatus::Served);
        assert!(
            n < 60 || harness.host.0.borrow().idle_closes < before + 90,
            "connections to the hot key's nodes closed"
        );
    }
}

/// Guards against giving small nodes the same share as large ones: every sixth request there timed out.
#[test]
fn a_slow_kind_of_node_gets_fewer_keys_where_the_list_has_no_weights() {
    let mut harness = Harness::new(settings(), 0);
    harness.update_list(ListUpdateKind::Snapshot, weighted_entries(|_| 1.0));
    let is_slow =
        |node: &Option<NodeId>| (2..7).step_by(2).any(|n| *node == Some(entry(n, NodeState::Ready, 0).node));
    let before = homes(&mut harness).iter().filter(|node| is_slow(node)).count();
    for n in 0..1_500 {
        let id = harness.start_request(0, &format!("k{n}"), false);
        let node = harness.current_node(&id);
        harness.advance(if is_slow(&node) { 80 } else { 40 } * MS);
        harness.end_attempt(&id, AttemptStatus::Served);
    }
    let after = homes(&mut harness).iter().filter(|node| is_slow(node)).count();
    assert!(after * 5 < before * 4, "{before} before, {after} after");
}

/// Guards against a slow recovery of the fetch limit: after the origin had recovered, each proxy kept to one
/// fetch in several seconds for as long as the overload had lasted.
#[test]
fn a_recovered_origin_gets_its_fetches_back_at_once() {
    let mut harness = Harness::new(settings(), 6);
    let mut batch = 0;
    let mut fetched = |harness: &mut Harness, rounds: usize, latency: Micros| -> usize {
        let mut fetched = 0;
        for _ in 0..rounds {
            let ids: Vec<_> = (0..4).map(|n| start_missed_read(harness, 1_000_000 + batch * 4 + n)).collect();
            batch += 1;
            harness.advance(latency);
            for id in &ids {
                fetched += usize::from(harness.current_node(id) == Some(origin_id()));
                harness.end_attempt(id, AttemptStatus::Served);
            }
        }
        fetched
    };
    let before = fetched(&mut harness, 50, 20 * MS);
    fetched(&mut harness, 30, 700 * MS);
    fetched(&mut harness, 50, 20 * MS);
    let recovered = fetched(&mut harness, 50, 20 * MS);
    assert!(
        recovered * 10 > before * 8,
        "{before} fetched before the overload, {recovered} one second after recovery"
    );
}

/// Guards against shedding reads while the origin has capacity: a few warm caches shed most reads while the
/// fetches in flight were a fifth of the limit.
#[test]
fn reads_that_overloaded_caches_shed_go_to_an_origin_with_capacity() {
    let mut harness = Harness::new(settings(), 6);
    let (mut shed, mut shed_with_idle_origin) = (0, 0);
    for wave in 0..20 {
        let mut sent: Vec<RequestId> = Vec::new();
        for n in 0..40 {
            let id = harness.start_request(0, &format!("k{wave} {n}"), false);
            if harness.final_answer(&id).is_some() {
                shed += 1;
                let fetched = sent.iter().filter(|id| harness.current_node(id) == Some(origin_id())).count();
                shed_with_idle_origin += usize::from(fetched < 4);
            }
            sent.push(id);
        }
        // The origin answers quickly, the caches slowly as before.
        harness.advance(20 * MS);
        for id in sent
            .iter()
            .filter(|id| harness.current_node(id) == Some(origin_id()))
            .cloned()
            .collect::<Vec<_>>()
        {
            harness.end_attempt(&id, AttemptStatus::Served);
        }
        harness.advance(280 * MS);
        sent.iter().for_each(|id| harness.end_attempt(id, AttemptStatus::Served));
    }
    assert!(
        shed > 10 && shed_with_idle_origin == 0,
        "{shed} reads shed, {shed_with_idle_origin} of them with an idle origin",
    );
}

#[test]
fn count_of_avoided_caches_has_no_side_effect_and_excludes_the_origin() {
    let mut harness = Harness::new(settings(), 4);
    assert_eq!(harness.policy.count_avoided_caches(harness.now()), 0);
    let draining = [entry(1, NodeState::Draining, 0), entry(0, NodeState::Draining, 0)];
    harness.update_list(ListUpdateKind::Delta, draining.to_vec());
    assert_eq!(harness.policy.count_avoided_caches(harness.now()), 1, "one draining cache");
    harness.update_list(ListUpdateKind::Delta, vec![entry(0, NodeState::Ready, 0)]);
    let silent = harness.start_request(0, "k", false);
    harness.end_attempt(&silent, AttemptStatus::TimedOut);
    assert_eq!(harness.policy.count_avoided_caches(harness.now()), 2, "one draining and one silent cache");
    harness.update_list(ListUpdateKind::Delta, vec![entry(1, NodeState::Gone, 0)]);
    harness.advance(5 * SECOND);
    assert_eq!(
        harness.policy.count_avoided_caches(harness.now()),
        0,
        "one cache gone, the ejection of the other over"
    );
}

#[test]
fn requests_in_flight_keep_their_settings_when_the_settings_change() {
    let mut harness = Harness::with_traffic(settings(), 4);
    let read = harness.start_request(0, "k", false);
    // From now on requests of the first class must run at most once and have a single attempt.
    let mut changed = settings();
    (changed.classes[0].idempotency, changed.max_attempts) = (Idempotency::Unsafe, 1);
    harness.apply_settings(changed);
    let later = harness.start_request(0, "another", true);
    harness.advance(5 * MS);
    harness.end_attempt(&read, AttemptStatus::Reset);
    assert!(harness.current_node(&read).is_some(), "started as safe, with four attempts");
    harness.end_attempt(&later, AttemptStatus::Reset);
    harness.apply_settings(settings());
    harness.end_attempt(&read, AttemptStatus::Served);
    harness.advance(2 * SECOND);
    assert_eq!(harness.final_answer(&later), Some("failed"), "started as unsafe, with one attempt");
    assert_eq!(harness.final_answer(&read), Some("served"));
}

#[test]
fn the_fetch_limit_survives_a_change_of_settings() {
    let fetches_after_refusals = |change_settings: bool| {
        let mut harness = Harness::new(settings(), 4);
        let fetch = |harness: &mut Harness, n: usize, status| {
            let id = harness.start_request(0, &format!("k{n}"), false);
            harness.advance(MS);
            harness.end_attempt(&id, AttemptStatus::Miss);
            harness.advance(100 * MS);
            harness.end_attempt(&id, status);
        };
        (0..40).for_each(|n| fetch(&mut harness, n, AttemptStatus::Full));
        if change_settings {
            harness.apply_settings(settings());
        }
        // Many new keys at once: the number fetched shows the fetch limit.
        let ids: Vec<RequestId> =
            (0..30).map(|n| harness.start_request(0, &format!("new {n}"), false)).collect();
        harness.advance(MS);
        ids.iter().for_each(|id| harness.end_attempt(id, AttemptStatus::Miss));
        let origin = entry(0, NodeState::Ready, 0).node;
        ids.iter().filter(|id| harness.current_node(id).as_ref() == Some(&origin)).count()
    };
    assert_eq!(fetches_after_refusals(true), fetches_after_refusals(false));
    assert!(fetches_after_refusals(false) < 8, "{}", fetches_after_refusals(false));
}

/// Guards against flooding an origin at capacity with refused fetches: 12 proxies sent an origin with
/// capacity for six proxies 13 attempts for each fetch that it accepted. A refusal takes no time, so a limit
/// on concurrent fetches does not hold them back.
#[test]
fn refused_fetches_are_bounded_by_the_fetches_that_the_origin_accepted() {
    let mut harness = Harness::new(settings(), 6);
    let (mut accepted, mut refused) = (0, 0);
    // Ten seconds of reads of new keys, of which the origin accepts one every 250 ms.
    for n in 0..1_000 {
        let id = harness.start_request(0, &format!("new {n}"), false);
        harness.advance(MS);
        harness.end_attempt(&id, AttemptStatus::Miss);
        for attempted in harness.in_flight() {
            if harness.current_node(&attempted) != Some(entry(0, NodeState::Ready, 0).node) {
                continue;
            }
            let accepts = n % 25 == 0;
            harness.advance(MS);
            harness
                .end_attempt(&attempted, if accepts { AttemptStatus::Served } else { AttemptStatus::Full });
            (accepted, refused) = (accepted + usize::from(accepts), refused + usize::from(!accepts));
        }
        harness.advance(8 * MS);
    }
    assert!(accepted > 0 && refused < 10 + 4 * accepted.max(20), "{refused} refused, {accepted} accepted");
    // After its recovery it gets every fetch within 1.5 s.
    let mut unserved = 0;
    for n in 0..300 {
        let id = harness.start_request(0, &format!("after {n}"), false);
        harness.advance(MS);
        harness.end_attempt(&id, AttemptStatus::Miss);
        harness.advance(5 * MS);
        for attempted in harness.in_flight() {
            harness.end_attempt(&attempted, AttemptStatus::Served);
        }
        harness.advance(4 * MS);
        unserved += usize::from(n > 150 && harness.final_answer(&id) != Some("served"));
    }
    assert_eq!(unserved, 0, "reads not served 1.5 s after the origin recovered");
}

/// Guards against a fetch by every follower when the leader's client disconnects: one of them becomes the
/// leader, and the others keep waiting for it.
#[test]
fn the_first_waiting_follower_becomes_the_leader_when_the_leaders_client_disconnects() {
    let mut harness = Harness::with_traffic(settings(), 5);
    let ids: Vec<_> = (0..5).map(|_| harness.start_request(0, "k", false)).collect();
    let home = harness.current_node(&ids[2]).expect("in flight at its cache");
    ids.iter().for_each(|id| harness.end_attempt(id, AttemptStatus::Miss));
    // The second request's client has disconnected as well.
    for closed in [1, 0] {
        harness.host.0.borrow_mut().requests.get_mut(&ids[closed]).expect("known request").final_answer =
            Some("gone");
        harness.policy.on_request_closed(harness.now(), &ids[closed]);
        harness.end_attempt(&ids[closed], AttemptStatus::Cancelled);
    }
    assert_eq!(harness.current_node(&ids[2]), Some(origin_id()));
    assert!(ids[3..].iter().all(|id| harness.current_node(id).is_none()), "still waiting");
    harness.end_attempt(&ids[2], AttemptStatus::Served);
    assert!(
        ids[3..].iter().all(|id| harness.current_node(id) == Some(home.clone())),
        "sent to the cache that the leader filled"
    );
}

/// Guards against a retry that leaves the deduplication window: it was started within the window but ran
/// after its end, as it had to wait for its connection.
#[test]
fn a_retry_is_sent_only_if_its_connection_can_be_opened_within_the_dedup_window() {
    for (dial_timeout, is_retried) in [(0, true), (100 * MS, true), (201 * MS, false), (400 * MS, false)] {
        let mut harness = Harness::new(Settings { dial_timeout, cache_aside: false, ..settings() }, 5);
        let id = harness.start_request(1, "k", false);
        harness.advance(100 * MS);
        harness.end_attempt(&id, AttemptStatus::Error);
        // The window is 300 ms from the first attempt.
        assert_eq!(harness.current_node(&id).is_some(), is_retried, "dial time-out {dial_timeout} us");
    }
}

/// A refusal near the end of the window advised a retry after it, which nodes would not recognize as a repeat.
#[test]
fn a_keyed_request_that_may_have_run_is_refused_only_if_the_advised_retry_falls_within_the_dedup_window() {
    for (max_retry_after, answer) in
        [(0, "refused"), (100 * MS, "refused"), (100 * MS + 1, "failed"), (SECOND, "failed")]
    {
        let mut harness =
            Harness::new(Settings { max_retry_after, max_attempts: 1, cache_aside: false, ..settings() }, 5);
        let id = harness.start_request(1, "k", false);
        harness.advance(200 * MS - 1);
        harness.end_attempt(&id, AttemptStatus::Error);
        // The window is 300 ms from the first attempt.
        assert_eq!(harness.final_answer(&id), Some(answer), "retry after {max_retry_after} us");
    }
}
