//! Resume tokens: what is sealed is opened again, anything else is refused.

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
fn opened_elsewhere() {
    let offset = StreamOffset {
        count: 17,
        digest: TextDigest::default().extended("word "),
    };
    let text = signer("shared").scope(&scope()).sign(offset);
    let token = signer("shared").verify(&text).expect("opens");
    assert_eq!(token.scope, scope());
    assert_eq!(token.offset, offset);
    let stranger = signer("another").verify(&text);
    assert_eq!(stranger, Err(TokenError::InvalidSignature));
}

/// A caller changes a token, to read another's answer or more than its own. Every change of a
/// single byte must be noticed.
#[test]
fn changed_byte() {
    let text = signer("shared")
        .scope(&scope())
        .sign(StreamOffset::default());
    for place in 0..text.len() {
        let mut bytes = text.clone().into_bytes();
        bytes[place] = if bytes[place] == b'A' { b'B' } else { b'A' };
        let changed = String::from_utf8(bytes).expect("ASCII");
        let opened = signer("shared").verify(&changed);
        assert!(opened.is_err(), "byte {place} changed: {opened:?}");
    }
}

/// Clients send whatever they like as `Last-Event-ID`; nothing of it may be taken for a token or
/// end the process.
#[test]
fn any_text() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "the library hands values over"
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
fn secret_hidden() {
    let key = SecretText::from("very secret");
    let printed = format!("{key:?} {:?}", TokenSigner::new(Some(&key)));
    assert!(!printed.contains("very secret"), "{printed}");
}
