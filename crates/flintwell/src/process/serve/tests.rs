use super::*;

#[tokio::test]
async fn task_is_restarted_after_a_panic() {
    let mut starts = 0;
    let task = async || {
        starts += 1;
        assert!(starts > 2, "panics twice");
    };
    restart_on_panic("a task", task).await;
    assert_eq!(starts, 3);
}
