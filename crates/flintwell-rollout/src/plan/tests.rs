use super::*;

const WELL: &str = r#"
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
fn one_of_each_zone_comes_first_and_what_is_not_told_has_a_stated_value() {
    let plan = Plan::parse("p", WELL).expect("a plan");
    let names: Vec<&str> = plan.members.iter().map(|member| &*member.0.name).collect();
    assert_eq!((names, &*plan.stages), (vec!["n0", "n2", "n1", "n3"], &[2, 4][..]));
    assert_eq!(
        (plan.config.watch_ms, plan.config.min_detectable_loss, plan.config.settle_ms),
        (2_000, 0.05, 1_000)
    );
    let usual = Plan::parse("p", &WELL.replace("stages = [\"canary\", \"50%\", \"100%\"]\n", ""));
    assert_eq!(usual.expect("a plan").stages, vec![2, 3, 4]);
}

#[test]
fn all_that_is_wrong_is_told_at_once_with_its_line() {
    let wrong = WELL
        .replace("fleet = \"f\"", "fleat = \"f\"")
        .replace("[\"canary\", \"50%\", \"100%\"]", "[3, 2, \"120%\"]")
        .replace("watch_s = 2", "watch_s = -2\nunheard_s = 60")
        .replace("name = \"n2\"\nzone", "name = \"n1\"\nzona")
        .replace("127.0.0.1:4", "nowhere");
    let told = Plan::parse("p.toml", &wrong).expect_err("wrong");
    for (line, what) in [
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
        let place = format!("p.toml:{line}: ");
        assert!(
            told.iter().any(|one| one.starts_with(&place) && one.contains(what)),
            "{line} {what}: {told:#?}"
        );
    }
    assert_eq!(Plan::parse("p", "fleet = ").expect_err("no TOML").len(), 1);
}
