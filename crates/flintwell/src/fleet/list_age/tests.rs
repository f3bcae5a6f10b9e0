use super::*;

#[test]
fn an_age_is_told_only_of_the_same_list_and_boot_and_never_of_the_future() {
    let clock = BootClock { boot: "this".into() };
    let confirmation = clock.confirms(7, 2_000_000);
    let age = clock.age(7, &confirmation).expect("an age");
    assert!((2_000_000..3_000_000).contains(&age), "{age} us");
    assert_eq!(clock.age(8, &confirmation), None, "another list");
    assert_eq!(BootClock { boot: "other".into() }.age(7, &confirmation), None, "another boot");
    assert_eq!(clock.age(7, &clock.confirms(7, -1_000_000)), None, "of the future");
}
