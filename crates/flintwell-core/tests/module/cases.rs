//! Pinned cases: the design's ordinary path, and each failure found.

use crate::world::*;
use flintwell_core::interface::*;
use flintwell_core::policy::Policy;

fn origin() -> NodeId {
    entry(0, NodeState::Ready, 0).node
}

fn restarted(play: &mut Play, n: u32) {
    let now = play.now();
    play.list(ListUpdateKind::Delta, vec![entry(n, NodeState::Ready, now)]);
}

/// A read of a key of this number, missed at its cache.
fn missed(play: &mut Play, n: usize) -> RequestId {
    let id = play.arrive(0, &format!("k{n}"), false);
    play.end(&id, AttemptStatus::Miss);
    id
}

#[test]
fn the_first_miss_leads_and_later_ones_follow_to_its_cache() {
    let mut play = Play::busy(settings(), 5);
    let (a, b) = (play.arrive(0, "k", false), play.arrive(0, "k", false));
    let home = play.node_of(&a);
    assert_eq!(play.node_of(&b), home);
    play.end(&a, AttemptStatus::Miss);
    play.end(&b, AttemptStatus::Miss);
    assert_eq!((play.node_of(&a), play.node_of(&b)), (Some(origin()), None));
    play.end(&a, AttemptStatus::Served);
    assert_eq!(play.node_of(&b), home);
}

#[test]
fn followers_go_alone_when_the_leader_fails_or_half_their_time_is_gone() {
    let mut play = Play::new(settings(), 5);
    let ids: Vec<_> = (0..2).map(|_| play.arrive(0, "k", false)).collect();
    ids.iter().for_each(|id| play.end(id, AttemptStatus::Miss));
    play.end(&ids[0], AttemptStatus::Error);
    assert_eq!(play.node_of(&ids[1]), Some(origin()));
    let ids: Vec<_> = (0..2).map(|_| play.arrive(0, "j", false)).collect();
    ids.iter().for_each(|id| play.end(id, AttemptStatus::Miss));
    assert_eq!(play.node_of(&ids[1]), None);
    play.pass(305 * MS);
    assert_eq!(play.node_of(&ids[1]), Some(origin()));
}

#[test]
fn a_write_passes_at_once_and_ends_the_join() {
    let mut play = Play::new(settings(), 5);
    let ids: Vec<_> = (0..2).map(|_| play.arrive(0, "k", false)).collect();
    ids.iter().for_each(|id| play.end(id, AttemptStatus::Miss));
    let write = play.arrive(1, "k", true);
    assert_eq!(play.node_of(&write), Some(origin()));
    // The one held leads the fetch made after the write.
    assert_eq!(play.node_of(&ids[1]), Some(origin()));
}

#[test]
fn through_mode_holds_reads_of_a_key_not_served_lately() {
    let mut play = Play::busy(Settings { cache_aside: false, ..settings() }, 5);
    let (a, b) = (play.arrive(0, "k", false), play.arrive(0, "k", false));
    let home = play.node_of(&a);
    assert_eq!(play.node_of(&b), None);
    play.end(&a, AttemptStatus::Served);
    assert_eq!(play.node_of(&b), home);
    let c = play.arrive(0, "k", false);
    assert_eq!(play.node_of(&c), home);
}

#[test]
fn the_spare_is_taken_when_the_home_has_two_and_over_twice_the_mean() {
    let mut play = Play::busy(settings(), 8);
    let ids: Vec<_> = (0..3).map(|_| play.arrive(0, "k", false)).collect();
    assert_eq!(play.node_of(&ids[0]), play.node_of(&ids[1]));
    assert_ne!(play.node_of(&ids[0]), play.node_of(&ids[2]));
}

#[test]
fn a_change_of_members_moves_only_the_keys_of_the_node_that_left() {
    let homes = |play: &mut Play| -> Vec<_> {
        let mut home = |n| {
            let id = play.arrive(0, &format!("k{n}"), false);
            let home = play.node_of(&id);
            play.end(&id, AttemptStatus::Served);
            home
        };
        (0..200).map(&mut home).collect()
    };
    let mut play = Play::new(settings(), 6);
    let before = homes(&mut play);
    play.list(ListUpdateKind::Delta, vec![entry(3, NodeState::Gone, 0)]);
    let after = homes(&mut play);
    let left = Some(entry(3, NodeState::Ready, 0).node);
    assert!(before.iter().zip(&after).all(|(b, a)| *b == left || a == b));
    assert!(before.contains(&left) && !after.contains(&left));
}

/// Judged by what warm nodes were sent, or by their misses, an overload pushed the cold node over.
#[test]
fn a_cold_node_gets_less_than_what_warm_nodes_honour() {
    let mut play = Play::new(settings(), 4);
    restarted(&mut play, 2);
    let cold = entry(2, NodeState::Ready, 0).node;
    let (mut to_cold, mut served) = (0, 0);
    for n in 0..400 {
        let id = play.arrive(0, &format!("k{n}"), false);
        to_cold += usize::from(play.node_of(&id) == Some(cold.clone()));
        served += usize::from(n % 8 == 0);
        play.end(&id, if n % 8 == 0 { AttemptStatus::Served } else { AttemptStatus::Miss });
        play.pass(5 * MS);
    }
    assert!(to_cold > 0 && to_cold <= served / 3, "{to_cold} to the cold node, {served} served");
}

/// Two busy nodes turned reads back for want of a moment while the origin was idle; yet in a burst each
/// refusal must not become a fetch.
#[test]
fn refused_at_home_and_spare_it_goes_to_an_origin_with_room_else_is_refused() {
    let mut play = Play::new(settings(), 6);
    for _ in 0..4 {
        let id = play.arrive(0, "k", false);
        while play.node_of(&id).is_some_and(|node| node != origin()) {
            play.end(&id, AttemptStatus::Full);
        }
        assert_eq!(play.node_of(&id), Some(origin()));
    }
    let next = play.arrive(0, "k", false);
    assert_eq!(play.answer(&next), Some("refused"));
    play.pass(200 * MS);
    let later = play.arrive(0, "k", false);
    assert!(play.node_of(&later).is_some());
}

