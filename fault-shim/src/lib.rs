//! A library that a process under test preloads (`LD_PRELOAD`): it steps the process's wall clock and makes some of its system
//! calls fail, as a small file says that the test maps and changes while the process runs.
//!
//! Test only, and the one crate of the workspace with `unsafe` code: it takes the place of functions of the C library. Each calls
//! the kernel by itself, so none of them needs the function that it replaces. Where no control file is named, nothing changes.
//!
//! The control file holds ten words of 64 bits in the machine's byte order; see [`Control`].

use std::ffi::{c_int, c_void, CStr};
use std::sync::atomic::{AtomicI64, AtomicPtr, AtomicU64, Ordering::Relaxed};

/// Names the control file.
pub const CONTROL_VARIABLE: &str = "ELMTIDE_FAULT_CONTROL";
const CONTROL_VARIABLE_C: &CStr = c"ELMTIDE_FAULT_CONTROL";
/// Rates of failures are told in parts of so many.
pub const RATE_BASE: u64 = 1000;

/// What the control file holds. A rate is the part of calls that fail, of [`RATE_BASE`].
#[repr(C)]
#[derive(Debug)]
pub struct Control {
    /// Added to the wall clock, in milliseconds.
    pub wall_clock_offset_ms: AtomicI64,
    /// `accept4` fails with one of the errors of a moment.
    pub accept_failure_rate: AtomicU64,
    /// `socket` and `connect` fail with one of the errors of a moment.
    pub connect_failure_rate: AtomicU64,
    /// `recv` is interrupted, or brings one byte only.
    pub short_receive_rate: AtomicU64,
    /// `send` is interrupted, or takes one byte only.
    pub short_send_rate: AtomicU64,
    /// `write`, `fsync`, `fdatasync` and `rename` of files fail: there is no room, or the device fails.
    pub disk_failure_rate: AtomicU64,
    /// `pthread_create` fails with EAGAIN.
    pub thread_failure_rate: AtomicU64,
    /// Calls that have been made to fail.
    pub injected_failures: AtomicU64,
    /// Drives which calls fail.
    pub random_state: AtomicU64,
    /// A thread that has written the end of a line to standard error stands still for so many milliseconds.
    pub log_line_pause_ms: AtomicU64,
}

/// The control file, mapped; null until it has been looked for, and [`ABSENT`] where there is none.
static CONTROL: AtomicPtr<Control> = AtomicPtr::new(std::ptr::null_mut());
const ABSENT: *mut Control = std::ptr::without_provenance_mut(usize::MAX);

fn control() -> Option<&'static Control> {
    let mut mapped = CONTROL.load(Relaxed);
    if mapped.is_null() {
        // SAFETY: only kernel calls and `getenv`; two threads at once map the file twice, which does no harm.
        mapped = unsafe { map_control() };
        CONTROL.store(mapped, Relaxed);
    }
    if mapped == ABSENT {
        return None;
    }
    // SAFETY: a shared mapping of a whole `Control` that is never unmapped; all its fields are atomics.
    Some(unsafe { &*mapped })
}

unsafe fn map_control() -> *mut Control {
    let path = libc::getenv(CONTROL_VARIABLE_C.as_ptr());
    if path.is_null() {
        return ABSENT;
    }
    let file = libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, libc::O_RDWR | libc::O_CLOEXEC) as c_int;
    if file < 0 {
        return ABSENT;
    }
    let protection = libc::PROT_READ | libc::PROT_WRITE;
    let mapped =
        libc::mmap(std::ptr::null_mut(), size_of::<Control>(), protection, libc::MAP_SHARED, file, 0);
    libc::syscall(libc::SYS_close, file);
    if mapped == libc::MAP_FAILED {
        return ABSENT;
    }
    mapped.cast()
}

/// The next number of a xorshift generator that all threads share.
fn random(control: &Control) -> u64 {
    let step = |mut x: u64| {
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        Some(x)
    };
    let before = control.random_state.fetch_update(Relaxed, Relaxed, step).unwrap_or(1);
    step(before).unwrap_or(before)
}

