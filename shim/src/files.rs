//! Replacements for the C library's file calls.
use libc::{iovec, mode_t, off64_t, size_t, ssize_t};
use std::ffi::{CStr, c_char, c_int, c_long, c_void};
use std::sync::atomic::{AtomicBool, Ordering};

use crate::control::{Call, Fault, Mode, fault};
use crate::system::{fail, is_file_in_folder, is_in_folder, kill_process};

/// Whether a write was cut to its first half, so that the next call, for the rest, must fail.
static HALF_WRITTEN: AtomicBool = AtomicBool::new(false);

/// What a write call does under the current fault.
enum Write {
    /// It writes all bytes.
    Whole,
    /// It writes only this many bytes.
    Part(usize),
    /// It writes this many bytes, then the process is killed.
    PartAndKill(usize),
    /// It writes nothing and fails with this error number.
    Fail(c_int),
}

fn write_fault(file: c_int, length: usize) -> Write {
    let Some(Fault { number, mode }) = fault(Call::Write, || is_file_in_folder(file)) else {
        return Write::Whole;
    };
    match mode {
        Mode::Fail => Write::Fail(number),
        Mode::Kill(bytes) => Write::PartAndKill(bytes.min(length)),
        Mode::Half if length > 1 && !HALF_WRITTEN.fetch_xor(true, Ordering::Relaxed) => {
            Write::Part(length / 2)
        }
        Mode::Half => Write::Fail(number),
    }
}

fn file_fault(call: Call, file: c_int) -> Option<c_int> {
    fault(call, || is_file_in_folder(file)).map(|fault| fault.number)
}

/// Calls `write` with the number of bytes that the current fault allows.
fn faulty_write(file: c_int, length: usize, write: impl Fn(usize) -> ssize_t) -> ssize_t {
    match write_fault(file, length) {
        Write::Whole => write(length),
        Write::Part(bytes) => write(bytes),
        Write::PartAndKill(bytes) => {
            write(bytes);
            kill_process()
        }
        Write::Fail(number) => fail(number),
    }
}

/// # Safety
/// As `write(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(file: c_int, bytes: *const c_void, length: size_t) -> ssize_t {
    // SAFETY: `part` is at most `length`, the size of the caller's buffer.
    faulty_write(file, length, |part| unsafe { libc::syscall(libc::SYS_write, file, bytes, part) as ssize_t })
}

/// # Safety
/// As `pwrite(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn pwrite64(
    file: c_int,
    bytes: *const c_void,
    length: size_t,
    offset: off64_t,
) -> ssize_t {
    // SAFETY: `part` is at most `length`, the size of the caller's buffer.
    faulty_write(file, length, |part| unsafe {
        libc::syscall(libc::SYS_pwrite64, file, bytes, part, offset as c_long) as ssize_t
    })
}

/// # Safety
/// As `writev(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(file: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    let failing = fault(Call::Write, || is_file_in_folder(file));
    match failing {
        Some(fault) => fail(fault.number),
        // SAFETY: the caller upholds the call's contract.
        None => unsafe { libc::syscall(libc::SYS_writev, file, parts, count) as ssize_t },
    }
}

/// # Safety
/// As `read(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn read(file: c_int, buffer: *mut c_void, length: size_t) -> ssize_t {
    match file_fault(Call::Read, file) {
        Some(number) => fail(number),
        // SAFETY: the caller upholds the call's contract.
        None => unsafe { libc::syscall(libc::SYS_read, file, buffer, length) as ssize_t },
    }
}

/// # Safety
/// As `open(2)` with three arguments.
unsafe fn open_at(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    // SAFETY: the caller passes a NUL-terminated path.
    let in_folder = is_in_folder(unsafe { CStr::from_ptr(path) }.to_bytes());
    match fault(Call::Open, || in_folder) {
        Some(fault) => fail(fault.number),
        // SAFETY: the caller upholds the call's contract.
        None => unsafe { libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, flags, mode) as c_int },
    }
}

/// # Safety
/// As `open(2)`. The third argument is read even where the caller passed none, as the C library does.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    // SAFETY: the caller upholds the call's contract.
    unsafe { open_at(path, flags, mode) }
}

/// # Safety
/// As `open(2)`. The third argument is read even where the caller passed none, as the C library does.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    // SAFETY: the caller upholds the call's contract.
    unsafe { open_at(path, flags, mode) }
}

/// # Safety
/// As `rename(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    // SAFETY: the caller passes a NUL-terminated path.
    let in_folder = is_in_folder(unsafe { CStr::from_ptr(to) }.to_bytes());
    match fault(Call::Rename, || in_folder) {
        Some(fault) => fail(fault.number),
        // SAFETY: the caller upholds the call's contract.
        None => unsafe {
            libc::syscall(libc::SYS_renameat, libc::AT_FDCWD, from, libc::AT_FDCWD, to) as c_int
        },
    }
}

/// # Safety
/// As `ftruncate(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn ftruncate64(file: c_int, length: off64_t) -> c_int {
    match file_fault(Call::Truncate, file) {
        Some(number) => fail(number),
        // SAFETY: the call takes integers only.
        None => unsafe { libc::syscall(libc::SYS_ftruncate, file, length as c_long) as c_int },
    }
}

/// # Safety
/// As `fsync(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    match file_fault(Call::Sync, file) {
        Some(number) => fail(number),
        // SAFETY: the call takes integers only.
        None => unsafe { libc::syscall(libc::SYS_fsync, file) as c_int },
    }
}

/// # Safety
/// As `fdatasync(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    match file_fault(Call::Sync, file) {
        Some(number) => fail(number),
        // SAFETY: the call takes integers only.
        None => unsafe { libc::syscall(libc::SYS_fdatasync, file) as c_int },
    }
}
