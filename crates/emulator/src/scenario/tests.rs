//! The bundled scenario files.

use super::*;

#[test]
fn accepts_all_bundled_scenarios() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios");
    let (mut files, mut kinds) = (0, std::collections::BTreeSet::new());
    for entry in std::fs::read_dir(folder).expect("the scenarios folder is readable") {
        let path = entry.expect("a directory entry").path();
        let text = std::fs::read_to_string(&path).expect("a readable file");
        // Some files only hold faults that are added to another scenario.
        if !text.contains("[fleet]") {
            continue;
        }
        let file = path.display().to_string();
        let scenario = Scenario::parse(Document {
            file: &file,
            text: &text,
        })
        .expect("a valid scenario");
        let is_within_run =
            |fault: &ScheduledFault| fault.at_s + fault.duration_s <= scenario.duration_s;
        assert!(
            scenario.faults.iter().all(is_within_run),
            "{file}: a fault ends after the run"
        );
        kinds.extend(
            scenario
                .faults
                .iter()
                .map(|fault| format!("{:?}", fault.kind)),
        );
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
