//! What may be sent to the cloud, and until when.

use dillcleat_core::warrant::{Deed, Footing, Ground, proof_time};
use dillcleat_core::{Config, SECOND, Tuning, micros};
use dillcleat_wire::cloud::CloudCall;
use dillcleat_wire::platform::Platform;

fn config(lead_ttl_s: f64) -> Config {
    let text = include_str!("../../../deploy/example-node.toml");
    let platform = Platform::parse(text).expect("good settings");
    let tuning = Tuning {
        lead_ttl_s,
        ..Tuning::default()
    };
    Config::new(&platform, tuning)
}

const DELETIONS: [Deed; 4] = [
    Deed::Delete(Ground::Cancelled),
    Deed::Delete(Ground::Failed),
    Deed::Delete(Ground::Silent),
    Deed::Delete(Ground::Returned),
];

/// Leave ends before the loan does, whatever the loan's time.
#[test]
fn nothing_that_lasts_is_sent_once_another_may_lead() {
    for ttl in [0.5, 2.5, 60.0] {
        let config = config(ttl);
        let sent = 100 * SECOND;
        let footing = Footing {
            proved: sent,
            ..Footing::default()
        };
        for deed in DELETIONS.into_iter().chain([Deed::Rent]) {
            let given = |at| footing.leave(&config, at, deed).is_some();
            let leave = footing.leave(&config, sent + 100_000, deed);
            let leave = leave.expect("proved a moment ago");
            let last = sent + 100_000 + leave.within(sent + 100_000);
            assert_eq!(last, sent + proof_time(&config));
            // By a clock that runs 0.05% slow.
            assert!(
                (last - sent) * 10_005 / 10_000 < micros(ttl),
                "{ttl} {deed:?}"
            );
            assert!(given(last - 1) && !given(last), "{ttl} {deed:?}");
        }
        let look = footing.leave(&config, sent + 100 * SECOND, Deed::Look);
        assert!(look.is_some_and(|l| !l.covers(&CloudCall::Delete(Vec::new()))));
    }
}

/// Not for a cancellation either: leases end what nobody can prove to be allowed to.
#[test]
fn without_proof_nothing_is_deleted_on_any_ground() {
    let config = config(2.5);
    for apart in [false, true] {
        let footing = Footing { proved: 0, apart };
        for deed in DELETIONS.into_iter().chain([Deed::Rent]) {
            assert!(footing.leave(&config, 100 * SECOND, deed).is_none());
        }
    }
}
