//! The bundled scenario files.

use super::*;

#[test]
fn accepts_all_bundled_scenarios() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios");
    let (mut files, mut kinds) = (0, std::collections::BTreeSet::new());
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        let text = std::fs::read_to_string(&path).expect("a file");
        // Some are only what another one adds.
        if !text.contains("[fleet]") {
            continue;
        }
        let file = path.display().to_string();
        let day = Scenario::parse(Document {
            file: &file,
            text: &text,
        })
        .expect("a sound scenario");
        let over = |t: &ScheduledFault| t.at_s + t.duration_s <= day.seconds;
        assert!(
            day.faults.iter().all(over),
            "{file}: a trouble outlasts the day"
        );
        kinds.extend(day.faults.iter().map(|t| format!("{:?}", t.kind)));
        files += 1;
    }
    assert!(files >= 8);
    for kind in [
        "HeavyTail",
        "HotServices",
        "ProgramsLost",
        "PlacerStalls",
        "AnswersLost",
        "ClassSilence",
    ] {
        assert!(kinds.contains(kind), "no scenario has {kind}");
    }
}
