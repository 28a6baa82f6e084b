//! The policy hash in a trace's header covers exactly the files that `deploy/balancer.toml` lists as the policy.

use maplethread_trace::POLICY_SOURCES;

#[test]
fn hashed_files_are_those_of_the_deploy_file_in_its_order() {
    let deploy = include_str!("../../../deploy/balancer.toml");
    let policy = deploy
        .lines()
        .find_map(|line| line.strip_prefix("policy = ["))
        .and_then(|line| line.split_once(']'))
        .map(|(files, _)| files)
        .expect("the deploy file lists the policy");
    let listed: Vec<&str> = policy
        .split(',')
        .map(|file| file.trim().trim_matches('"'))
        .collect();
    let hashed: Vec<&str> = POLICY_SOURCES.iter().map(|(file, _)| *file).collect();
    assert_eq!(hashed, listed);
}

#[test]
fn every_policy_source_file_is_hashed() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../src/policy");
    let mut files: Vec<String> = std::fs::read_dir(folder)
        .expect("the policy's folder")
        .map(|entry| entry.expect("an entry").file_name())
        .filter_map(|name| name.into_string().ok())
        .filter(|name| name.ends_with(".rs"))
        .map(|name| format!("src/policy/{name}"))
        .collect();
    files.sort();
    let mut hashed: Vec<&str> = POLICY_SOURCES.iter().map(|(file, _)| *file).collect();
    hashed.sort_unstable();
    assert_eq!(hashed, files);
}
