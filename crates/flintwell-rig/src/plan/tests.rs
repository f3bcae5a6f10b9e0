use super::*;

#[test]
fn every_plan_that_lies_here_is_read_and_a_slip_is_told_with_its_line() {
    let plans = Path::new(env!("CARGO_MANIFEST_DIR")).join("plans");
    for file in std::fs::read_dir(&plans).expect("plans").flatten() {
        Plan::read(&file.path()).expect("a plan");
    }
    let folder = tempfile::tempdir().expect("a folder");
    for (slip, line, what) in [
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
        std::fs::write(&file, slip).expect("written");
        let why = Plan::read(&file).expect_err("a slip");
        assert!(why.contains(&format!("plan.toml:{line}: ")) && why.contains(what), "{why}");
    }
}
