//! Replacements for the C library's socket calls and `epoll_wait`.
use libc::{epoll_event, size_t, sockaddr, socklen_t, ssize_t};
use std::ffi::{c_int, c_long, c_void};

use crate::control::{Call, fault};
use crate::system::fail;

fn injected_error(call: Call) -> Option<c_int> {
    fault(call, || true).map(|fault| fault.number)
}

/// # Safety
/// As `accept4(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    match injected_error(Call::Accept) {
        Some(error_number) => fail(error_number),
        // SAFETY: the caller upholds the call's contract.
        None => unsafe { libc::syscall(libc::SYS_accept4, socket, address, length, flags) as c_int },
    }
}

/// # Safety
/// As `socket(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    match injected_error(Call::Socket) {
        Some(error_number) => fail(error_number),
        // SAFETY: the call takes integers only.
        None => unsafe { libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int },
    }
}

/// # Safety
/// As `connect(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    match injected_error(Call::Connect) {
        Some(error_number) => fail(error_number),
        // SAFETY: the caller upholds the call's contract.
        None => unsafe { libc::syscall(libc::SYS_connect, socket, address, length) as c_int },
    }
}

/// # Safety
/// As `recv(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(socket: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    match injected_error(Call::Receive) {
        Some(error_number) => fail(error_number),
        // SAFETY: the caller upholds the call's contract.
        None => unsafe {
            let no_address = std::ptr::null::<c_void>();
            libc::syscall(libc::SYS_recvfrom, socket, buffer, length, flags, no_address, no_address)
                as ssize_t
        },
    }
}

/// # Safety
/// As `epoll_wait(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    match injected_error(Call::Wait) {
        Some(error_number) => fail(error_number),
        // SAFETY: the caller upholds the call's contract.
        None => unsafe {
            let no_mask = std::ptr::null::<c_void>();
            libc::syscall(libc::SYS_epoll_pwait, epoll, events, max_events, timeout, no_mask, 8 as c_long)
                as c_int
        },
    }
}