/// One of the errors, if this call is to fail.
fn drawn_error(rate: impl Fn(&Control) -> &AtomicU64, errors: &[c_int]) -> Option<c_int> {
    let control = control()?;
    let rate = rate(control).load(Relaxed);
    if rate == 0 {
        return None;
    }
    let drawn = random(control);
    if drawn % RATE_BASE >= rate {
        return None;
    }
    control.injected_failures.fetch_add(1, Relaxed);
    errors.get((drawn / RATE_BASE) as usize % errors.len()).copied()
}

/// Sets `errno`, and returns what a failed call returns.
unsafe fn fail(error: c_int) -> c_int {
    *libc::__errno_location() = error;
    -1
}

/// Stands for a call that goes through in part.
const SHORT: c_int = 0;

/// The wall clock, stepped; all others as they are.
///
/// # Safety
/// As `clock_gettime` of the C library.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut libc::timespec) -> c_int {
    let result = libc::syscall(libc::SYS_clock_gettime, clock, time) as c_int;
    if result == 0 && clock == libc::CLOCK_REALTIME {
        if let Some(control) = control() {
            let offset = control.wall_clock_offset_ms.load(Relaxed);
            let nanoseconds = (*time).tv_nsec + (offset.rem_euclid(1000)) * 1_000_000;
            (*time).tv_sec += offset.div_euclid(1000) + nanoseconds / 1_000_000_000;
            (*time).tv_nsec = nanoseconds % 1_000_000_000;
        }
    }
    result
}

/// # Safety
/// As `accept4` of the C library.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut libc::sockaddr,
    length: *mut libc::socklen_t,
    flags: c_int,
) -> c_int {
    const ERRORS: [c_int; 6] =
        [libc::ECONNABORTED, libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM, libc::EINTR];
    match drawn_error(|c| &c.accept_failure_rate, &ERRORS) {
        Some(error) => fail(error),
        None => libc::syscall(libc::SYS_accept4, socket, address, length, flags) as c_int,
    }
}

/// # Safety
/// As `socket` of the C library.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    const ERRORS: [c_int; 4] = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    match drawn_error(|c| &c.connect_failure_rate, &ERRORS) {
        Some(error) => fail(error),
        None => libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int,
    }
}

/// # Safety
/// As `connect` of the C library.
#[no_mangle]
pub unsafe extern "C" fn connect(
    socket: c_int,
    address: *const libc::sockaddr,
    length: libc::socklen_t,
) -> c_int {
    const ERRORS: [c_int; 4] = [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::EHOSTUNREACH, libc::ETIMEDOUT];
    match drawn_error(|c| &c.connect_failure_rate, &ERRORS) {
        Some(error) => fail(error),
        None => libc::syscall(libc::SYS_connect, socket, address, length) as c_int,
    }
}

/// # Safety
/// As `recv` of the C library.
#[no_mangle]
pub unsafe extern "C" fn recv(socket: c_int, buffer: *mut c_void, length: usize, flags: c_int) -> isize {
    let none = std::ptr::null_mut::<c_void>();
    let receive =
        |length: usize| libc::syscall(libc::SYS_recvfrom, socket, buffer, length, flags, none, none) as isize;
    match drawn_error(|c| &c.short_receive_rate, &[SHORT, libc::EINTR]) {
        Some(SHORT) => receive(length.min(1)),
        Some(error) => fail(error) as isize,
        None => receive(length),
    }
}

/// # Safety
/// As `send` of the C library.
#[no_mangle]
pub unsafe extern "C" fn send(socket: c_int, buffer: *const c_void, length: usize, flags: c_int) -> isize {
    let none = std::ptr::null_mut::<c_void>();
    let send =
        |length: usize| libc::syscall(libc::SYS_sendto, socket, buffer, length, flags, none, 0usize) as isize;
    match drawn_error(|c| &c.short_send_rate, &[SHORT, libc::EINTR]) {
        Some(SHORT) => send(length.min(1)),
        Some(error) => fail(error) as isize,
        None => send(length),
    }
}

