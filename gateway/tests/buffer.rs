//! Bodies that are held in blocks.

use laburnumwheel_gateway::buffer::Buffer;

const BLOCK_BYTES: usize = 64 << 10;

fn bytes(count: usize) -> Vec<u8> {
    (0..count).map(|i| (i % 251) as u8).collect()
}

/// A buffer of these bytes, added in parts of `part` bytes, and the sum of what it said to grow by.
fn fill(data: &[u8], part: usize) -> (Buffer, usize) {
    let mut buffer = Buffer::default();
    let mut growth = 0;
    for part in data.chunks(part) {
        growth += buffer.growth(part.len());
        buffer.extend(part);
    }
    (buffer, growth)
}

/// Guards against bytes that are lost, doubled or moved between blocks.
#[test]
fn bytes_are_kept_in_order() {
    for length in [0, 1, BLOCK_BYTES - 1, BLOCK_BYTES, BLOCK_BYTES + 1, 3 * BLOCK_BYTES + 17] {
        for part in [1, 1_000, BLOCK_BYTES, 2 * BLOCK_BYTES + 5] {
            let data = bytes(length);

            let joined = fill(&data, part).0.freeze();
            let blocks = fill(&data, part).0.into_blocks().concat();

            assert_eq!(joined, data, "{length} bytes in parts of {part}");
            assert_eq!(blocks, data, "{length} bytes in parts of {part}");
        }
    }
}

/// Guards against memory that is taken and not counted.
#[test]
fn growth_is_what_the_blocks_take() {
    let long = 3 * BLOCK_BYTES + 17;
    let cases = [
        (1, 1, 1),
        (700, 1, 1_024),
        (700, 1_000, 700),
        (BLOCK_BYTES, 1, BLOCK_BYTES),
        (BLOCK_BYTES, 1_000, BLOCK_BYTES),
        (BLOCK_BYTES + 1, BLOCK_BYTES, 2 * BLOCK_BYTES),
        (long, 1, 4 * BLOCK_BYTES),
        (long, 1_000, 4 * BLOCK_BYTES),
        (long, 2 * BLOCK_BYTES + 5, 4 * BLOCK_BYTES),
    ];
    for (length, part, taken) in cases {
        let (buffer, growth) = fill(&bytes(length), part);

        assert_eq!((buffer.len(), growth), (length, taken), "in parts of {part}");
    }
}

/// Guards against bodies that are moved as they grow: all blocks but the last have the same size.
#[test]
fn blocks_have_one_size() {
    let data = bytes(5 * BLOCK_BYTES + 100);

    let blocks = fill(&data, 1_000).0.into_blocks();

    let sizes: Vec<usize> = blocks.iter().map(|block| block.len()).collect();
    assert_eq!(sizes, [BLOCK_BYTES, BLOCK_BYTES, BLOCK_BYTES, BLOCK_BYTES, BLOCK_BYTES, 100]);
}
