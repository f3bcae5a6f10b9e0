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
fn a_response_is_a_copy_if_its_body_was_sent_for_another_path_on_the_connection() {
    let digest = |body, path| ResponseDigest { body, path };
    let (mut history, start) = (ResponseHistory::default(), Instant::now());
    (0..9).for_each(|n| history.push(digest(n, n), start));
    assert!(history.has_copy_of(&digest(8, 20), start) && history.has_copy_of(&digest(0, 20), start));
    assert!(!history.has_copy_of(&digest(8, 8), start), "the same path may well have the same body");
    assert!(!history.has_copy_of(&digest(20, 21), start));
    assert!(!history.has_copy_of(&digest(8, 20), start + COPY_WINDOW));
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
    assert!(!policy.bodies_are_distinct(now), "paths 1 and 2 have one body on connections 1 and 2");
    assert!(policy.bodies_are_distinct(now + EVIDENCE_LIFETIME));
    let mut distinct = RestPolicy::default();
    (0..200).for_each(|n| distinct.record_body(digest(n, n), n % 5, now));
    assert!(distinct.bodies_are_distinct(now) && distinct.bodies.len() == REMEMBERED_BODIES);
}
