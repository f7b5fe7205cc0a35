//! Resume tokens: a signed token is verified at any entry with the key; anything else is rejected.

use domain::IncarnationNumber;
use entry::digest::{ContentDigest, TextDigest};
use entry::settings::SecretText;
use entry::token::{StreamOffset, TokenError, TokenScope, TokenSigner};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 0x5eed_0002;

fn scope() -> TokenScope {
    TokenScope {
        request: "e0.1".parse().expect("an id"),
        customer: "traders".parse().expect("an id"),
        attempt: "e0.1.2".parse().expect("an id"),
        replica: "r7".parse().expect("an id"),
        incarnation: IncarnationNumber(3),
        content: ContentDigest::of_parts(&[b"a question"]),
    }
}

fn signer(key: &str) -> TokenSigner {
    TokenSigner::new(Some(&SecretText::from(key)))
}

#[test]
fn valid_at_another_entry() {
    let offset = StreamOffset {
        count: 17,
        digest: TextDigest::default().extended("word "),
    };
    let text = signer("shared").scope(&scope()).sign(offset);
    let token = signer("shared").verify(&text).expect("a valid token");
    assert_eq!(token.scope, scope());
    assert_eq!(token.offset, offset);
    let other_key = signer("another").verify(&text);
    assert_eq!(other_key, Err(TokenError::InvalidSignature));
}

/// A client could modify a token to read another client's response or to skip part of its own. Any
/// change of a single byte must be detected.
#[test]
fn modified_byte() {
    let text = signer("shared")
        .scope(&scope())
        .sign(StreamOffset::default());
    for index in 0..text.len() {
        let mut bytes = text.clone().into_bytes();
        bytes[index] = if bytes[index] == b'A' { b'B' } else { b'A' };
        let modified = String::from_utf8(bytes).expect("ASCII");
        let verified = signer("shared").verify(&modified);
        assert!(verified.is_err(), "byte {index} modified: {verified:?}");
    }
}

/// Clients may send arbitrary text as `Last-Event-ID`. It must neither be accepted as a token nor
/// cause a panic.
#[test]
fn arbitrary_text() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes arguments by value"
    )]
    fn property(text: String) -> bool {
        signer("shared").verify(&text).is_err()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, SEED))
        .tests(500)
        .quickcheck(property as fn(String) -> bool);
}

#[test]
fn secrets_not_printed() {
    let key = SecretText::from("very secret");
    let printed = format!("{key:?} {:?}", TokenSigner::new(Some(&key)));
    assert!(!printed.contains("very secret"), "{printed}");
}
