//! Watches a file for changes, with inotify on its folder. A watch on the file itself would not report that the file was
//! replaced atomically.

use std::ffi::OsString;
use std::io;
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::ffi::OsStrExt;
use std::path::{Path, PathBuf};

use rustix::fs::inotify::{self, CreateFlags, ReadFlags, WatchFlags};

/// The size of the buffer for inotify events.
const EVENT_BUFFER_BYTES: usize = 4096;

/// A watch on a file. A [`Poller`](crate::Poller) reports it as readable when a file in the same folder has changed.
pub struct FileWatch {
    fd: OwnedFd,
    path: PathBuf,
    file_name: OsString,
}

impl FileWatch {
    /// Watches the folder of `path` for changes of that file.
    ///
    /// # Errors
    /// When `path` has no folder or file name, the folder does not exist or no inotify instance is left.
    pub fn new(path: &Path) -> io::Result<FileWatch> {
        let path = std::path::absolute(path)?;
        let (Some(folder), Some(file_name)) = (path.parent(), path.file_name()) else {
            let error = "path has no folder or file name";
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

    /// The absolute path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Whether the file may have changed since the last call.
    pub fn has_changed(&mut self) -> bool {
        let mut buffer = [MaybeUninit::uninit(); EVENT_BUFFER_BYTES];
        let mut reader = inotify::Reader::new(&self.fd, &mut buffer);
        let mut has_changed = false;
        while let Ok(event) = reader.next() {
            // After a queue overflow events are missing, which may include events of the file.
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
