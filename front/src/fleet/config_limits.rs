//! Limits of the fleet's file.

/// Maximum size of the fleet's file.
pub const MAX_FILE_BYTES: u64 = 1 << 20;
/// Maximum size of the key's file.
pub const MAX_KEY_FILE_BYTES: u64 = 4096;
/// Minimum length of the key.
pub const MIN_KEY_BYTES: usize = 16;
/// Maximum length of a machine's name.
pub const MAX_MACHINE_NAME_BYTES: usize = 64;
/// The steps for which a hook can be configured.
pub const HOOK_STEPS: [&str; 8] =
    ["next", "leave", "empty", "release", "return", "in", "overdue", "call-back"];
