//! The replacement for `clock_gettime`, which can step the wall clock.
use libc::{clockid_t, timespec};
use std::ffi::c_int;

use crate::control::clock_step;

/// # Safety
/// As `clock_gettime(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the caller upholds the call's contract.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, time) as c_int };
    if result == 0 && clock == libc::CLOCK_REALTIME {
        // SAFETY: the successful call has just written to it.
        unsafe { (*time).tv_sec += clock_step() };
    }
    result
}
