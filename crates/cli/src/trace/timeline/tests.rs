//! Drawings of seconds.

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
        draw(&file, &vec![one; seconds]).expect("a drawing");
        let text = std::fs::read_to_string(&file).expect("a file");
        assert!(
            text.starts_with("<svg") && text.contains("refused") && text.len() < 1 << 20,
            "{seconds}"
        );
        // A line has a point for each second, up to the most.
        assert_eq!(
            text.matches(',').count() > 6 * 1000,
            seconds > 1000,
            "{seconds}"
        );
    }
    std::fs::remove_file(&file).expect("the file");
}
