//! The clients' listening socket: inherited from the platform as `$LB_FD`, or bound by this process.

use std::net::{SocketAddr, TcpListener};

use crate::process::transient::retry_at_start;

/// Where the listener came from. This determines the shutdown: an inherited one is shared with the next process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    Inherited,
    Bound,
}

/// The descriptor that the platform passes, numbered as for socket activation.
const INHERITED_FD: &str = "3";

/// Takes the listener named by `LB_FD`, or binds `listen` if there is no usable one.
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
    if fd != INHERITED_FD {
        return Err("only descriptor 3 is handed down".into());
    }
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_PID", std::process::id().to_string());
    let mut sockets = listenfd::ListenFd::from_env();
    let listener = sockets.take_tcp_listener(0).map_err(|e| e.to_string())?;
    listener.ok_or_else(|| "no socket is there".into())
}
