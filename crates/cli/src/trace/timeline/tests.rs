//! Tests of the SVG timeline.

use super::*;

#[test]
fn draws_long_and_empty_timelines() {
    let folder = std::env::temp_dir().join(format!("maplethread-timeline-{}", std::process::id()));
    let file = folder.with_extension("svg");
    for seconds in [0, 1, 86_400] {
        let one = SecondCounts {
            requests: 10,
            placed: 9,
            rejected: 1,
            ..SecondCounts::default()
        };
        draw(&file, &vec![one; seconds]).expect("the timeline can be drawn");
        let text = std::fs::read_to_string(&file).expect("the drawn file can be read");
        assert!(
            text.starts_with("<svg") && text.contains("refused") && text.len() < 1 << 20,
            "{seconds}"
        );
        // A line has one point for each second, up to `MAX_POINTS`.
        assert_eq!(
            text.matches(',').count() > 6 * 1000,
            seconds > 1000,
            "{seconds}"
        );
    }
    std::fs::remove_file(&file).expect("the drawn file can be removed");
}