/// Single refusals of an origin that was full for a moment cost a request each and cut the limit to nothing.
#[test]
fn what_the_origin_refuses_in_a_moment_is_asked_again_unless_it_refuses_many() {
    let mut play = Play::new(settings(), 6);
    for n in 0..8 {
        let id = missed(&mut play, n);
        play.pass(60 * MS);
        play.end(&id, AttemptStatus::Served);
    }
    let id = missed(&mut play, 100);
    play.end(&id, AttemptStatus::Full);
    let other = missed(&mut play, 101);
    assert_eq!((play.node_of(&id), play.node_of(&other)), (None, Some(origin())));
    play.pass(200 * MS);
    assert_eq!(play.node_of(&id), Some(origin()));
    play.end(&id, AttemptStatus::Served);
    let back = (200..220).filter(|&n| {
        let id = missed(&mut play, n);
        play.end(&id, AttemptStatus::Full);
        play.answer(&id) == Some("refused")
    });
    assert!(back.count() >= 16, "an origin that refuses all is asked again");
}

/// An origin whose table was full of others' connections passed for a full one, and a proxy with none open there
/// stayed shut out for eight seconds.
#[test]
fn refused_on_a_new_connection_it_waits_for_one_that_is_open_and_is_no_strain() {
    let mut play = Play::new(settings(), 6);
    let (one, two) = (missed(&mut play, 0), missed(&mut play, 1));
    play.end_on(&two, AttemptStatus::Full, true);
    let three = missed(&mut play, 2);
    assert_eq!([&one, &two, &three].map(|id| play.node_of(id)), [Some(origin()), None, None]);
    play.pass(30 * MS);
    play.end(&one, AttemptStatus::Served);
    assert_eq!(play.node_of(&two), Some(origin()), "on the connection that is free now");
    play.end(&two, AttemptStatus::Served);
    play.end(&three, AttemptStatus::Served);
    for n in 10..30 {
        let id = missed(&mut play, n);
        assert_eq!(play.node_of(&id), Some(origin()), "alone there, it is tried at once");
        play.end_on(&id, AttemptStatus::Full, true);
        play.pass(200 * MS);
        play.end(&id, AttemptStatus::Served);
    }
}

/// Crowded nodes slowed down, clients came again, and the day never recovered.
#[test]
fn crowded_caches_get_a_falling_share_of_reads_and_all_again_later() {
    let mut play = Play::new(settings(), 6);
    let mut wave = |ending| {
        let mut back = 0;
        for n in 0..400 {
            let id = play.arrive(0, &format!("k{n}"), false);
            back += usize::from(play.answer(&id).is_some());
            play.pass(20 * MS);
            play.end(&id, ending);
            play.end(&id, ending);
            play.pass(40 * MS);
        }
        back
    };
    assert_eq!(wave(AttemptStatus::Served), 0);
    assert!(wave(AttemptStatus::Full) > 200);
    wave(AttemptStatus::Served);
    assert_eq!(wave(AttemptStatus::Served), 0);
}

/// An origin that went on with abandoned work was kept full of it by writes and their repeats.
#[test]
fn an_origin_that_answers_nothing_gets_few_writes_and_recovers() {
    let mut play = Play::new(settings(), 3);
    let mut served = |answers: bool| {
        let ids: Vec<_> = (0..200)
            .map(|n| {
                let id = play.arrive(1, &format!("w{n}"), true);
                play.pass(30 * MS);
                if answers {
                    play.out().iter().for_each(|id| play.end(id, AttemptStatus::Served));
                }
                id
            })
            .collect();
        play.pass(2 * SECOND);
        ids.iter().filter(|id| !play.world.0.borrow().requests[*id].sent.is_empty()).count()
    };
    assert_eq!(served(true), 200);
    assert!(served(false) < 120);
    served(true);
    assert_eq!(served(true), 200);
}

#[test]
fn a_silent_node_is_skipped_and_then_risked_with_one_request() {
    let mut play = Play::busy(settings(), 6);
    let id = play.arrive(0, "k", false);
    let silent = play.node_of(&id);
    play.pass(400 * MS);
    play.end(&id, AttemptStatus::Served);
    let other = play.arrive(0, "k", false);
    assert!(play.node_of(&other).is_some() && play.node_of(&other) != silent);
    play.end(&other, AttemptStatus::Served);
    play.pass(300 * MS);
    let (one, two) = (play.arrive(0, "k", false), play.arrive(0, "k", false));
    assert_eq!(play.node_of(&one), silent);
    assert_ne!(play.node_of(&two), silent);
}

/// Each time-out at a node that was gone drew out those that followed, until no time was left for another node.
#[test]
fn time_outs_at_silent_nodes_do_not_draw_out_the_patience() {
    let mut play = Play::new(settings(), 30);
    let waits: Vec<Micros> = (0..30)
        .filter_map(|n| {
            let id = play.arrive(0, &format!("k{n}"), false);
            let sent =
                play.world.0.borrow().requests[&id].sent.last().map(|sent| sent.times_out - sent.at)?;
            play.pass(sent + 60 * MS);
            play.end(&id, AttemptStatus::Served);
            Some(sent)
        })
        .collect();
    assert!(waits.len() > 5);
    assert!(waits.iter().all(|wait| *wait <= waits[0] + 20 * MS), "{waits:?}");
}

