//! Changes of one file, by inotify on its folder: a file that is replaced atomically is a new one each time.

use std::ffi::OsString;
use std::io;
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::ffi::OsStrExt;
use std::path::{Path, PathBuf};

use rustix::fs::inotify;

/// A watch on one file.
pub struct FileWatch {
    fd: OwnedFd,
    path: PathBuf,
    file_name: OsString,
}

impl FileWatch {
    /// Watches the folder of `path` for changes of that file.
    pub fn new(path: &Path) -> io::Result<FileWatch> {
        let path = std::path::absolute(path)?;
        let (Some(folder), Some(name)) = (path.parent(), path.file_name()) else {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                "not a file's path",
            ));
        };
        let fd = inotify::init(inotify::CreateFlags::NONBLOCK | inotify::CreateFlags::CLOEXEC)?;
        let flags = inotify::WatchFlags::CLOSE_WRITE
            | inotify::WatchFlags::MOVED_TO
            | inotify::WatchFlags::CREATE;
        inotify::add_watch(&fd, folder, flags)?;
        let name = name.to_owned();
        Ok(FileWatch {
            fd,
            path,
            file_name: name,
        })
    }

    /// The file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Whether the file changed since the last call.
    pub fn has_changed(&mut self) -> bool {
        let mut buffer = [MaybeUninit::uninit(); 4096];
        let mut reader = inotify::Reader::new(&self.fd, &mut buffer);
        let mut changed = false;
        while let Ok(event) = reader.next() {
            let overflow = event.events().contains(inotify::ReadFlags::QUEUE_OVERFLOW);
            let named = event
                .file_name()
                .is_some_and(|n| n.to_bytes() == self.file_name.as_bytes());
            changed |= overflow || named;
        }
        changed
    }
}

impl AsFd for FileWatch {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.fd.as_fd()
    }
}
