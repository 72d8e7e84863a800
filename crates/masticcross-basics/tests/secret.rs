//! Checks of the shared secret's setting.

use bpaf::Parser;
use masticcross_basics::secret::{SecretError, check, secret};

#[test]
fn the_environment_needs_a_long_enough_secret() {
    assert_eq!(check(None), Err(SecretError::Missing));
    assert_eq!(check(Some("x".repeat(15))), Err(SecretError::NotAccepted));
    assert_eq!(check(Some(" ".repeat(16))), Err(SecretError::NotAccepted));
    assert_eq!(check(Some("x".repeat(16))), Ok("x".repeat(16)));
}

#[test]
fn help_does_not_read_the_value_from_the_environment() {
    let help = secret().to_options().run_inner(&["--help"]);
    let text = help.expect_err("help is shown").unwrap_stdout();
    assert!(text.contains("MASTICCROSS_SECRET"), "{text}");
    assert!(!text.contains("[env:"), "{text}");
}
