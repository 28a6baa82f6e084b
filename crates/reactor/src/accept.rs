//! What a failed `accept` or `connect` tells.

use std::io;

use rustix::io::Errno;

/// Whether an error says that the process or the system has no descriptor or memory left for another socket, so that the
/// same call fails again until something is closed.
pub fn exhausted(error: &io::Error) -> bool {
    let errno = error.raw_os_error().map(Errno::from_raw_os_error);
    matches!(errno, Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM))
}
