use super::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn rest_grows_with_the_lateness_seen_and_shrinks_when_the_evidence_is_old() {
    let (mut policy, start) = (RestPolicy::default(), Instant::now());
    assert_eq!(policy.required_rest(start), MIN_REST);
    policy.record_late_response(ms(5), start);
    assert_eq!(policy.required_rest(start), MIN_REST, "a lateness that the least rest covers many times");
    policy.record_late_response(ms(100), start);
    policy.record_late_response(ms(30), start + EVIDENCE_LIFETIME / 2);
    assert_eq!(policy.required_rest(start + EVIDENCE_LIFETIME / 2), ms(400));
    assert_eq!(policy.required_rest(start + EVIDENCE_LIFETIME), MIN_REST);
    policy.record_late_response(Duration::from_secs(60), start);
    assert_eq!(policy.required_rest(start), ms(400), "not a second response");
    policy.record_late_response(ms(1_500), start);
    assert_eq!(policy.required_rest(start), MAX_REST);
}

#[test]
fn a_rest_is_waited_for_only_if_that_is_short_compared_with_a_response() {
    let (mut policy, now) = (RestPolicy::default(), Instant::now());
    assert_eq!(policy.rest_of(MIN_REST, now), Rest::Wait(Duration::ZERO));
    assert_eq!(policy.rest_of(MIN_REST / 2, now), Rest::TooLong, "no response time is known");
    policy.record_response_time(ms(60));
    assert_eq!(policy.rest_of(MIN_REST / 2, now), Rest::Wait(MIN_REST / 2));
    policy.record_late_response(ms(100), now);
    assert_eq!(policy.rest_of(MIN_REST / 2, now), Rest::TooLong);
    assert_eq!(policy.rest_of(ms(360), now), Rest::Wait(ms(40)));
    (0..50).for_each(|_| policy.record_response_time(ms(600)));
    assert_eq!(policy.rest_of(ms(340), now), Rest::TooLong, "a wait uses up the time limit told to the node");
    (0..100).for_each(|_| policy.record_response_time(ms(2)));
    assert_eq!(policy.rest_of(ms(360), now), Rest::TooLong);
}

#[test]
fn a_response_resembles_recent_ones_on_its_connection_with_the_same_body() {
    let digest = |body, path| ResponseDigest { body, path };
    let (mut history, start) = (ResponseHistory::default(), Instant::now());
    (0..9).for_each(|n| history.push(digest(n, n), start));
    let resembles = |history: &ResponseHistory, response, at| history.resemblances(response, at).next();
    assert_eq!(resembles(&history, digest(8, 20), start), Some(Resemblance::OtherPath));
    assert_eq!(resembles(&history, digest(0, 0), start), Some(Resemblance::SamePath));
    assert_eq!(resembles(&history, digest(20, 8), start), None);
    assert_eq!(resembles(&history, digest(8, 20), start + COPY_WINDOW), None);
    (0..200).for_each(|n| history.push(digest(n, n), start));
    assert_eq!(history.0.len(), REMEMBERED_RESPONSES);
    history.push(digest(0, 0), start + COPY_WINDOW);
    assert_eq!(history.0.len(), 1, "old ones are forgotten");
}

#[test]
fn bodies_that_coincide_on_different_connections_are_no_sign_of_copies() {
    let (mut policy, now) = (RestPolicy::default(), Instant::now());
    let digest = |body, path| ResponseDigest { body, path };
    policy.record_body(digest(1, 1), 1, now);
    policy.record_body(digest(1, 2), 1, now);
    policy.record_body(digest(1, 1), 2, now);
    let shows_copy = |policy: &RestPolicy, at| policy.shows_copy(Resemblance::OtherPath, at);
    assert!(!shows_copy(&policy, now), "paths 1 and 2 have one body on connections 1 and 2");
    assert!(shows_copy(&policy, now + EVIDENCE_LIFETIME));
    let mut distinct = RestPolicy::default();
    (0..200).for_each(|n| distinct.record_body(digest(n, n), n % 5, now));
    assert!(shows_copy(&distinct, now) && distinct.bodies.len() == REMEMBERED_BODIES);
}

#[test]
fn equal_bodies_for_one_path_are_copies_only_where_bodies_differ_from_request_to_request() {
    let (mut policy, now) = (RestPolicy::default(), Instant::now());
    let digest = |body, path| ResponseDigest { body, path };
    let shows_copy = |policy: &RestPolicy| policy.shows_copy(Resemblance::SamePath, now);
    policy.record_body(digest(1, 1), 1, now);
    assert!(!shows_copy(&policy), "nothing is known of the bodies");
    policy.record_body(digest(2, 1), 1, now);
    assert!(shows_copy(&policy));
    policy.record_body(digest(2, 1), 2, now);
    assert!(!shows_copy(&policy), "a stored value");
}
