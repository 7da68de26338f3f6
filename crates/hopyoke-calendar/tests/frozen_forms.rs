//! The stored encoding of staffing overrides (key `staffed` of the key-value store) does not change.

#[path = "../../hopyoke-protocol/tests/frozen/mod.rs"]
mod frozen;

use frozen::assert_stored;
use hopyoke_calendar::StaffingOverride;

#[test]
fn staffing_overrides() {
    let on = StaffingOverride {
        staffed: true,
        expires_at_us: 1_700_000_000_000_000,
        operator: "ana".into(),
    };
    assert_stored("switch-on", &on);
    assert_stored(
        "switch-off",
        &StaffingOverride {
            staffed: false,
            operator: "ben".into(),
            ..on
        },
    );
}
