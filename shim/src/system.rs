//! System calls that the shim makes for itself, to which no fault applies, and the state of the C library that it uses.
use std::ffi::{CStr, c_char, c_int, c_long};
use std::sync::atomic::{AtomicPtr, Ordering};

/// Value of an environment variable.
pub fn environment(name: &CStr) -> Option<&'static CStr> {
    // SAFETY: the name is NUL-terminated, and a relay under test never changes its environment.
    let value = unsafe { libc::getenv(name.as_ptr()) };
    // SAFETY: a non-null value is NUL-terminated and outlives the process's threads.
    (!value.is_null()).then(|| unsafe { CStr::from_ptr(value) })
}

/// Opens a file read-only; returns a negative number on failure.
pub fn open_read_only(path: &CStr) -> c_int {
    // SAFETY: the path is NUL-terminated.
    let opened = unsafe {
        libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), libc::O_RDONLY | libc::O_CLOEXEC)
    };
    opened as c_int
}

/// Reads from the start of a file, and preserves the thread's `errno`.
pub fn read_from_start(file: c_int, buffer: &mut [u8]) -> usize {
    let before = error_number();
    // SAFETY: the length passed is the buffer's.
    let read =
        unsafe { libc::syscall(libc::SYS_pread64, file, buffer.as_mut_ptr(), buffer.len(), 0 as c_long) };
    set_error(before);
    usize::try_from(read).unwrap_or(0)
}

fn error_number() -> c_int {
    // SAFETY: the pointer is to the calling thread's own `errno`.
    unsafe { *libc::__errno_location() }
}

/// Sets the thread's `errno`.
pub fn set_error(number: c_int) {
    // SAFETY: the pointer is to the calling thread's own `errno`.
    unsafe { *libc::__errno_location() = number };
}

/// Sets `errno` and returns -1, as a failed call of the C library does.
pub fn fail<T: From<i8>>(number: c_int) -> T {
    set_error(number);
    T::from(-1)
}

/// Kills the process with SIGKILL.
pub fn kill_process() -> ! {
    // SAFETY: the call takes integers only, and the process signals itself.
    unsafe { libc::syscall(libc::SYS_kill, libc::getpid(), libc::SIGKILL) };
    loop {
        std::hint::spin_loop();
    }
}

static FOLDER: AtomicPtr<c_char> = AtomicPtr::new(std::ptr::null_mut());

fn folder() -> Option<&'static CStr> {
    let known = FOLDER.load(Ordering::Relaxed);
    if known.is_null() {
        let found = environment(c"ONYXGLADE_SHIM_FOLDER")?;
        FOLDER.store(found.as_ptr().cast_mut(), Ordering::Relaxed);
        return Some(found);
    }
    // SAFETY: the pointer comes from a string that outlives the process's threads.
    Some(unsafe { CStr::from_ptr(known) })
}

/// Whether a path is in the folder whose files can be made to fail.
pub fn is_in_folder(path: &[u8]) -> bool {
    folder().is_some_and(|folder| path.starts_with(folder.to_bytes()))
}

/// Whether an open file is in that folder.
pub fn is_file_in_folder(file: c_int) -> bool {
    let mut name = *b"/proc/self/fd/0000000000\0";
    let digits = &mut name[14..24];
    let mut remaining = file.max(0);
    for digit in digits.iter_mut().rev() {
        *digit = b'0' + (remaining % 10) as u8;
        remaining /= 10;
    }
    // procfs does not accept leading zeros.
    let first = name[14..23].iter().position(|digit| *digit != b'0').unwrap_or(9);
    name.copy_within(14 + first..25, 14);
    let mut path = [0u8; 512];
    let before = error_number();
    // SAFETY: the name is NUL-terminated, and the length passed is the buffer's.
    let length = unsafe {
        libc::syscall(libc::SYS_readlinkat, libc::AT_FDCWD, name.as_ptr(), path.as_mut_ptr(), path.len())
    };
    set_error(before);
    usize::try_from(length).is_ok_and(|length| is_in_folder(&path[..length]))
}
