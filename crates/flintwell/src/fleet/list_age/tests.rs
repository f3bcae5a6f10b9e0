use super::*;

#[test]
fn age_requires_the_same_list_and_boot_and_is_never_negative() {
    let clock = BootClock { boot: "this".into() };
    let confirmation = clock.confirmation(7, 2_000_000);
    let age = clock.age(7, &confirmation).expect("an age");
    assert!((2_000_000..3_000_000).contains(&age), "{age} us");
    assert_eq!(clock.age(8, &confirmation), None, "another list");
    assert_eq!(BootClock { boot: "other".into() }.age(7, &confirmation), None, "another boot");
    assert_eq!(clock.age(7, &clock.confirmation(7, -1_000_000)), None, "confirmed in the future");
}
