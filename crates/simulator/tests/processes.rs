//! Helpers for tests with real processes.

use dillcleat_simulator::processes::free_addrs;

/// The first port that the system assigns to outgoing connections.
fn first_ephemeral_port() -> u16 {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range");
    let range = range.expect("Linux tells the range");
    let first = range.split_whitespace().next().expect("two numbers");
    first.parse().expect("a port")
}

/// Guards against a controller that can't start since an outgoing connection has taken its port
/// between the choice of the port and the start (issue 65).
#[test]
fn ports_of_controllers_are_not_taken_by_outgoing_connections() {
    let first_ephemeral = first_ephemeral_port();
    let (addrs, _reserved_ports) = free_addrs(50).expect("free ports");
    let taken: Vec<_> = addrs
        .iter()
        .filter(|a| a.port() >= first_ephemeral)
        .collect();
    assert!(
        taken.is_empty(),
        "{taken:?}, ephemeral from {first_ephemeral}"
    );
}