unsafe fn is_regular(file: c_int) -> bool {
    let mut status = std::mem::MaybeUninit::<libc::stat>::zeroed();
    libc::fstat(file, status.as_mut_ptr()) == 0
        && status.assume_init().st_mode & libc::S_IFMT == libc::S_IFREG
}

/// Finds the next definition of a function after this library's.
unsafe fn next_definition(name: &CStr) -> *mut c_void {
    libc::dlsym(libc::RTLD_NEXT, name.as_ptr())
}

type ThreadMain = extern "C" fn(*mut c_void) -> *mut c_void;
type CreateThread =
    unsafe extern "C" fn(*mut libc::pthread_t, *const libc::pthread_attr_t, ThreadMain, *mut c_void) -> c_int;

/// # Safety
/// As `pthread_create` of the C library.
#[no_mangle]
pub unsafe extern "C" fn pthread_create(
    thread: *mut libc::pthread_t,
    attributes: *const libc::pthread_attr_t,
    main: ThreadMain,
    argument: *mut c_void,
) -> c_int {
    if let Some(error) = drawn_error(|c| &c.thread_failure_rate, &[libc::EAGAIN]) {
        return error;
    }
    let create = next_definition(c"pthread_create");
    if create.is_null() {
        return libc::EAGAIN;
    }
    // SAFETY: the C library's own function of this name and type.
    std::mem::transmute::<*mut c_void, CreateThread>(create)(thread, attributes, main, argument)
}

const DISK_ERRORS: [c_int; 2] = [libc::ENOSPC, libc::EIO];

/// Stands still if this write ended a line of standard error.
unsafe fn pause_after_log_line(file: c_int, buffer: *const c_void, length: usize) {
    let Some(control) = control() else { return };
    let pause_ms = control.log_line_pause_ms.load(Relaxed);
    if pause_ms == 0 || file != libc::STDERR_FILENO || length == 0 {
        return;
    }
    // SAFETY: the caller gave a buffer of `length` bytes.
    if *buffer.cast::<u8>().add(length - 1) == b'\n' {
        std::thread::sleep(std::time::Duration::from_millis(pause_ms));
    }
}

/// # Safety
/// As `write` of the C library. Only regular files fail.
#[no_mangle]
pub unsafe extern "C" fn write(file: c_int, buffer: *const c_void, length: usize) -> isize {
    let written = write_or_fail(file, buffer, length);
    pause_after_log_line(file, buffer, length);
    written
}

unsafe fn write_or_fail(file: c_int, buffer: *const c_void, length: usize) -> isize {
    let injects = control().is_some_and(|c| c.disk_failure_rate.load(Relaxed) > 0) && is_regular(file);
    let error = injects.then(|| drawn_error(|c| &c.disk_failure_rate, &DISK_ERRORS)).flatten();
    match error {
        Some(error) => fail(error) as isize,
        None => libc::syscall(libc::SYS_write, file, buffer, length) as isize,
    }
}

/// # Safety
/// As `fsync` of the C library.
#[no_mangle]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    match drawn_error(|c| &c.disk_failure_rate, &DISK_ERRORS) {
        Some(error) => fail(error),
        None => libc::syscall(libc::SYS_fsync, file) as c_int,
    }
}

/// # Safety
/// As `fdatasync` of the C library.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    match drawn_error(|c| &c.disk_failure_rate, &DISK_ERRORS) {
        Some(error) => fail(error),
        None => libc::syscall(libc::SYS_fdatasync, file) as c_int,
    }
}

/// # Safety
/// As `rename` of the C library.
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const libc::c_char, to: *const libc::c_char) -> c_int {
    match drawn_error(|c| &c.disk_failure_rate, &DISK_ERRORS) {
        Some(error) => fail(error),
        None => libc::syscall(libc::SYS_renameat, libc::AT_FDCWD, from, libc::AT_FDCWD, to) as c_int,
    }
}