/// A lost zone was found out node by node, and again at the end of each one's spell.
#[test]
fn a_zone_that_falls_silent_is_tried_by_one_request_at_a_time_and_trusted_again_at_its_first_answer() {
    let mut play = Play::new(settings(), 40);
    let to_zone = |play: &mut Play, keys: std::ops::Range<usize>, ending: AttemptStatus| -> usize {
        let mut to_zone = 0;
        for n in keys {
            let id = play.arrive(0, &format!("k{n}"), false);
            while let Some(node) = play.node_of(&id).filter(|node| *node != origin()) {
                let there = play.world.0.borrow().listed[&node].zone == 1;
                to_zone += usize::from(there);
                play.end(&id, if there { ending } else { AttemptStatus::Served });
            }
            play.end(&id, AttemptStatus::Served);
            play.pass(10 * MS);
        }
        to_zone
    };
    let lost = to_zone(&mut play, 0..200, AttemptStatus::TimedOut);
    assert!((3..12).contains(&lost), "{lost} to a zone that is lost");
    play.pass(5 * SECOND);
    assert!(to_zone(&mut play, 200..400, AttemptStatus::Served) > 50);
}

#[test]
fn surplus_of_a_tenant_is_refused_and_its_share_is_not() {
    let mut play = Play::new(Settings { quotas: vec![10.0], fleet_size: 2, ..settings() }, 2);
    let ids: Vec<_> = (0..40).map(|n| play.arrive(0, &format!("k{n}"), false)).collect();
    assert!(play.answer(&ids[0]).is_none());
    assert!(ids.iter().filter(|id| play.answer(id).is_some()).count() >= 20);
}

#[test]
fn the_list_is_asked_for_at_once_and_again_after_an_error() {
    let mut play = Play::new(settings(), 2);
    play.policy.on_list_update(play.now(), ListUpdateKind::Failed, Vec::new());
    play.pass(3 * SECOND);
    assert!(play.world.0.borrow().watches >= 1);
}

/// A hundred that started as one asked as one: sixty calls failed, came again together, and most were never told.
#[test]
fn of_a_large_fleet_each_asks_for_the_list_at_a_moment_of_its_own_and_soon() {
    let asks_in = |fleet_size: u32, seed: u64| -> Micros {
        let (world, now) = (World::default(), 3_600 * SECOND);
        let mut policy = Policy::new(now, Settings { fleet_size, ..settings() }, seed, world.clone());
        policy.on_list_update(now, ListUpdateKind::Restored, vec![entry(1, NodeState::Ready, 0)]);
        let records = world.0.borrow();
        if records.watches > 0 {
            0
        } else {
            records.wakes.iter().min().map_or(Micros::MAX, |wake| wake.0 - now)
        }
    };
    let waits: Vec<_> = (0..100).map(|seed| asks_in(100, seed)).collect();
    let within = |span: Micros| waits.iter().filter(|wait| **wait < span).count();
    assert!(within(500 * MS) < 35 && within(3_001 * MS) == 100, "{waits:?}");
    assert!((0..100).all(|seed| asks_in(4, seed) <= 120 * MS && asks_in(1_000, seed) <= 8 * SECOND));
    // Three hundred within 3 s were more than a discovery takes that serves one call from each in 5 to 8 s: each refused
    // call cost it work, and came again. So no second has more than a part of them.
    let busiest = |fleet| {
        let asked: Vec<_> = (0..300).map(|seed| asks_in(fleet, seed) / SECOND).collect();
        (0..10).map(|second| asked.iter().filter(|at| **at == second).count()).max().expect("some")
    };
    assert!(busiest(300) <= 60 && busiest(1_000) <= 60, "of 300: {} and {}", busiest(300), busiest(1_000));
}

/// A few slow nodes raised the mean and idle nodes' reads were refused; and a slow home kept its reads.
#[test]
fn a_slow_node_is_passed_over_and_idle_ones_still_get_theirs() {
    let mut play = Play::new(settings(), 6);
    let first = play.arrive(0, "k", false);
    let slow = play.node_of(&first);
    play.end(&first, AttemptStatus::Served);
    for n in 0..120 {
        let id = play.arrive(0, &format!("k{n}"), false);
        assert_ne!(play.answer(&id), Some("refused"), "only the slow node is crowded");
        let wait = if play.node_of(&id) == slow { 170 } else { 5 };
        play.pass(wait * MS);
        play.end(&id, AttemptStatus::Served);
    }
    let (one, two) = (play.arrive(0, "k", false), play.arrive(0, "k", false));
    assert_eq!(play.node_of(&one), slow, "with none of ours out, one tries");
    assert_ne!(play.node_of(&two), slow);
}

/// The way to another zone alone, most of a short latency target, made idle nodes pass for crowded.
#[test]
fn a_node_far_away_is_not_taken_for_a_crowded_one() {
    let mut play = Play::busy(settings(), 2);
    for n in 0..40 {
        let pair = [(); 2].map(|()| play.arrive(0, "k", false));
        assert!(pair.iter().all(|id| play.node_of(id).is_some_and(|node| node != origin())), "at {n}");
        play.pass(150 * MS);
        pair.iter().for_each(|id| play.end(id, AttemptStatus::Served));
    }
}

/// A node that answered most with an error, at once, looked quick and idle and drew its keys all day.
#[test]
fn a_node_that_answers_with_errors_is_skipped_and_a_single_error_is_no_reason() {
    for errors in [true, false] {
        let (mut play, mut asked) = (Play::new(settings(), 6), 0);
        let first = play.arrive(0, "k", false);
        let faulty = play.node_of(&first);
        play.end(&first, AttemptStatus::Served);
        for n in 0..100 {
            let id = play.arrive(0, "k", false);
            if play.node_of(&id) == faulty {
                asked += 1;
                play.end(&id, if errors || n == 10 { AttemptStatus::Error } else { AttemptStatus::Served });
            }
            play.end(&id, AttemptStatus::Served);
            play.pass(10 * MS);
        }
        assert!(if errors { asked < 15 } else { asked > 60 }, "asked {asked} times");
    }
}

