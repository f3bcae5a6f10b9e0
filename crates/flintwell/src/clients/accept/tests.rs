use super::*;

#[tokio::test]
async fn a_client_is_busy_until_the_last_byte_of_its_answer_is_written() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let stream = TcpStream::connect(listener.local_addr().expect("its address")).await.expect("a stream");
    let client = Rc::new(Clients::default()).enter(stream);
    let mut listened = Listened { stream: SharedStream(client.stream.clone()), client: client.clone() };
    client.busy();
    let (content, answered) = (Bytes::from_static(b"value").into(), client.clone());
    drop(Answering { content, client: answered });
    assert!(client.idle.get().is_none(), "in the connection's hands");
    poll_fn(|cx| Pin::new(&mut listened).poll_flush(cx)).await.expect("written");
    assert!(client.idle.get().is_some_and(|place| place.0 == Heard::Request));
}
