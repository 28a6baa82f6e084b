//! Changes of a watched file.

mod support;

use maplethread_reactor::{FileWatch, Poller};
use support::wait_for;

const TOKEN: u64 = 4;

#[test]
fn reports_a_written_and_a_replaced_file_once_each() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("hosts.toml");
    let mut watch = FileWatch::new(&path).expect("a watch");
    let poller = Poller::new().expect("epoll");
    poller.register(&watch, TOKEN, false).expect("registered");
    assert_eq!(watch.path(), path);
    assert!(!watch.has_changed());
    std::fs::write(&path, "first").expect("written");
    wait_for(&poller, TOKEN, |r| r.is_readable);
    assert!(watch.has_changed());
    assert!(!watch.has_changed());
    let replacement = folder.path().join("hosts.toml.new");
    std::fs::write(&replacement, "second").expect("written");
    // A change of another file in the folder is not reported.
    assert!(!watch.has_changed());
    std::fs::rename(&replacement, &path).expect("replaced");
    assert!(watch.has_changed());
    assert!(!watch.has_changed());
}

#[test]
fn rejects_a_path_without_a_file_name_or_an_existing_folder() {
    let error = |path: &str| {
        FileWatch::new(path.as_ref())
            .err()
            .expect("an error")
            .kind()
    };
    assert_eq!(error("/"), std::io::ErrorKind::InvalidInput);
    assert_eq!(
        error("/does/not/exist/hosts.toml"),
        std::io::ErrorKind::NotFound
    );
}
