//! Listening sockets that close without resetting a connection.

use std::{io, os::fd::AsFd};

use socket2::{SockFilter, SockRef};

/// Offset of the flags in a TCP header, in bytes.
const TCP_FLAGS_OFFSET: u32 = 13;

/// The flags that tell the first packet of a handshake from all others: SYN and ACK.
const SYN_AND_ACK: u32 = 0x12;

/// The SYN flag, without which no handshake begins.
const SYN: u32 = 0x02;

/// Instruction that loads a byte of the packet.
const LOAD_BYTE: u16 = 0x30;

/// Instruction that applies a bit mask to the loaded value.
const AND: u16 = 0x54;

/// Instruction that skips instructions depending on whether the value equals another.
const JUMP_IF_EQUAL: u16 = 0x15;

/// Instruction that returns the number of bytes of the packet to keep.
const RETURN: u16 = 0x06;

/// Keeps a packet whole.
const KEEP: u32 = u32::MAX;

/// Makes `listener` drop the first packet of every further handshake, so that its queue of
/// completed connections can be emptied for good.
///
/// Closing a listener resets the connections that are still in its queue, on which a request
/// may already have been sent. However often the queue is emptied, another connection may
/// complete just before the listener is closed. A caller whose packet is dropped sends it
/// again about a second later and is refused then, which it can tell from a lost answer. See
/// `docs/design/0012-graceful-shutdown.md`.
///
/// # Errors
///
/// Returns the system's error if the filter can't be attached; the listener is unchanged.
pub fn ignore_new_handshakes(listener: &impl AsFd) -> io::Result<()> {
    SockRef::from(listener).attach_filter(&[
        SockFilter::new(LOAD_BYTE, 0, 0, TCP_FLAGS_OFFSET),
        SockFilter::new(AND, 0, 0, SYN_AND_ACK),
        SockFilter::new(JUMP_IF_EQUAL, 0, 1, SYN),
        SockFilter::new(RETURN, 0, 0, 0),
        SockFilter::new(RETURN, 0, 0, KEEP),
    ])
}

/// Limits the bytes that the system holds unread on each connection that `listener` accepts.
///
/// The system otherwise lets the buffer of a connection grow to megabytes while its sender is
/// faster than the process, and the memory of an instance includes these bytes.
///
/// # Errors
///
/// Returns the system's error if the size can't be set.
pub fn limit_receive_buffer(listener: &impl AsFd, bytes: usize) -> io::Result<()> {
    // The system doubles the value for its own overhead.
    SockRef::from(listener).set_recv_buffer_size(bytes / 2)
}
