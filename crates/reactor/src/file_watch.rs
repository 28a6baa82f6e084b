//! Changes of one file, by inotify on its folder: a file that is replaced atomically is a new one each time.

use std::ffi::OsString;
use std::io;
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::ffi::OsStrExt;
use std::path::{Path, PathBuf};

use rustix::fs::inotify::{self, CreateFlags, ReadFlags, WatchFlags};

/// Bytes of inotify events read in one call.
const EVENT_BUFFER_BYTES: usize = 4096;

/// A watch on one file; a [`Poller`](crate::Poller) reports it readable when something in the file's folder changed.
pub struct FileWatch {
    fd: OwnedFd,
    path: PathBuf,
    file_name: OsString,
}

impl FileWatch {
    /// Watches the folder of `path` for changes of that file.
    ///
    /// # Errors
    /// When `path` names no file in a folder, the folder does not exist, or the system has no inotify instance left.
    pub fn new(path: &Path) -> io::Result<FileWatch> {
        let path = std::path::absolute(path)?;
        let (Some(folder), Some(file_name)) = (path.parent(), path.file_name()) else {
            let error = "not a file's path";
            return Err(io::Error::new(io::ErrorKind::InvalidInput, error));
        };
        let fd = inotify::init(CreateFlags::NONBLOCK | CreateFlags::CLOEXEC)?;
        let flags = WatchFlags::CLOSE_WRITE | WatchFlags::MOVED_TO | WatchFlags::CREATE;
        inotify::add_watch(&fd, folder, flags)?;
        let file_name = file_name.to_owned();
        Ok(FileWatch {
            fd,
            path,
            file_name,
        })
    }

    /// The file's absolute path.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Whether the file may have changed since the last call.
    pub fn has_changed(&mut self) -> bool {
        let mut buffer = [MaybeUninit::uninit(); EVENT_BUFFER_BYTES];
        let mut reader = inotify::Reader::new(&self.fd, &mut buffer);
        let mut has_changed = false;
        while let Ok(event) = reader.next() {
            // After an overflow events are missing, and one of them may have been about the file.
            let overflowed = event.events().contains(ReadFlags::QUEUE_OVERFLOW);
            let is_file = event
                .file_name()
                .is_some_and(|name| name.to_bytes() == self.file_name.as_bytes());
            has_changed |= overflowed || is_file;
        }
        has_changed
    }
}

impl AsFd for FileWatch {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.fd.as_fd()
    }
}
