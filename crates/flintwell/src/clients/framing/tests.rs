use super::*;

/// The framings that are found in these bytes: read whole, split in two at each position, and byte by byte.
fn framings(bytes: &[u8]) -> Vec<Framing> {
    let read = |parts: &[&[u8]]| {
        let mut scanner = RequestScanner::default();
        parts.iter().for_each(|part| scanner.scan(part));
        Vec::from(scanner.framings)
    };
    let whole = read(&[bytes]);
    for cut in 0..bytes.len() {
        assert_eq!(read(&[&bytes[..cut], &bytes[cut..]]), whole, "cut at {cut}");
    }
    assert_eq!(read(&bytes.chunks(1).collect::<Vec<_>>()), whole);
    whole
}

#[test]
fn request_framing_does_not_depend_on_read_boundaries() {
    use Framing::*;
    let get = "GET /k HTTP/1.1\r\nHost: o\r\n\r\n";
    let put = "PUT /k HTTP/1.1\r\ncontent-LENGTH:  5\r\n\r\n\n\r\n\r\n";
    let both = "PUT /k HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    let transfer_encoded = "PUT /k HTTP/1.1\nTransfer-Encoding: chunked\n\n5\r\nab\n\nc\r\n0\r\n\r\n";
    let twice = "PUT /k HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n";
    let no_number = "PUT /k HTTP/1.1\r\nContent-Length: +5\r\n\r\n";
    assert_eq!(framings(get.as_bytes()), [Length]);
    assert_eq!(
        framings([put, get, "\r\n", put, both].concat().as_bytes()),
        [Length, Length, Length, Ambiguous]
    );
    assert_eq!(
        framings([get, transfer_encoded, get].concat().as_bytes()),
        [Length, TransferEncoded],
        "messages after a transfer encoding are not scanned"
    );
    assert_eq!(framings([twice, get].concat().as_bytes()), [Ambiguous]);
    assert_eq!(framings(no_number.as_bytes()), [Ambiguous]);
    assert_eq!(framings(&get.as_bytes()[..20]), []);
    assert_eq!(
        framings(&both.replace("Content", "Transfer-Encoding: x\r\nContent").into_bytes()),
        [Ambiguous]
    );
}

#[test]
fn decoding_resumes_at_any_byte_of_a_response() {
    let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
    let with_length = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnine byte".to_vec();
    let chunked = b"HTTP/1.1 200 -\r\ntransfer-encoding: Chunked\r\n\r\n3;x=\"a\"\r\nnin\r\n00A\ne bytes ab\r\n0\r\na: b\r\n\r\n";
    for (response, body) in [(&with_length[..], &b"nine byte"[..]), (chunked, b"nine bytes ab")] {
        let response = [&interim[..], response].concat();
        for cut in 0..=response.len() {
            let mut scanner = ResponseScanner::default();
            for part in response[..cut].chunks(1 + cut % 3) {
                assert_eq!(scanner.scan(part), 0, "cut at {cut}");
            }
            // Another decoder continues from there.
            let Some(mut decoder) = scanner.decoder else { continue };
            let mut rest = Vec::new();
            assert!(
                decoder.decode(&response[cut..], |payload| rest.extend_from_slice(payload)) == Some(0)
                    && decoder.is_complete()
            );
            assert_eq!(rest, body[scanner.body_bytes as usize..], "cut at {cut}");
        }
        let mut scanner = ResponseScanner::default();
        assert_eq!(scanner.scan(&[&response[..], b"more"].concat()), 4, "the end of the body is detected");
        assert!(scanner.decoder.is_some_and(BodyDecoder::is_complete));
    }
    for wrong in ["x", "-3\r\n", "ffffffffffffffff0\r\n", "3\r\nnine"] {
        let decoded = BodyDecoder::Chunked(ChunkState::Size(0)).decode(wrong.as_bytes(), |_| {});
        assert_eq!(decoded, None, "{wrong}");
    }
}

#[test]
fn an_oversized_head_is_discarded() {
    let mut scanner = RequestScanner::default();
    (0..100).for_each(|_| scanner.scan(&[b'x'; 1_000]));
    assert!(matches!(scanner.state, ScanState::Unknown));
    assert_eq!(scanner.next_framing(), Framing::Ambiguous);
}