/// Spoilt answers of the origin were failed with time for another, and cut its limit.
#[test]
fn a_spoilt_answer_of_the_origin_is_fetched_again_where_that_is_allowed() {
    let mut play = Play::new(settings(), 3);
    let (read, once) = (play.arrive(0, "k", false), play.arrive(4, "j", true));
    play.end(&read, AttemptStatus::Miss);
    play.end(&read, AttemptStatus::InvalidResponse);
    assert_eq!(play.node_of(&read), Some(origin()));
    let writes: Vec<_> = (0..3).map(|n| play.arrive(1, &format!("w{n}"), true)).collect();
    writes.iter().for_each(|write| play.end(write, AttemptStatus::Full));
    play.end(&read, AttemptStatus::Full);
    assert_eq!(play.answer(&read), Some("refused"), "one at its limit is not asked again");
    play.end(&once, AttemptStatus::InvalidResponse);
    assert_eq!(play.answer(&once), Some("failed"));
}

/// Connections that fell silent, one in ten, cut the limit on fetches though the origin was idle.
#[test]
fn attempts_lost_one_by_one_are_no_strain_and_an_origin_that_stops_is() {
    let mut play = Play::new(settings(), 3);
    let mut burst = |answers: usize| {
        let ids: Vec<_> = (0..40).map(|n| play.arrive(1, &format!("w{n}"), true)).collect();
        let at_once = ids.iter().filter(|id| play.node_of(id).is_some()).count();
        for _ in 0..40 {
            play.pass(31 * MS);
            for (n, id) in play.out().iter().enumerate() {
                play.end(id, if n % 10 < answers { AttemptStatus::Served } else { AttemptStatus::TimedOut });
            }
        }
        at_once
    };
    let well: Vec<_> = (0..30).map(|_| burst(9)).collect();
    assert!(well[20..].iter().all(|at_once| *at_once >= 30), "{well:?}");
    let stopped: Vec<_> = (0..30).map(|_| burst(0)).collect();
    assert!(stopped[20..].iter().all(|at_once| *at_once <= 2), "{stopped:?}");
}

fn hundreds() -> Settings {
    Settings { fleet_size: 400, proxy_index: 123, ..settings() }
}

/// None of hundreds has two in flight at a hot key's home, which all together crowded.
#[test]
fn one_of_hundreds_spreads_a_key_it_asks_for_often() {
    let mut play = Play::new(hundreds(), 8);
    let mut caches: Vec<_> = (0..40)
        .map(|n| {
            let id = play.arrive(0, &if n % 2 == 0 { "hot".into() } else { format!("k{n}") }, false);
            let cache = play.node_of(&id).filter(|_| n % 2 == 0);
            play.end(&id, AttemptStatus::Served);
            play.pass(100 * MS);
            cache
        })
        .collect();
    caches.sort();
    caches.dedup();
    assert!(caches.iter().flatten().count() >= 3, "{caches:?}");
}

/// What hundreds each asked for before crowded a cold home, which fell; kept from all of it, thirty cold nodes
/// stood idle while as many warm ones turned half of all away.
#[test]
fn of_hundreds_each_sends_a_cold_node_its_warmth_of_any_keys_and_nothing_others_refused() {
    let mut play = Play::new(hundreds(), 30);
    let cold = Some(entry(2, NodeState::Ready, 0).node);
    let to_cold = |play: &mut Play, keys: std::ops::Range<usize>, full: bool| -> usize {
        let mut to_cold = 0;
        for n in keys {
            let id = play.arrive(0, &format!("k{}", n % 200), false);
            to_cold += usize::from(play.node_of(&id) == cold);
            // The others refuse; from then on it is no first choice.
            while full && play.node_of(&id).is_some_and(|node| node != origin() && Some(node) != cold) {
                play.end(&id, AttemptStatus::Full);
                assert!(play.node_of(&id) != cold, "what others refused");
            }
            play.end(&id, if n % 3 == 0 { AttemptStatus::Served } else { AttemptStatus::Miss });
            play.end(&id, AttemptStatus::Served);
            play.pass(20 * MS);
        }
        to_cold
    };
    let warm = to_cold(&mut play, 0..1_000, false);
    // As often as makes as many seconds, so that a few more by chance decide nothing.
    let mut part = 0;
    for _ in 0..5 {
        restarted(&mut play, 2);
        play.pass(3 * SECOND);
        part += to_cold(&mut play, 0..200, false);
    }
    assert!(
        warm > 20 && part > 0 && part < warm,
        "{part} in five times 4 s while it warms, {warm} in 20 s while warm"
    );
    restarted(&mut play, 2);
    play.pass(3 * SECOND);
    assert!(to_cold(&mut play, 0..200, true) <= warm / 5);
}

/// A box 4.5 s after its start was sent 47 requests in 1.5 s, five times what it could do, all of one locked key.
#[test]
fn a_hot_key_of_a_large_fleet_is_left_to_warm_nodes() {
    let mut play = Play::new(hundreds(), 30);
    let reads = |play: &mut Play, count: usize| -> Vec<Option<NodeId>> {
        let one = |_| {
            let id = play.arrive(0, "hot", false);
            let node = play.node_of(&id);
            play.end(&id, AttemptStatus::Served);
            play.pass(20 * MS);
            node
        };
        (0..count).map(one).collect()
    };
    reads(&mut play, 60);
    (2..=20).for_each(|n| restarted(&mut play, n));
    play.pass(3 * SECOND);
    let cold: Vec<_> = (2..=20).map(|n| Some(entry(n, NodeState::Ready, 0).node)).collect();
    let sent = reads(&mut play, 100);
    assert!(sent.iter().all(|node| node.is_some() && !cold.contains(node)), "{sent:?}");
}

