//! Identification of processes through `/proc`.

use super::stat::parse_stat;
use super::*;

#[test]
fn parses_stat_line_when_program_name_contains_parentheses() {
    let line = "12 (a) b) 3) S 1 77 0 0 -1 0 0 0 0 0 30 12 0 0 20 0 1 0 4242 9000 55 0";
    let stat = parse_stat(line).expect("the line has all fields");
    assert_eq!(
        stat,
        ProcessStat {
            state: 'S',
            group_id: 77,
            start_ticks: 4242,
            cpu_ticks: 42,
            resident_pages: 55
        }
    );
    assert_eq!(parse_stat("12 (truncated) S 1"), None);
    assert_eq!(parse_stat(""), None);
}

#[test]
fn is_alive_only_for_matching_start_time() {
    let pid = std::process::id();
    let start_ticks = read_stat(pid).expect("this process runs").start_ticks;
    assert!(is_alive(ProcessIdentity { pid, start_ticks }));
    assert!(!is_alive(ProcessIdentity {
        pid,
        start_ticks: start_ticks + 1
    }));
}
