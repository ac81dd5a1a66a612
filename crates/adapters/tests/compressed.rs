//! The compressed stream between nodes.

use futures_util::{AsyncReadExt, AsyncWriteExt, io::Cursor};
use proptest::prelude::*;
use savorykeel_adapters::peer::{CompressedReader, CompressedWriter};

fn block_on<F: Future>(future: F) -> F::Output {
    tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(future)
}

fn compress(messages: &[Vec<u8>]) -> Vec<u8> {
    let mut writer = CompressedWriter::new(Cursor::new(Vec::new()));
    block_on(async {
        for message in messages {
            writer.write_all(message).await.unwrap();
            writer.flush().await.unwrap();
        }
    });
    let mut bytes = Vec::new();
    let mut inner = writer.into_inner();
    inner.set_position(0);
    block_on(inner.read_to_end(&mut bytes)).unwrap();
    bytes
}

fn decompress(bytes: Vec<u8>) -> std::io::Result<Vec<u8>> {
    let mut content = Vec::new();
    let mut reader = CompressedReader::new(Cursor::new(bytes));
    block_on(reader.read_to_end(&mut content)).map(|_| content)
}

proptest! {
    #[test]
    fn written_messages_round_trip(
        messages in prop::collection::vec(prop::collection::vec(0u8..4, 0..3_000), 0..20)
    ) {
        prop_assert_eq!(decompress(compress(&messages)).unwrap(), messages.concat());
    }

    #[test]
    fn random_bytes_give_an_error_or_an_orderly_end(
        bytes in prop::collection::vec(any::<u8>(), 0..2_000)
    ) {
        let _ = decompress(bytes);
    }

    #[test]
    fn truncated_stream_yields_only_whole_frames(truncated_len in 0usize..400) {
        let messages = vec![vec![1; 300], (0..=255).collect(), vec![2; 50]];
        let bytes = compress(&messages);
        let truncated_len = truncated_len % bytes.len();
        let starts = [0, 300, 556, 606];
        match decompress(bytes[..truncated_len].to_vec()) {
            Ok(content) => prop_assert!(starts.contains(&content.len())),
            Err(e) => prop_assert_eq!(e.kind(), std::io::ErrorKind::UnexpectedEof),
        }
    }
}

/// Decompresses a stream from which the given messages are missing.
fn decompress_without(missing: std::ops::Range<usize>) -> std::io::Result<Vec<u8>> {
    let message = |i: usize| format!("{{\"order\":{i},\"who\":\"caller-{}\"}}", i % 7).into_bytes();
    let messages: Vec<Vec<u8>> = (0..20).map(message).collect();
    let end = |n: usize| compress(&messages[..n]).len();
    let mut bytes = compress(&messages);
    bytes.drain(end(missing.start)..end(missing.end));
    decompress(bytes)
}

#[test]
fn stream_that_lost_messages_is_rejected() {
    for missing in [0..1, 3..4, 5..12, 18..19] {
        let error = decompress_without(missing.clone()).unwrap_err();
        assert_eq!(error.kind(), std::io::ErrorKind::InvalidData, "{missing:?}");
    }
}

#[test]
fn large_message_round_trips() {
    let message: Vec<u8> =
        (0..400_000u32).map(|i| (i.wrapping_mul(2_654_435_761) >> 24) as u8).collect();
    assert_eq!(decompress(compress(std::slice::from_ref(&message))).unwrap(), message);
}

#[test]
fn repeated_messages_are_compressed() {
    let message = |i: u32| {
        format!(
            "GET /orders/{i} host: shop.example accept: */* user-agent: client/1.0 deadline: {}",
            900 + i
        )
        .into_bytes()
    };
    let messages: Vec<Vec<u8>> = (0..50).map(message).collect();
    let (plain, sent) = (messages.concat().len(), compress(&messages).len());
    assert!(sent * 2 < plain, "{sent} bytes for {plain}");
}
