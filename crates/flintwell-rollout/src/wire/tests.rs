use super::*;

#[test]
fn histogram_round_trips_and_invalid_text_is_refused() {
    let mut latencies = new_latency_histogram();
    (1..1_000u64).for_each(|n| latencies.saturating_record(n * 1_000));
    latencies.saturating_record(u64::MAX);
    let text = encode_histogram(&latencies);
    assert_eq!(decode_histogram(&text), Some(latencies));
    assert!(text.len() < 8_192, "{}", text.len());
    for invalid in ["", "AAAA", "no base", &text[..40]] {
        assert_eq!(decode_histogram(invalid), None);
    }
    let other = Histogram::new_with_bounds(1, 1_000, 1).expect("valid bounds");
    assert_eq!(
        decode_histogram(&encode_histogram(&other)),
        None,
        "histograms with other bounds cannot be merged"
    );
}

#[test]
fn hash_depends_on_content_and_not_on_key_order() {
    let hash_of = |text: &str| hash(&serde_json::from_str(text).expect("JSON"));
    assert_eq!(hash_of(r#"{"a":1,"b":[2]}"#), hash_of(r#"{"b":[2], "a":1}"#));
    assert_ne!(hash_of(r#"{"a":1}"#), hash_of(r#"{"a":2}"#));
}
