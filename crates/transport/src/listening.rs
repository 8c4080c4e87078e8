use std::fs;
use std::mem;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{FromRawFd, IntoRawFd, RawFd};

/// The library keeps its listening socket to itself, so it is found among the process's own.
fn listening_on(address: SocketAddr) -> Option<RawFd> {
    let names = fs::read_dir("/proc/self/fd").ok()?.flatten();
    let mut numbers = names.filter_map(|entry| entry.file_name().to_str()?.parse::<RawFd>().ok());
    numbers.find(|number| {
        let mut is_listening: libc::c_int = 0;
        let mut size = mem::size_of::<libc::c_int>() as libc::socklen_t;
        // SAFETY: the call writes an int of the size that it is given, and fails on what is no socket.
        let code = unsafe {
            libc::getsockopt(
                *number,
                libc::SOL_SOCKET,
                libc::SO_ACCEPTCONN,
                (&raw mut is_listening).cast(),
                &raw mut size,
            )
        };
        if code != 0 || is_listening == 0 {
            return false;
        }
        // SAFETY: the number is an open listening socket's, and is given back before it could be closed.
        let listener = unsafe { TcpListener::from_raw_fd(*number) };
        let is_ours = listener.local_addr().is_ok_and(|own| own == address);
        let _ = listener.into_raw_fd();
        is_ours
    })
}

/// Lets no new connection in at an address that this process listens on, while those that are open,
/// or wait to be accepted, go on. Whoever connects later is refused when the process has ended,
/// rather than cut off with a request under way. Gives whether it could be done.
pub fn reject_new_connections(address: SocketAddr) -> bool {
    let Some(socket) = listening_on(address) else {
        return false;
    };
    // One instruction: take nothing of any packet that would begin a connection.
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
    // SAFETY: the program and its one instruction live through the call, which copies them.
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
    fn a_closed_door_keeps_who_is_in_and_lets_nobody_else_in() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let mut early = TcpStream::connect(address).unwrap();
        assert!(reject_new_connections(address));
        let timeout = Duration::from_millis(100);
        assert!(TcpStream::connect_timeout(&address, timeout).is_err());
        let (mut taken, _) = listener.accept().unwrap();
        taken.write_all(b"well").unwrap();
        let mut answer = [0; 4];
        early.read_exact(&mut answer).unwrap();
        assert_eq!(&answer, b"well");
        assert!(!reject_new_connections("127.0.0.1:1".parse().unwrap()));
    }
}