/// Cold nodes of a large fleet are sent in step with arrivals, which in a burst is more than they can do.
#[test]
fn in_an_overload_a_cold_node_of_a_large_fleet_gets_less() {
    let to_cold = |overload: bool| -> usize {
        let mut play = Play::new(Settings { ramp_time: 40 * SECOND, ..hundreds() }, 10);
        restarted(&mut play, 2);
        play.pass(10 * SECOND);
        let cold = Some(entry(2, NodeState::Ready, 0).node);
        let mut to_cold = 0;
        for n in 0..1_000 {
            let id = play.arrive(0, &format!("k{n}"), false);
            to_cold += usize::from(play.node_of(&id) == cold);
            while overload && n % 5 > 0 && play.node_of(&id).is_some_and(|node| node != origin()) {
                play.end(&id, AttemptStatus::Full);
            }
            play.end(&id, AttemptStatus::Served);
            play.pass(20 * MS);
        }
        to_cold
    };
    let (calm, overload) = (to_cold(false), to_cold(true));
    assert!(calm > 10 && overload < calm / 4, "{overload} in an overload, {calm} in calm");
}

/// Refused by three caches and missed at a fourth, a read had no attempt left for its fetch.
#[test]
fn the_last_attempt_of_a_read_goes_to_the_origin_while_it_has_room() {
    let mut play = Play::new(hundreds(), 30);
    let id = play.arrive(0, "k", false);
    for _ in 0..3 {
        assert_ne!(play.node_of(&id), Some(origin()));
        play.end(&id, AttemptStatus::Full);
    }
    assert_eq!(play.node_of(&id), Some(origin()));
}

/// Few slots a node gave some of a hundred nodes twice the share of others.
#[test]
fn shares_are_even_over_a_hundred_nodes() {
    let mut play = Play::new(settings(), 119);
    let mut counts = std::collections::BTreeMap::new();
    for n in 0..11_900 {
        let id = play.arrive(0, &format!("k{n}"), false);
        *counts.entry(play.node_of(&id)).or_insert(0) += 1;
        play.end(&id, AttemptStatus::Served);
    }
    assert!(counts.len() == 119 && counts.values().all(|n| (55..150).contains(n)), "{counts:?}");
}

/// Tables of open connections filled up and slowed the nodes down.
#[test]
fn hundreds_keep_no_idle_connections_where_these_are_dear() {
    for (fleet_size, closes) in [(4, 0), (400, 1)] {
        let mut play = Play::new(Settings { fleet_size, connection_cost: 0.01, ..settings() }, 5);
        let id = play.arrive(0, "k", false);
        play.end(&id, AttemptStatus::Served);
        assert_eq!(play.world.0.borrow().closes, closes);
    }
}

/// A burst of hundreds stopped the origin while each still cut its limit by a fifth a second.
#[test]
fn one_that_fetches_seldom_cuts_its_limit_at_the_first_time_out() {
    let mut play = Play::new(hundreds(), 8);
    for n in 0..3 {
        let write = play.arrive(1, &format!("k{n}"), true);
        play.pass(if n == 0 { 30 * MS } else { 3 * SECOND });
        play.end(&write, if n == 0 { AttemptStatus::Served } else { AttemptStatus::TimedOut });
    }
    let ids: Vec<_> = (10..14).map(|n| play.arrive(1, &format!("k{n}"), true)).collect();
    assert_eq!(ids.iter().filter(|id| play.node_of(id).is_some()).count(), 1);
}

/// Caches 1 to 6, small and large by turns, with weights that move with load as the list tells them.
fn live(weights: impl Fn(u32) -> f64) -> Vec<NodeEntry> {
    let kind = |n: u32| if n == 0 { ORIGIN_KIND } else { 2 + n % 2 };
    (0..7).map(|n| NodeEntry { kind: kind(n), weight: weights(n), ..entry(n, NodeState::Ready, 0) }).collect()
}

/// Where 200 keys are sent, every one served.
fn homes(play: &mut Play) -> Vec<Option<NodeId>> {
    let home = |n| {
        let id = play.arrive(0, &format!("h{n}"), false);
        let home = play.node_of(&id);
        play.end(&id, AttemptStatus::Served);
        home
    };
    (0..200).map(home).collect()
}

/// All nodes counted alike, and the small ones drowned; by the weight of the moment homes would wander.
#[test]
fn sizes_are_the_most_a_kind_was_listed_with_and_homes_do_not_wander_with_load() {
    let mut play = Play::new(Settings { weight_mode: WeightMode::Live, ..hundreds() }, 0);
    play.list(ListUpdateKind::Snapshot, live(|n| if n % 2 == 0 { 0.5 } else { 4.0 }));
    let idle = homes(&mut play);
    let large = idle
        .iter()
        .flatten()
        .filter(|node| (1..7).step_by(2).any(|n| **node == entry(n, NodeState::Ready, 0).node));
    assert!(large.count() > 140, "{idle:?}");
    play.list(ListUpdateKind::Delta, live(|n| if n % 2 == 0 { 0.4 } else { 2.0 + f64::from(n) / 10.0 }));
    assert_eq!(idle, homes(&mut play));
}

/// A weight that is no number of use made a node vanish or take all.
#[test]
fn a_weight_of_no_use_leaves_every_node_its_part() {
    for sizes in [WeightMode::Live, WeightMode::Declared] {
        for weight in [0.0, -1.0, f64::NAN, f64::INFINITY] {
            let mut play = Play::new(Settings { weight_mode: sizes, ..hundreds() }, 0);
            play.list(ListUpdateKind::Snapshot, live(|n| if n == 3 || n % 2 == 0 { weight } else { 1.0 }));
            let homes = homes(&mut play);
            let part =
                |n| homes.iter().flatten().filter(|node| **node == entry(n, NodeState::Ready, 0).node).count();
            assert!((1..7).all(|n| (8..80).contains(&part(n))), "{sizes:?} {weight}: {homes:?}");
        }
    }
}

