//! Change tracking of a slab.

use dillcleat_controller::slab::Slab;

#[test]
fn changed_index_is_reported_once_even_if_its_value_is_removed() {
    let mut s: Slab<u32> = Slab::default();
    let a = s.insert("a".into(), 1);
    let b = s.insert("b".into(), 2);
    assert_eq!(s.take_changed(), [a, b]);
    assert_eq!(s.get("a"), Some(&1));
    assert!(s.take_changed().is_empty(), "reads change nothing");
    for _ in 0..2 {
        if let Some(v) = s.get_mut("b") {
            *v += 1;
        }
    }
    assert_eq!(s.remove("a"), Some(1));
    // The index is reused before the changed ones are taken.
    assert_eq!(s.insert("c".into(), 9), a);
    assert_eq!(s.take_changed(), [b, a]);
    assert_eq!(s.at(a).map(|(n, v)| (&**n, *v)), Some(("c", 9)));
    assert_eq!((s.len(), s.contains_key("a")), (2, false));
}
