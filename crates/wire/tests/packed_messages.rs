//! Compressed messages between nodes, and what a hostile or broken one may do.

use wire::packed::{PackedMessage, decode_packed, encode_packed};
use wire::peer::encode_message;

/// Limit of the messages in these tests, in bytes.
const LIMIT: usize = 1 << 16;

fn packed(message: &PackedMessage) -> Vec<u8> {
    encode_message(message).expect("message can be encoded")
}

/// A frame of `length` zeros.
fn zeros(length: usize) -> Vec<u8> {
    let packed = PackedMessage::pack(vec![0; length]).expect("zeros can be packed");
    let PackedMessage::Zstandard { frame, .. } = packed else {
        panic!("{length} bytes are compressed");
    };
    frame
}

#[test]
fn similar_rows_shrink() {
    let rows: Vec<String> = (0..500).map(|row| format!("host-{row} ready")).collect();
    let plain = encode_message(&rows).expect("rows can be encoded");
    let packed = encode_packed(&rows).expect("rows can be packed");
    assert!(packed.len() * 4 < plain.len());
    let decoded: Vec<String> = decode_packed::<_, LIMIT>(&packed).expect("rows come back");
    assert_eq!(decoded, rows);
}

/// Guards against a small frame that grows beyond all memory.
#[test]
fn grown_frame_refused() {
    let frame = zeros(LIMIT * 16);
    let length = u32::try_from(LIMIT * 16).expect("small length");
    let honest = packed(&PackedMessage::Zstandard {
        length,
        frame: frame.clone(),
    });
    assert!(decode_packed::<Vec<u8>, LIMIT>(&honest).is_err());
    let forged = packed(&PackedMessage::Zstandard { length: 100, frame });
    assert!(decode_packed::<Vec<u8>, LIMIT>(&forged).is_err());
}

/// Guards against a frame that was cut off and passes for a whole one.
#[test]
fn torn_frame_refused() {
    let mut frame = zeros(1000);
    frame.truncate(frame.len() / 2);
    let torn = packed(&PackedMessage::Zstandard {
        length: 1000,
        frame,
    });
    assert!(decode_packed::<Vec<u8>, LIMIT>(&torn).is_err());
}

cases::properties! {
    fn messages_come_back(rows: Vec<Vec<u8>>) -> bool {
        let packed = encode_packed(&rows).expect("rows can be packed");
        decode_packed::<Vec<Vec<u8>>, { 1 << 20 }>(&packed) == Ok(rows)
    }

    /// Guards against bytes of another program that end the process.
    fn any_bytes_are_decoded_or_refused(bytes: Vec<u8>) -> bool {
        match decode_packed::<Vec<u64>, LIMIT>(&bytes) {
            Ok(rows) => rows.len() <= LIMIT,
            Err(error) => !error.to_string().is_empty(),
        }
    }
}