/// Of hundreds each asked for a hot key every few seconds and knew nothing of the crowd at its home.
#[test]
fn a_node_listed_with_many_held_is_left_by_a_part_of_the_reads_and_gets_them_back() {
    let mut play = Play::new(Settings { weight_mode: WeightMode::Live, ..hundreds() }, 0);
    let crowded = entry(1, NodeState::Ready, 0).node;
    let at_it = |play: &mut Play, weight: f64| {
        play.list(ListUpdateKind::Delta, live(|n| if n == 1 { weight } else { 1.0 }));
        homes(play).iter().flatten().filter(|node| **node == crowded).count()
    };
    play.list(ListUpdateKind::Snapshot, live(|_| 1.0));
    let before = at_it(&mut play, 1.0);
    let (first, second) = (at_it(&mut play, 0.1), at_it(&mut play, 0.1));
    assert!(first < before * 3 / 4 && first > before / 5 && second < first, "{before} {first} {second}");
    for _ in 0..20 {
        play.list(ListUpdateKind::Delta, live(|_| 1.0));
    }
    assert_eq!(at_it(&mut play, 1.0), before);
}

/// Three of five requests crossed zones at a tenth of their worth each.
#[test]
fn where_crossings_are_dear_a_home_is_in_our_zone_and_a_list_of_one_is_no_trouble() {
    let mut play = Play::new(Settings { cross_zone_cost: 0.1, ..settings() }, 6);
    let near =
        |node: &Option<NodeId>| (0..7).step_by(2).any(|n| *node == Some(entry(n, NodeState::Ready, 0).node));
    assert!(homes(&mut play).iter().all(near));
    for left in [vec![1], vec![2], vec![]] {
        let mut list = vec![entry(0, NodeState::Ready, 0)];
        list.extend(left.iter().map(|&n| entry(n, NodeState::Ready, 0)));
        play.list(ListUpdateKind::Snapshot, list);
        assert_eq!(homes(&mut play).iter().flatten().count(), 200);
    }
}

/// Charts were sent to any kind of node 30 ms into each day of a deployment that serves them on one kind only.
#[test]
fn a_bound_class_is_sent_only_where_it_may_be_also_when_all_of_those_are_out() {
    let mut play = Play::new(settings(), 6);
    let to = |play: &mut Play, class: usize, key: &str| {
        let id = play.arrive(class, key, false);
        (play.node_of(&id), id)
    };
    let open = [1, 3, 5].map(|n| Some(entry(n, NodeState::Ready, 0).node));
    for n in 0..40 {
        let (node, id) = to(&mut play, 5, &format!("k{n}"));
        assert!(open.contains(&node), "{node:?}");
        // The rest goes by the model.
        [AttemptStatus::Full, AttemptStatus::Error, AttemptStatus::Served].iter().for_each(|&ending| play.end(&id, ending));
        play.pass(SECOND);
    }
    // A leader that may go anywhere misses at a node that is closed to its follower.
    let key = (0..).map(|n| format!("j{n}")).find(|key| {
        let (node, id) = to(&mut play, 0, key);
        play.end(&id, AttemptStatus::Served);
        node.is_some_and(|node| (2..=6).step_by(2).any(|n| entry(n, NodeState::Ready, 0).node == node))
    });
    let key = key.expect("one at home in the first zone");
    let (leader, follower) = (to(&mut play, 0, &key).1, to(&mut play, 5, &key).1);
    play.end(&leader, AttemptStatus::Miss);
    play.end(&follower, AttemptStatus::Miss);
    play.end(&leader, AttemptStatus::Served);
    assert_eq!(play.node_of(&follower), Some(origin()), "not the leader's cache");
    for n in [1, 3, 5] {
        play.list(ListUpdateKind::Delta, vec![entry(n, NodeState::Draining, 0)]);
    }
    assert_eq!(to(&mut play, 5, "late").0, Some(origin()));
}

/// Clocks differ: a node listed as started ten seconds too early got all its keys as if it were warm, and by its
/// latest start alone one that was told at once would stand idle for ten seconds.
#[test]
fn a_start_that_may_be_told_wrong_counts_as_late_as_it_may_have_been() {
    for (drift, told_before, after, warm) in
        [(0, 9, 0, true), (10, 9, 0, false), (10, 9, 4, false), (10, 9, 9, true), (10, 0, 9, true)]
    {
        let mut play = Play::busy(Settings { max_start_time_error: drift * SECOND, ..settings() }, 4);
        let started = play.now() - told_before * SECOND;
        play.list(ListUpdateKind::Delta, vec![entry(3, NodeState::Ready, started)]);
        play.pass(after * SECOND);
        // Told again, it has not started again.
        play.list(ListUpdateKind::Delta, vec![entry(3, NodeState::Ready, started)]);
        let all = (0..80).filter(|n| {
            let id = play.arrive(0, &format!("k{n}"), false);
            let node = play.node_of(&id);
            play.pass(20 * MS);
            play.end(&id, AttemptStatus::Served);
            node == Some(entry(3, NodeState::Ready, 0).node)
        });
        let all = all.count();
        assert!(if warm { all > 12 } else { all < 12 }, "{all} with {drift}, {told_before}, {after}");
    }
}

