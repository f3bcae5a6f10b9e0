use super::*;

#[test]
fn shipped_plans_parse_and_a_parse_error_names_its_line() {
    let plans = Path::new(env!("CARGO_MANIFEST_DIR")).join("plans");
    for file in std::fs::read_dir(&plans).expect("plans").flatten() {
        Plan::read(&file.path()).expect("a plan");
    }
    let folder = tempfile::tempdir().expect("a folder");
    for (text, line, message) in [
        ("seed = 1\ntime_s = 1\n[fleet]\nproxy = 3\n", 4, "unknown field `proxy`"),
        (
            "seed = 1\ntime_s = 1\n[[events]]\nat_s = 1\ndo = \"kil\"\nwho = \"n0\"\n",
            3,
            "unknown variant `kil`",
        ),
        (
            "seed = 1\ntime_s = 1\n[[events]]\nat_s = 1\ndo = \"kill\"\nwhom = \"n0\"\n",
            3,
            "unknown field `whom`",
        ),
    ] {
        let file = folder.path().join("plan.toml");
        std::fs::write(&file, text).expect("written");
        let error = Plan::read(&file).expect_err("invalid plan");
        assert!(error.contains(&format!("plan.toml:{line}: ")) && error.contains(message), "{error}");
    }
}
