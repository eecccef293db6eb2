//! Rows of agreed usage, with and without names.

use proptest::prelude::{ProptestConfig, any, prop_assert, prop_assert_eq, proptest};
use samphiredeck_core::{
    forward::usage::{WindowCounts, WindowIndex},
    ids::WorkspaceName,
    name_text::NameTexts,
};
use samphiredeck_wire::record::{
    AgreedUsage, SharedRecord, decode_record, encode_record, encode_usage, usage_key,
};

const WINDOW: WindowIndex = WindowIndex(353_445_120);
/// Bytes of a row in the smallest deployments.
const ROW_BYTES: usize = 65_536;

fn counts_of(texts: &[String]) -> (WindowCounts, NameTexts) {
    let (mut counts, mut names) = (WindowCounts::new(WINDOW), NameTexts::default());
    for text in texts {
        let Ok(workspace) = WorkspaceName::of_text(text) else { continue };
        names.record(workspace.as_str(), text);
        counts.add(&workspace, 1_000_000);
    }
    (counts, names)
}

fn decode(value: &[u8]) -> AgreedUsage {
    match decode_record(&usage_key(WINDOW), value).unwrap() {
        Some(SharedRecord::Usage(usage)) => usage,
        other => panic!("{other:?}"),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    /// Guards against names that are lost with the process that has read them.
    #[test]
    fn names_are_read_back_from_the_row(texts in proptest::collection::vec("\\PC{1,80}", 0..8), plain in any::<bool>()) {
        let texts = if plain { vec!["desk".to_owned()] } else { texts };
        let (counts, names) = counts_of(&texts);
        let usage = decode(&encode_usage(&counts, &names).unwrap());
        prop_assert!(usage.is_named());
        prop_assert_eq!(&usage.counts, &counts);
        for row in &counts.counts {
            let id = row.workspace.as_str();
            prop_assert_eq!(usage.names.text_of(id), names.text_of(id));
        }
    }
}

/// Builds of before write identifiers alone, and read rows without hashes.
#[test]
fn rows_without_hashes_are_those_of_builds_before() {
    let (plain, names) = counts_of(&["desk".to_owned(), "Desk One".to_owned()]);
    assert_eq!(encode_usage(&plain, &names).unwrap(), encode_record(&plain).unwrap());
    let (hashed, names) = counts_of(&["Vakatoka Church Youth Ferry Group of Lautoka".to_owned()]);
    let before = decode(&encode_record(&hashed).unwrap());
    assert!(!before.is_named() && before.counts == hashed);
    assert!(decode(&encode_usage(&hashed, &names).unwrap()).is_named());
}

/// Guards against rows that outgrow what the store takes.
#[test]
fn hundreds_of_long_names_fit_into_a_row() {
    let texts: Vec<String> = (0..300)
        .map(|number| format!("{number:03} {}", "Ä Ferry Group ".repeat(5).trim()))
        .collect();
    assert!(texts.iter().all(|text| text.chars().count() >= 64));
    let (counts, names) = counts_of(&texts);
    let value = encode_usage(&counts, &names).unwrap();
    assert!(value.len() < ROW_BYTES, "{} bytes", value.len());
}
