//! Tests of the setting for the shared secret.

use bpaf::Parser;
use masticcross_basics::secret::{SecretError, check, secret};

#[test]
fn secret_is_accepted_if_it_is_long_enough_and_printable() {
    assert_eq!(check(None), Err(SecretError::Missing));
    assert_eq!(check(Some("x".repeat(15))), Err(SecretError::NotAccepted));
    assert_eq!(check(Some(" ".repeat(16))), Err(SecretError::NotAccepted));
    assert_eq!(check(Some("x".repeat(16))), Ok("x".repeat(16)));
}

#[test]
fn help_names_the_environment_variable_but_does_not_show_its_value() {
    let help = secret().to_options().run_inner(&["--help"]);
    let text = help.expect_err("help is shown").unwrap_stdout();
    assert!(text.contains("MASTICCROSS_SECRET"), "{text}");
    assert!(!text.contains("[env:"), "{text}");
}
