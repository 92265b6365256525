//! Codecs: bytes to values and back. Nothing here reads a socket, a clock or any state.

pub mod bus;
pub mod fastcgi;
pub mod http;
pub mod lines;
pub mod management;
