//! Causes of releases, in both forms.

/// The task came to its end; from whom waits: given up.
pub const NORMAL: u8 = 16;
/// After the answer: cancelled, that is moved or ended by its owner.
pub const CANCELLED: u8 = 31;
/// Full: it never ran.
pub const NO_CAPACITY: u8 = 34;
/// Reset: the set-up broke on its way, or the task was cut.
pub const RESET: u8 = 41;
/// Error.
pub const ERROR: u8 = 47;
/// Moot: it never left.
pub const NEVER_SENT: u8 = 102;
