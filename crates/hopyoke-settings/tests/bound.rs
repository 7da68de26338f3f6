//! For all settings that validation accepts, the cancellation bound fits in `cancel_s`.

use hopyoke_settings::Settings;

const VALID_SETTINGS: &str = include_str!("../../hopyoke/tests/checks/settings.toml");

#[test]
fn cancellation_bound_fits_in_accepted_settings() {
    let mut accepted = 0;
    for lease_ds in (1..1200).step_by(7) {
        for extra_ds in (1..300).step_by(3) {
            let lease = f64::from(lease_ds) / 10.0;
            let cancel = lease + f64::from(extra_ds) / 10.0;
            let text = VALID_SETTINGS.replace("lease_s = 14.0", &format!("lease_s = {lease:?}"));
            let text = text.replace("cancel_s = 34.0", &format!("cancel_s = {cancel:?}"));
            let Ok(settings) = Settings::parse("bound", &text) else {
                continue;
            };
            accepted += 1;
            let total = settings.cancellation_bound().total().as_secs_f64();
            assert!(
                total <= cancel,
                "lease {lease}, cancel {cancel}: a task may run for {total} s"
            );
        }
    }
    assert!(accepted > 1000, "{accepted} settings were accepted");
}