/// Idle connections of a fleet and those that long answers held filled the origin's table, and those with none open
/// there were refused five times in six.
#[test]
fn nobody_keeps_idle_connections_to_an_origin_whose_table_was_full_lately() {
    let mut play = Play::new(settings(), 6);
    let closes = |play: &mut Play, n: usize, refused: bool| {
        let id = missed(play, n);
        if refused {
            play.end_on(&id, AttemptStatus::Full, true);
            play.pass(200 * MS);
        }
        let before = play.world.0.borrow().closes;
        play.end(&id, AttemptStatus::Served);
        play.world.0.borrow().closes - before
    };
    assert_eq!(closes(&mut play, 0, false), 0, "it is kept while nobody is refused");
    assert_eq!((closes(&mut play, 1, true), closes(&mut play, 2, false)), (1, 1));
    play.pass(6_000 * MS);
    assert_eq!(closes(&mut play, 3, false), 0, "and again once that is over");
}

/// The origin's connection was closed after every fetch, and all were at the nodes asked most.
#[test]
fn hundreds_keep_their_connections_to_the_origin_and_to_the_node_asked_most() {
    let mut play = Play::new(Settings { connection_cost: 0.01, ..hundreds() }, 5);
    for n in 0..60 {
        let id = play.arrive(0, &format!("k{n}"), false);
        play.end(&id, AttemptStatus::Miss);
        let closes = play.world.0.borrow().closes;
        play.end(&id, AttemptStatus::Served);
        assert_eq!(play.world.0.borrow().closes, closes, "at the origin");
    }
    let sent = |n: usize| play.world.0.borrow().closes + n;
    assert_eq!(sent(0), 60);
    let mut play = Play::new(Settings { connection_cost: 0.01, fleet_size: 300, ..settings() }, 40);
    (0..200).for_each(|n| {
        let id = play.arrive(1, &format!("k{n}"), false);
        play.end(&id, AttemptStatus::Served);
    });
    let before = play.world.0.borrow().closes;
    for n in 0..100 {
        let id = play.arrive(0, "hot", false);
        play.end(&id, AttemptStatus::Served);
        assert!(n < 60 || play.world.0.borrow().closes < before + 90, "its nodes keep theirs");
    }
}

/// Small boxes got as much as full ones, and every sixth request there timed out.
#[test]
fn a_kind_that_answers_slowly_gets_less_where_the_list_tells_no_speeds() {
    let mut play = Play::new(settings(), 0);
    play.list(ListUpdateKind::Snapshot, live(|_| 1.0));
    let slow =
        |node: &Option<NodeId>| (2..7).step_by(2).any(|n| *node == Some(entry(n, NodeState::Ready, 0).node));
    let before = homes(&mut play).iter().filter(|node| slow(node)).count();
    for n in 0..1_500 {
        let id = play.arrive(0, &format!("k{n}"), false);
        let node = play.node_of(&id);
        play.pass(if slow(&node) { 80 } else { 40 } * MS);
        play.end(&id, AttemptStatus::Served);
    }
    let after = homes(&mut play).iter().filter(|node| slow(node)).count();
    assert!(after * 5 < before * 4, "{before} before, {after} after");
}

/// Each proxy stayed at a fetch in seconds for as long again after the origin had recovered.
#[test]
fn an_origin_that_has_recovered_gets_its_fetches_back_at_once() {
    let mut play = Play::new(settings(), 6);
    let mut number = 0;
    let mut fetched = |play: &mut Play, rounds: usize, wait: Micros| -> usize {
        let mut fetched = 0;
        for _ in 0..rounds {
            let ids: Vec<_> = (0..4).map(|n| missed(play, 1_000_000 + number * 4 + n)).collect();
            number += 1;
            play.pass(wait);
            for id in &ids {
                fetched += usize::from(play.node_of(id) == Some(origin()));
                play.end(id, AttemptStatus::Served);
            }
        }
        fetched
    };
    let well = fetched(&mut play, 50, 20 * MS);
    fetched(&mut play, 30, 700 * MS);
    fetched(&mut play, 50, 20 * MS);
    let again = fetched(&mut play, 50, 20 * MS);
    assert!(again * 10 > well * 8, "{well} while well, {again} a second after it has recovered");
}

/// The few caches that were warm shed most reads while the origin had a fifth of its limit in flight.
#[test]
fn reads_that_crowded_caches_shut_out_go_to_an_origin_with_room() {
    let mut play = Play::new(settings(), 6);
    let (mut shut, mut idle) = (0, 0);
    for wave in 0..20 {
        let mut out: Vec<RequestId> = Vec::new();
        for n in 0..40 {
            let id = play.arrive(0, &format!("k{wave} {n}"), false);
            if play.answer(&id).is_some() {
                shut += 1;
                let fetched = out.iter().filter(|id| play.node_of(id) == Some(origin())).count();
                idle += usize::from(fetched < 4);
            }
            out.push(id);
        }
        // The origin answers soon, the caches late, as they always did.
        play.pass(20 * MS);
        for id in out.iter().filter(|id| play.node_of(id) == Some(origin())).cloned().collect::<Vec<_>>() {
            play.end(&id, AttemptStatus::Served);
        }
        play.pass(280 * MS);
        out.iter().for_each(|id| play.end(id, AttemptStatus::Served));
    }
    assert!(shut > 10 && idle == 0, "{shut} shut out, {idle} of them with an idle origin");
}

#[test]
fn what_is_avoided_is_told_without_a_change_and_the_origin_is_no_cache() {
    let mut play = Play::new(settings(), 4);
    assert_eq!(play.policy.count_avoided_caches(play.now()), 0);
    let out = [entry(1, NodeState::Draining, 0), entry(0, NodeState::Draining, 0)];
    play.list(ListUpdateKind::Delta, out.to_vec());
    assert_eq!(play.policy.count_avoided_caches(play.now()), 1, "one listed as draining");
    play.list(ListUpdateKind::Delta, vec![entry(0, NodeState::Ready, 0)]);
    let silent = play.arrive(0, "k", false);
    play.end(&silent, AttemptStatus::TimedOut);
    assert_eq!(play.policy.count_avoided_caches(play.now()), 2, "and one that fell silent");
    play.list(ListUpdateKind::Delta, vec![entry(1, NodeState::Gone, 0)]);
    play.pass(5 * SECOND);
    assert_eq!(play.policy.count_avoided_caches(play.now()), 0, "one gone, one's spell over");
}

