//! The clients' listening socket: the one the platform hands down as `$LB_FD`, or one of our own.

use std::net::{SocketAddr, TcpListener};

use crate::process::transient::retry_at_start;

/// Where the listener came from, which decides how the process ends: an inherited one is the next process's too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    Inherited,
    Bound,
}

/// The descriptor that the platform hands down, as numbered for socket activation.
const FIRST_HANDED: &str = "3";

/// Takes the listener named by `LB_FD`; where there is none that can be used, binds `listen`.
pub fn clients(named: Option<&str>, listen: SocketAddr) -> Result<(TcpListener, Origin), String> {
    if let Some(fd) = named {
        match inherited(fd.trim()) {
            Ok(listener) => return Ok((listener, Origin::Inherited)),
            Err(why) => eprintln!("listen: LB_FD is {fd:?}, which can't be used ({why}); binding {listen}"),
        }
    }
    let listener = retry_at_start("listen", || TcpListener::bind(listen))
        .map_err(|e| format!("listen on {listen}: {e}"))?;
    Ok((listener, Origin::Bound))
}

/// `listenfd` takes descriptors from 3 on, as systemd numbers them, and checks that one is a listening TCP socket.
fn inherited(fd: &str) -> Result<TcpListener, String> {
    if fd != FIRST_HANDED {
        return Err("only descriptor 3 is handed down".into());
    }
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_PID", std::process::id().to_string());
    let mut handed = listenfd::ListenFd::from_env();
    let listener = handed.take_tcp_listener(0).map_err(|e| e.to_string())?;
    listener.ok_or_else(|| "no socket is there".into())
}
