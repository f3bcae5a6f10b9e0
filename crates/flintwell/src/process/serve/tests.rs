use super::*;

#[tokio::test]
async fn a_part_that_panics_starts_again() {
    let mut starts = 0;
    let work = async || {
        starts += 1;
        assert!(starts > 2, "panics twice");
    };
    lasting("a part", work).await;
    assert_eq!(starts, 3);
}