#[test]
fn a_change_of_settings_keeps_what_was_learned_and_requests_in_hand_end_under_what_they_began_with() {
    let mut play = Play::busy(settings(), 4);
    let read = play.arrive(0, "k", false);
    // From now on the first class may not run twice, and one attempt is all.
    let mut other = settings();
    (other.classes[0].idempotency, other.max_attempts) = (Idempotency::Unsafe, 1);
    play.change(other);
    let after = play.arrive(0, "another", true);
    play.pass(5 * MS);
    play.end(&read, AttemptStatus::Reset);
    assert!(play.node_of(&read).is_some(), "it began as safe, with four attempts");
    play.end(&after, AttemptStatus::Reset);
    play.change(settings());
    play.end(&read, AttemptStatus::Served);
    play.pass(2 * SECOND);
    assert_eq!(play.answer(&after), Some("failed"), "it began as unsafe, with one attempt");
    assert_eq!(play.answer(&read), Some("served"));
}

#[test]
fn the_origins_limit_outlives_a_change_of_settings() {
    let strained = |change: bool| {
        let mut play = Play::new(settings(), 4);
        let fetch = |play: &mut Play, n: usize, ending| {
            let id = play.arrive(0, &format!("k{n}"), false);
            play.pass(MS);
            play.end(&id, AttemptStatus::Miss);
            play.pass(100 * MS);
            play.end(&id, ending);
        };
        (0..40).for_each(|n| fetch(&mut play, n, AttemptStatus::Full));
        if change {
            play.change(settings());
        }
        // Many new keys at once: how many are fetched is what is believed of the origin.
        let ids: Vec<RequestId> = (0..30).map(|n| play.arrive(0, &format!("new {n}"), false)).collect();
        play.pass(MS);
        ids.iter().for_each(|id| play.end(id, AttemptStatus::Miss));
        let origin = entry(0, NodeState::Ready, 0).node;
        ids.iter().filter(|id| play.node_of(id).as_ref() == Some(&origin)).count()
    };
    assert_eq!(strained(true), strained(false));
    assert!(strained(false) < 8, "{}", strained(false));
}

/// Twelve proxies asked an origin with room for six thirteen times for each fetch that it took: a refusal takes no
/// time, so a limit on what is out at once holds nobody back.
#[test]
fn what_an_origin_is_asked_beyond_what_it_takes_follows_what_it_took() {
    let mut play = Play::new(settings(), 6);
    let (mut taken, mut refused) = (0, 0);
    // Ten seconds of new keys, of which the origin takes one in a quarter of a second.
    for n in 0..1_000 {
        let id = play.arrive(0, &format!("new {n}"), false);
        play.pass(MS);
        play.end(&id, AttemptStatus::Miss);
        for out in play.out() {
            if play.node_of(&out) != Some(entry(0, NodeState::Ready, 0).node) {
                continue;
            }
            let takes = n % 25 == 0;
            play.pass(MS);
            play.end(&out, if takes { AttemptStatus::Served } else { AttemptStatus::Full });
            (taken, refused) = (taken + usize::from(takes), refused + usize::from(!takes));
        }
        play.pass(8 * MS);
    }
    assert!(taken > 0 && refused < 10 + 4 * taken.max(20), "{refused} refused, {taken} taken");
    // It is well again: within a second and a half it gets all there is.
    let mut late = 0;
    for n in 0..300 {
        let id = play.arrive(0, &format!("after {n}"), false);
        play.pass(MS);
        play.end(&id, AttemptStatus::Miss);
        play.pass(5 * MS);
        for out in play.out() {
            play.end(&out, AttemptStatus::Served);
        }
        play.pass(4 * MS);
        late += usize::from(n > 150 && play.answer(&id) != Some("served"));
    }
    assert_eq!(late, 0, "not fetched, a second and a half after it has room");
}

/// Those held for a read whose client left each fetched the key: of five one leads on, and the rest stay held for it.
#[test]
fn where_the_client_of_the_one_that_fetches_leaves_the_first_held_one_leads_on() {
    let mut play = Play::busy(settings(), 5);
    let ids: Vec<_> = (0..5).map(|_| play.arrive(0, "k", false)).collect();
    let home = play.node_of(&ids[2]).expect("its cache");
    ids.iter().for_each(|id| play.end(id, AttemptStatus::Miss));
    // The second's client has left as well.
    for left in [1, 0] {
        play.world.0.borrow_mut().requests.get_mut(&ids[left]).expect("known").answer = Some("gone");
        play.policy.on_request_closed(play.now(), &ids[left]);
        play.end(&ids[left], AttemptStatus::Cancelled);
    }
    assert_eq!(play.node_of(&ids[2]), Some(origin()));
    assert!(ids[3..].iter().all(|id| play.node_of(id).is_none()), "held on");
    play.end(&ids[2], AttemptStatus::Served);
    assert!(ids[3..].iter().all(|id| play.node_of(id) == Some(home.clone())), "where it filled");
}

/// A repeat was chosen within its window and waited for its connection: it began past the window's end.
#[test]
fn a_repeat_leaves_its_window_time_for_a_connection_to_come_up() {
    for (dial_within, again) in [(0, true), (100 * MS, true), (201 * MS, false), (400 * MS, false)] {
        let mut play = Play::new(Settings { dial_timeout: dial_within, cache_aside: false, ..settings() }, 5);
        let id = play.arrive(1, "k", false);
        play.pass(100 * MS);
        play.end(&id, AttemptStatus::Error);
        // The window is 300 ms from the first attempt.
        assert_eq!(play.node_of(&id).is_some(), again, "{dial_within} us for a connection");
    }
}
