//! Names of any alphabet and length as identifiers.

use proptest::prelude::*;
use samphiredeck_core::{
    ids::{IdError, WorkspaceName},
    name_text::{NameTexts, decode_name, encode_name},
};

#[test]
fn identifiers_stand_for_themselves() {
    for name in ["tenant-1", "a", "a_b.c", &"x".repeat(64)] {
        assert_eq!(encode_name(name).unwrap(), name);
        assert_eq!(decode_name(name).unwrap(), name);
    }
}

/// Guards against names that are refused, or that a header can't carry and that are accepted.
#[test]
fn names_of_any_alphabet_are_read_back() {
    for name in ["Macon-Dealers", "Тбилиси", "a b", "x\"y\\", "__a", "_-0", "/", "日本"] {
        let id = encode_name(name).unwrap();
        assert!(id.parse::<WorkspaceName>().is_ok(), "{id}");
        assert_eq!(decode_name(&id).unwrap(), name);
    }
    for name in ["", " a", "a ", "a\nb", "\u{7f}"] {
        assert!(matches!(encode_name(name), Err(IdError::Length(_) | IdError::Character(_))));
    }
}

#[test]
fn long_names_are_found_once_recorded() {
    let name = "Dealers of Georgia, ".repeat(400) + "all";
    let id = encode_name(&name).unwrap();
    assert!(id.parse::<WorkspaceName>().is_ok(), "{id}");
    let mut texts = NameTexts::default();
    assert_eq!(texts.text_of(&id), None);
    texts.record(&id, &name);
    let mut merged = NameTexts::default();
    merged.record("tenant-1", "tenant-1");
    merged.merge(&texts);
    assert_eq!(merged.text_of(&id).unwrap(), name);
    assert_eq!(merged.text_of("tenant-1").unwrap(), "tenant-1");
}

proptest! {
    #[test]
    fn different_names_have_different_identifiers(a in "\\PC{1,80}", b in "[-_a-zA-Z.]{1,70}") {
        for (one, other) in [(&a, &b), (&b, &a)] {
            let Ok(id) = encode_name(one) else { continue };
            prop_assert!(id.parse::<WorkspaceName>().is_ok());
            let mut texts = NameTexts::default();
            texts.record(&id, one);
            prop_assert_eq!(texts.text_of(&id).unwrap(), one.as_str());
            prop_assert!(one == other || encode_name(other).ok() != Some(id));
        }
    }
}
