//! A library for `LD_PRELOAD` that makes system calls of a relay under test fail.
//!
//! Each function here replaces the C library's function of the same name. It either fails as the control file specifies or
//! makes the system call itself. `ONYXGLADE_SHIM_CONTROL` names the control file ([`control`] describes its format). The
//! file is read before each call, so faults can be turned on and off while the process runs. File calls fail only below
//! the folder that `ONYXGLADE_SHIM_FOLDER` names.
//!
//! This is the only crate with unsafe code, since there is no other way to replace functions of the C library. Nothing
//! here allocates, so the functions can be called from any context.
#![deny(missing_docs)]

pub mod control;
mod files;
mod sockets;
mod system;
mod time;
