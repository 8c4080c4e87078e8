//! Format and age limits of idempotency keys.

use idempotency_keys::{IdempotencyKey, IdempotencyKeyError};

const HOUR: u64 = 3_600_000;

#[test]
fn malformed_old_and_future_keys_are_rejected() {
    let read = |text: &str| IdempotencyKey::read(text, "sign", 10 * HOUR, HOUR, HOUR / 10);
    for text in ["", "-", "12", "12-", "a-b", "-x", "99999999999999999-x"] {
        assert_eq!(read(text), Err(IdempotencyKeyError::Malformed), "{text}");
    }
    let old = format!("{}-x", 9 * HOUR);
    assert_eq!(read(&old), Err(IdempotencyKeyError::TooOld));
    let new = format!("{}-x", 11 * HOUR);
    assert_eq!(read(&new), Err(IdempotencyKeyError::TooNew));
    let valid = read(&format!("{}-x-y", 10 * HOUR)).unwrap();
    assert!(valid.register.starts_with("once/00000036000000/sign/"));
}
