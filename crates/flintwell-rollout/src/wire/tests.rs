use super::*;

#[test]
fn times_come_back_as_they_were_and_what_is_none_is_refused() {
    let mut times = new_latency_histogram();
    (1..1_000u64).for_each(|n| times.saturating_record(n * 1_000));
    times.saturating_record(u64::MAX);
    let text = encode_histogram(&times);
    assert_eq!(decode_histogram(&text), Some(times));
    assert!(text.len() < 8_192, "{}", text.len());
    for wrong in ["", "AAAA", "no base", &text[..40]] {
        assert_eq!(decode_histogram(wrong), None);
    }
    let other = Histogram::new_with_bounds(1, 1_000, 1).expect("bounds");
    assert_eq!(decode_histogram(&encode_histogram(&other)), None, "it would not merge");
}

#[test]
fn the_hash_is_of_the_content_and_not_of_its_order() {
    let read = |text: &str| hash(&serde_json::from_str(text).expect("JSON"));
    assert_eq!(read(r#"{"a":1,"b":[2]}"#), read(r#"{"b":[2], "a":1}"#));
    assert_ne!(read(r#"{"a":1}"#), read(r#"{"a":2}"#));
}
