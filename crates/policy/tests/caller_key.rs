//! Caller keys are compared by keyed digests and have no text form.

use policy::{CallerKey, KeyHasher, KeySalt};

#[test]
fn equal_keys_have_equal_digests_under_one_salt_alone() {
    let [one, other] = [(); 2].map(|()| KeyHasher::new(KeySalt::random().unwrap()));
    let [key, same, differs] =
        ["key-1", "key-1", "key-2"].map(|text| CallerKey::new(text.as_bytes()));
    assert_eq!(one.digest(&key), one.digest(&same));
    assert_ne!(one.digest(&key), one.digest(&differs));
    assert_ne!(one.digest(&key), other.digest(&key));
    assert_eq!(KeyHasher::new(one.salt()).digest(&key), one.digest(&key));
}

#[test]
fn neither_a_key_nor_its_digest_nor_the_salt_shows_in_debug_output() {
    let hasher = KeyHasher::new(KeySalt::random().unwrap());
    let key = CallerKey::new(b"secret");
    let shown = format!(
        "{key:?} {:?} {:?} {hasher:?}",
        hasher.digest(&key),
        hasher.salt()
    );
    assert_eq!(shown, "CallerKey KeyDigest KeySalt KeyHasher");
}
