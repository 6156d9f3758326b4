//! Settings of [`serve`](crate::serve()).

use std::time::Duration;

use shallotfork_types::Bytes;

const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(10);
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// As with the operators' targets, which give up answers that stay unread for some seconds.
const DEFAULT_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Carries 200 Mbit/s over a network delay of 10 ms.
const DEFAULT_SEND_BUFFER: Bytes = Bytes::from_kib(256);
/// Carries 80 Mbit/s over a network delay of 3 ms.
const DEFAULT_RECEIVE_BUFFER: Bytes = Bytes::from_kib(64);
const DEFAULT_HEADER_MAX: Bytes = Bytes::from_kib(64);
/// Callers give up a request after about as long.
const DEFAULT_LINGER_TIMEOUT: Duration = Duration::from_secs(10);
/// With the send buffer above, they hold at most 32 MiB in the kernel.
const DEFAULT_LINGERING_MAX: usize = 128;
const DEFAULT_STREAMS_MAX: u32 = 200;

/// Limits of a served port on connections, timeouts and headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServeConfig {
    /// The timeout from the opening of a connection to the headers of its first request, and from
    /// the first byte of each further HTTP/1 request to the end of its headers; 10 s by default.
    pub header_timeout: Duration,
    /// The time without a request in progress, an answer being written or a written byte after which
    /// a connection is closed; 60 s by default.
    pub idle_timeout: Duration,
    /// The time after which a connection is closed if its caller takes no byte of an answer that is
    /// ready for it; 5 s by default. Any byte that is taken starts the time anew, and so do bytes
    /// for which the kernel makes room when it probes the caller, once after 1.6 to 3 s.
    pub stall_timeout: Duration,
    /// The size of the kernel's send buffer of each connection; 256 KiB by default, less if the
    /// kernel's limit is lower. By itself the kernel lets it grow to megabytes for a caller that
    /// reads nothing, which no budget counts and which looks like progress of the caller.
    pub send_buffer: Bytes,
    /// The most bytes of answers that the kernel takes of each connection beyond those that it can send
    /// at once; unlimited by default. Without it, callers that read nothing use up the kernel's memory
    /// by the whole send buffer each.
    pub unsent_max: Option<Bytes>,
    /// The size of the kernel's receive buffer of each connection; 64 KiB by default, less if the
    /// kernel's limit is lower. By itself the kernel lets it grow to megabytes.
    pub receive_buffer: Bytes,
    /// The time since the last written byte for which a connection is read on after its last answer,
    /// until its caller closes it too; 10 s by default. A close while the caller still sends would
    /// reset the connection and destroy what the caller has not read yet.
    pub linger_timeout: Duration,
    /// The maximum number of connections that linger like that; 128 by default. They count towards
    /// the limits on connections. The longest lingering one is closed for each further one, and all of them
    /// when the process is out of file descriptors.
    pub lingering_max: usize,
    /// The maximum size of a request head; 64 KiB by default.
    pub header_max: Bytes,
    /// The maximum number of concurrent HTTP/2 requests on a connection; 200 by default.
    pub streams_max: u32,
}

impl Default for ServeConfig {
    fn default() -> Self {
        Self {
            header_timeout: DEFAULT_HEADER_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            stall_timeout: DEFAULT_STALL_TIMEOUT,
            send_buffer: DEFAULT_SEND_BUFFER,
            unsent_max: None,
            receive_buffer: DEFAULT_RECEIVE_BUFFER,
            linger_timeout: DEFAULT_LINGER_TIMEOUT,
            lingering_max: DEFAULT_LINGERING_MAX,
            header_max: DEFAULT_HEADER_MAX,
            streams_max: DEFAULT_STREAMS_MAX,
        }
    }
}
