use super::*;
use std::net::TcpListener;

fn addresses() -> [SocketAddr; 2] {
    [SocketAddr::from(([127, 0, 0, 1], 9_600)), SocketAddr::from(([127, 0, 0, 1], 9_601))]
}

#[test]
fn configured_addresses_are_taken_first() {
    let [first, second] = addresses();
    for (held, expected) in [(vec![], first), (vec![first], second), (vec![second], first)] {
        assert_eq!(ManagementAddress::choose(&addresses(), &held).expect("address").address, expected);
    }
}

#[test]
fn further_processes_get_free_ports_on_which_they_can_listen() {
    let mut held = addresses().to_vec();
    let further: Vec<_> = (0..4)
        .map(|_| {
            let chosen = ManagementAddress::choose(&addresses(), &held).expect("address");
            assert!(!held.contains(&chosen.address) && chosen.address.ip() == addresses()[0].ip());
            held.push(chosen.address);
            chosen
        })
        .collect();
    // The standard library sets SO_REUSEADDR, as the program does.
    let listeners: Vec<_> = further.iter().map(|chosen| TcpListener::bind(chosen.address)).collect();
    assert!(listeners.iter().all(Result::is_ok), "{listeners:?}");
}
