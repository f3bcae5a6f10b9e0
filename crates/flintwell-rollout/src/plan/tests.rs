use super::*;

const VALID: &str = r#"
fleet = "f"
settings = "new.json"
stages = ["canary", "50%", "100%"]
[times]
watch_s = 2
[limits]
loss = 0.05
[[members]]
name = "n0"
zone = "a"
at = "127.0.0.1:1"
[[members]]
name = "n1"
zone = "a"
at = "127.0.0.1:2"
[[members]]
name = "n2"
zone = "b"
at = "127.0.0.1:3"
[[members]]
name = "n3"
zone = "b"
at = "127.0.0.1:4"
"#;

#[test]
fn canaries_of_each_zone_come_first_and_missing_keys_get_defaults() {
    let plan = Plan::parse("p", VALID).expect("a plan");
    let names: Vec<&str> = plan.members.iter().map(|member| &*member.0.name).collect();
    assert_eq!((names, &*plan.stages), (vec!["n0", "n2", "n1", "n3"], &[2, 4][..]));
    assert_eq!(
        (plan.config.watch_ms, plan.config.min_detectable_loss, plan.config.settle_ms),
        (2_000, 0.05, 1_000)
    );
    let default_stages = Plan::parse("p", &VALID.replace("stages = [\"canary\", \"50%\", \"100%\"]\n", ""));
    assert_eq!(default_stages.expect("a plan").stages, vec![2, 3, 4]);
}

#[test]
fn all_errors_are_reported_at_once_with_their_lines() {
    let invalid = VALID
        .replace("fleet = \"f\"", "fleat = \"f\"")
        .replace("[\"canary\", \"50%\", \"100%\"]", "[3, 2, \"120%\"]")
        .replace("watch_s = 2", "watch_s = -2\nunheard_s = 60")
        .replace("name = \"n2\"\nzone", "name = \"n1\"\nzona")
        .replace("127.0.0.1:4", "nowhere");
    let errors = Plan::parse("p.toml", &invalid).expect_err("invalid");
    for (line, message) in [
        (1, "fleet is missing"),
        (2, r#"unknown key "fleat"; the nearest is "fleet""#),
        (4, "a stage has to be larger"),
        (4, "a stage is \"canary\""),
        (4, "the last stage"),
        (5, "unheard_s has to be under"),
        (6, "watch_s has to be a number from 0.1"),
        (20, "unknown key \"zona\""),
        (18, "member \"n1\" is there twice"),
        (25, "at = \"nowhere\""),
    ] {
        let prefix = format!("p.toml:{line}: ");
        assert!(
            errors.iter().any(|error| error.starts_with(&prefix) && error.contains(message)),
            "{line} {message}: {errors:#?}"
        );
    }
    assert_eq!(Plan::parse("p", "fleet = ").expect_err("not TOML").len(), 1);
}
