//! The wingshed library, which implements everything that the daemons and the command line do.
//!
//! The crate has four layers. A lower layer never imports a higher one, because
//! decisions must be testable without sockets, clocks or threads; the test
//! `test_layers` reads the sources and checks this rule.
//!
//! 1. [`state`] (lowest): plain tables, the configuration, files on disk.
//! 2. [`coordination`]: decisions over that state. Each takes the present time
//!    as an argument and returns a typed decision.
//! 3. [`protocol`]: the wire forms of every outside interface and of the
//!    messages between wingshed's own processes, one module each.
//! 4. [`transport`] (highest): sockets, threads, clocks, and the node programs
//!    that join the other three.
//!
//! See `docs/design/README.md` for the alternatives.

pub mod coordination;
pub mod protocol;
pub mod state;
pub mod transport;
