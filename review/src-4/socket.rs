//! A caller's socket with a small receive buffer, which the standard library cannot set before it connects.

use std::ffi::c_int;
use std::io;
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::os::fd::FromRawFd;

const AF_INET: c_int = 2;
const SOCK_STREAM: c_int = 1;
const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;

#[repr(C)]
struct Address {
    family: u16,
    port: u16,
    ip: u32,
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn setsockopt(socket: c_int, level: c_int, name: c_int, value: *const c_int, length: u32) -> c_int;
    fn connect(socket: c_int, address: *const Address, length: u32) -> c_int;
}

/// Connects with a receive buffer of `receive_bytes`, or with the usual one if it is zero.
pub fn open(to: SocketAddr, receive_bytes: usize) -> io::Result<TcpStream> {
    if receive_bytes == 0 {
        return TcpStream::connect(to);
    }
    let SocketAddr::V4(to) = to else {
        return Err(io::ErrorKind::AddrNotAvailable.into());
    };
    // SAFETY: plain calls of the C library; the descriptor is owned by the stream from its creation on.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        let value = receive_bytes as c_int;
        if setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &raw const value, 4) != 0 {
            return Err(io::Error::last_os_error());
        }
        let address = encode(to);
        if connect(descriptor, &raw const address, 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

fn encode(to: SocketAddrV4) -> Address {
    Address {
        family: AF_INET as u16,
        port: to.port().to_be(),
        ip: u32::from_ne_bytes(to.ip().octets()),
        zero: [0; 8],
    }
}
