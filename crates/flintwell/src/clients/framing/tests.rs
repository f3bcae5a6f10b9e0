use super::*;

/// The framings that are found in these bytes: read whole, split in two at each position, and byte by byte.
fn heads(bytes: &[u8]) -> Vec<Framing> {
    let read = |parts: &[&[u8]]| {
        let mut scanner = Scanner::default();
        parts.iter().for_each(|part| scanner.read(part));
        Vec::from(scanner.heads)
    };
    let whole = read(&[bytes]);
    for cut in 0..bytes.len() {
        assert_eq!(read(&[&bytes[..cut], &bytes[cut..]]), whole, "cut at {cut}");
    }
    assert_eq!(read(&bytes.chunks(1).collect::<Vec<_>>()), whole);
    whole
}

#[test]
fn messages_are_told_apart_however_they_are_cut() {
    use Framing::*;
    let get = "GET /k HTTP/1.1\r\nHost: o\r\n\r\n";
    let put = "PUT /k HTTP/1.1\r\ncontent-LENGTH:  5\r\n\r\n\n\r\n\r\n";
    let both = "PUT /k HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    let coded = "PUT /k HTTP/1.1\nTransfer-Encoding: chunked\n\n5\r\nab\n\nc\r\n0\r\n\r\n";
    let twice = "PUT /k HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n";
    let no_number = "PUT /k HTTP/1.1\r\nContent-Length: +5\r\n\r\n";
    assert_eq!(heads(get.as_bytes()), [Length]);
    assert_eq!(heads([put, get, "\r\n", put, both].concat().as_bytes()), [Length, Length, Length, Doubtful]);
    assert_eq!(heads([get, coded, get].concat().as_bytes()), [Length, Coded], "messages after a transfer encoding are not scanned");
    assert_eq!(heads([twice, get].concat().as_bytes()), [Doubtful]);
    assert_eq!(heads(no_number.as_bytes()), [Doubtful]);
    assert_eq!(heads(&get.as_bytes()[..20]), []);
    assert_eq!(heads(&both.replace("Content", "Transfer-Encoding: x\r\nContent").into_bytes()), [Doubtful]);
}

#[test]
fn what_is_left_of_an_answer_is_known_at_each_byte() {
    let words = b"HTTP/1.1 100 Continue\r\n\r\n";
    let told = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnine byte".to_vec();
    let coded = b"HTTP/1.1 200 -\r\ntransfer-encoding: Chunked\r\n\r\n3;x=\"a\"\r\nnin\r\n00A\ne bytes ab\r\n0\r\na: b\r\n\r\n";
    for (answer, body) in [(&told[..], &b"nine byte"[..]), (coded, b"nine bytes ab")] {
        let answer = [&words[..], answer].concat();
        for cut in 0..=answer.len() {
            let mut answers = ResponseScanner::default();
            answer[..cut].chunks(1 + cut % 3).for_each(|part| answers.read(part));
            // Another decoder continues from there.
            let Some(mut coding) = answers.decoder else { continue };
            let mut rest = Vec::new();
            assert!(coding.decode(&answer[cut..], |piece| rest.extend_from_slice(piece)) && coding.is_complete());
            assert_eq!(rest, body[answers.body_bytes as usize..], "cut at {cut}");
        }
        let mut answers = ResponseScanner::default();
        answers.read(&answer);
        assert!(answers.decoder.is_some_and(BodyDecoder::is_complete), "the end of the body is detected");
    }
    for wrong in ["x", "-3\r\n", "ffffffffffffffff0\r\n", "3\r\nnine"] {
        assert!(!BodyDecoder::Chunked(ChunkState::Size(0)).decode(wrong.as_bytes(), |_| {}), "{wrong}");
    }
}

#[test]
fn a_head_without_end_is_not_kept() {
    let mut scanner = Scanner::default();
    (0..100).for_each(|_| scanner.read(&[b'x'; 1_000]));
    assert!(matches!(scanner.at, At::Lost));
    assert_eq!(scanner.next(), Framing::Doubtful);
}
