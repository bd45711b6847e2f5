//! Tests of the body of an answer that is relayed piece by piece.

use std::future::poll_fn;
use std::pin::Pin;

use bytes::Bytes;
use hyper::body::Body;
use wingshed_lib::transport::vm_relay::{AnswerBody, CutShort};

/// Returns all pieces of the body and how it ends.
async fn read(mut body: AnswerBody) -> (Vec<Bytes>, Result<(), CutShort>) {
    let mut pieces = Vec::new();
    loop {
        match poll_fn(|context| Pin::new(&mut body).poll_frame(context)).await {
            Some(Ok(frame)) => pieces.extend(frame.into_data()),
            Some(Err(error)) => return (pieces, Err(error)),
            None => return (pieces, Ok(())),
        }
    }
}

#[tokio::test]
async fn an_answer_whose_relay_is_dropped_does_not_end_as_complete() {
    let (writer, body) = AnswerBody::pieces();

    assert!(writer.send(Bytes::from("a piece")).await);
    drop(writer);

    assert_eq!(read(body).await, (vec![Bytes::from("a piece")], Err(CutShort)));
}

#[tokio::test]
async fn an_answer_that_its_relay_completes_ends() {
    let (writer, body) = AnswerBody::pieces();

    assert!(writer.send(Bytes::from("a piece")).await);
    writer.complete().await;

    assert_eq!(read(body).await, (vec![Bytes::from("a piece")], Ok(())));
}
