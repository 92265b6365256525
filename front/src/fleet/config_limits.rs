//! Limits of the fleet's file.

/// The largest file that is read.
pub const MAX_FILE_BYTES: u64 = 1 << 20;
/// The largest file that can be a key.
pub const MAX_KEY_FILE_BYTES: u64 = 4096;
/// The shortest key.
pub const MIN_KEY_BYTES: usize = 16;
/// The longest name of a machine, in bytes.
pub const MAX_MACHINE_NAME_BYTES: usize = 64;
/// Steps that a hook may be named for.
pub const HOOK_STEPS: [&str; 8] =
    ["next", "leave", "empty", "release", "return", "in", "overdue", "call-back"];
