use std::fs;
use std::mem;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{FromRawFd, IntoRawFd, RawFd};

/// Finds the socket that listens on an address among the process's file descriptors, because the HTTP library
/// does not expose it.
fn find_listening_socket(address: SocketAddr) -> Option<RawFd> {
    let entries = fs::read_dir("/proc/self/fd").ok()?.flatten();
    let mut descriptors =
        entries.filter_map(|entry| entry.file_name().to_str()?.parse::<RawFd>().ok());
    descriptors.find(|descriptor| {
        let mut is_listening: libc::c_int = 0;
        let mut size = mem::size_of::<libc::c_int>() as libc::socklen_t;
        // SAFETY: the call writes one int of the given size, and fails if the descriptor is not a socket.
        let code = unsafe {
            libc::getsockopt(
                *descriptor,
                libc::SOL_SOCKET,
                libc::SO_ACCEPTCONN,
                (&raw mut is_listening).cast(),
                &raw mut size,
            )
        };
        if code != 0 || is_listening == 0 {
            return false;
        }
        // SAFETY: the descriptor is an open listening socket, and `into_raw_fd` releases it without closing it.
        let listener = unsafe { TcpListener::from_raw_fd(*descriptor) };
        let is_match = listener.local_addr().is_ok_and(|local| local == address);
        let _ = listener.into_raw_fd();
        is_match
    })
}

/// Stops new connections at an address that this process listens on, while those that are open or wait to be
/// accepted continue. A client that connects later is refused when the process ends, rather than cut off with a
/// request in progress. Returns whether it succeeded.
pub fn reject_new_connections(address: SocketAddr) -> bool {
    let Some(socket) = find_listening_socket(address) else {
        return false;
    };
    // A socket filter of one instruction, `return 0`, which drops every packet that would open a connection.
    let mut drop_all = libc::sock_filter {
        code: 0x06,
        jt: 0,
        jf: 0,
        k: 0,
    };
    let program = libc::sock_fprog {
        len: 1,
        filter: &raw mut drop_all,
    };
    // SAFETY: the program and its instruction outlive the call, which copies them.
    let code = unsafe {
        libc::setsockopt(
            socket,
            libc::SOL_SOCKET,
            libc::SO_ATTACH_FILTER,
            (&raw const program).cast(),
            mem::size_of::<libc::sock_fprog>() as libc::socklen_t,
        )
    };
    code == 0
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{Read, Write};
    use std::net::TcpStream;
    use std::time::Duration;

    #[test]
    fn pending_connections_are_kept_and_new_ones_rejected() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let mut early = TcpStream::connect(address).unwrap();
        assert!(reject_new_connections(address));
        let timeout = Duration::from_millis(100);
        assert!(TcpStream::connect_timeout(&address, timeout).is_err());
        let (mut accepted, _) = listener.accept().unwrap();
        accepted.write_all(b"well").unwrap();
        let mut response = [0; 4];
        early.read_exact(&mut response).unwrap();
        assert_eq!(&response, b"well");
        assert!(!reject_new_connections("127.0.0.1:1".parse().unwrap()));
    }
}
