//! Which texts are idempotency keys.

use idempotency_keys::{IdempotencyKey, IdempotencyKeyError};

const HOUR: u64 = 3_600_000;

#[test]
fn keys_out_of_shape_or_time_are_refused() {
    let read = |text: &str| IdempotencyKey::read(text, "sign", 10 * HOUR, HOUR, HOUR / 10);
    for text in ["", "-", "12", "12-", "a-b", "-x", "99999999999999999-x"] {
        assert_eq!(read(text), Err(IdempotencyKeyError::Malformed), "{text}");
    }
    let old = format!("{}-x", 9 * HOUR);
    assert_eq!(read(&old), Err(IdempotencyKeyError::TooOld));
    let new = format!("{}-x", 11 * HOUR);
    assert_eq!(read(&new), Err(IdempotencyKeyError::TooNew));
    let good = read(&format!("{}-x-y", 10 * HOUR)).unwrap();
    assert!(good.register.starts_with("once/00000036000000/sign/"));
}
