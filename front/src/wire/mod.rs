//! Codecs between bytes and values. They read no socket, no clock and no state.

pub mod bus;
pub mod fastcgi;
pub mod http;
pub mod http_body;
pub mod lines;
pub mod management;
