//! Random and parsed schedules.

use maplethread_config::Document;

use super::Schedule;

fn errors_of(text: &str) -> String {
    Schedule::parse(Document { file: "f", text }).map_or_else(|e| e.to_string(), |_| String::new())
}

#[test]
fn random_schedules_are_valid_and_round_trip_through_toml() {
    for seed in 0..300 {
        let schedule = Schedule::random(seed, 8, 20.0);
        let text = toml::to_string(&schedule).expect("a schedule serializes to TOML");
        assert_eq!(
            Schedule::parse(Document {
                file: "f",
                text: &text
            })
            .expect("a random schedule is valid"),
            schedule,
            "{text}"
        );
    }
}

#[test]
fn reports_each_invalid_key() {
    let with = |fault: &str| {
        errors_of(&format!(
            "placers = 4\nfaults_s = 9.0\n[[fault]]\n{fault}\n"
        ))
    };
    let kill = "kind = \"kill\"\nplacers = [0, 3]";
    assert_eq!(with(&format!("at_s = 1.0\nfor_s = 2.0\n{kill}")), "");
    assert!(with(&format!("at_s = 8.0\nfor_s = 2.0\n{kill}")).contains("must end before faults_s"));
    assert!(with("at_s = 1.0\nfor_s = 2.0\nkind = \"kill\"\nplacers = [4]").contains("fault[0]"));
    assert!(
        with("at_s = 1.0\nfor_s = 2.0\nkind = \"loss\"\nshare = 2.0\nmost_ms = 1.0")
            .contains("share")
    );
    assert!(!with(&format!("at_s = 1.0\nfor_s = 2.0\nspeed = 3\n{kill}")).is_empty());
    assert!(!with("at_s = 1.0\nfor_s = 2.0\nkind = \"earthquake\"").is_empty());
    assert!(errors_of("placers = 0\nfaults_s = -1.0").lines().count() == 2);
}

#[test]
fn shipped_schedules_are_valid() {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/../../config/drills");
    let files = std::fs::read_dir(directory).expect("the schedule directory exists");
    let mut count = 0;
    for file in files {
        let path = file.expect("the schedule directory can be listed").path();
        let text = std::fs::read_to_string(&path).expect("the schedule file can be read");
        let result = Schedule::parse(Document {
            file: &path.display().to_string(),
            text: &text,
        });
        assert!(
            result.is_ok(),
            "{}",
            result.expect_err("the schedule is invalid")
        );
        count += 1;
    }
    assert!(count >= 7, "{count} schedules");
}
