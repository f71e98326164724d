//! Establishing TCP connections.

use futures_lite::FutureExt;
use smol::net::TcpStream;
use smol::{Async, Timer};
use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without acknowledgement of sent bytes after which the kernel closes a connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Result of opening a new connection to a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionCheck {
    /// Established: the back end is serving.
    Listening,
    /// Refused: the machine is up, the process is not.
    Refused,
    /// No response in time.
    TimedOut,
}

impl ConnectionCheck {
    /// The name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            ConnectionCheck::Listening => "listening",
            ConnectionCheck::Refused => "refused",
            ConnectionCheck::TimedOut => "silent",
        }
    }
}

/// Opens a connection to a back end and closes it again.
pub(crate) async fn check_connection(address: SocketAddr) -> ConnectionCheck {
    match connect_stream(address).await {
        Ok(_) => ConnectionCheck::Listening,
        Err(error) if error.kind() == ErrorKind::TimedOut => ConnectionCheck::TimedOut,
        Err(_) => ConnectionCheck::Refused,
    }
}

/// Connects to a back end.
pub(crate) async fn connect_stream(address: SocketAddr) -> std::io::Result<TcpStream> {
    let timeout = async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(ErrorKind::TimedOut.into())
    };
    let stream = Async::<std::net::TcpStream>::connect(address)
        .or(timeout)
        .await?;
    set_options(&stream)?;
    Ok(TcpStream::from(stream))
}

/// Connects from an address of this machine.
pub(crate) async fn connect_from(
    own_ip: IpAddr,
    address: SocketAddr,
) -> std::io::Result<TcpStream> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    socket.bind(&SocketAddr::new(own_ip, 0).into())?;
    socket.set_nonblocking(true)?;
    let in_progress = rustix::io::Errno::INPROGRESS.raw_os_error();
    if let Err(error) = socket.connect(&address.into())
        && error.raw_os_error() != Some(in_progress)
    {
        return Err(error);
    }
    let stream = Async::new(std::net::TcpStream::from(socket))?;
    stream.writable().await?;
    if let Some(error) = stream.get_ref().take_error()? {
        return Err(error);
    }
    set_options(&stream)?;
    Ok(TcpStream::from(stream))
}

/// Sets the options of a connection that carries requests.
pub(crate) fn set_options(stream: &Async<std::net::TcpStream>) -> std::io::Result<()> {
    let socket = socket2::SockRef::from(stream.get_ref());
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
