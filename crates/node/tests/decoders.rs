//! Decoders of data from callers and other hosts accept any bytes without a panic.

use std::time::Duration;

use bytes::Bytes;
use dunlinrock_coord::once::{Key, PriorAttempts};
use dunlinrock_node::{
    call::{answer_fields, target_fields, timeout_field},
    duties::ledger::read_message,
    run::{read_answer, read_call},
    wire::{TIMEOUT, join_frame, unpack},
};
use dunlinrock_schema::{
    coord::Message,
    peer::{RunAnswer, RunHead, SteerAsk, SteerGive},
};
use hyper::{
    HeaderMap,
    header::{HeaderName, HeaderValue},
};
use proptest::{
    collection::vec,
    prelude::{Just, ProptestConfig, Strategy, any, prop_oneof},
    proptest,
    test_runner::RngSeed,
};

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Arbitrary bytes, and bytes that begin like a frame: a length, then the start of a map or an
/// array.
fn frames() -> impl Strategy<Value = Vec<u8>> {
    let framed =
        (any::<u16>(), 0x80u8..0xa0, vec(any::<u8>(), 0..200)).prop_map(|(length, first, rest)| {
            let mut frame = u32::from(length % 256).to_be_bytes().to_vec();
            frame.push(first);
            frame.extend(rest);
            frame
        });
    prop_oneof![vec(any::<u8>(), 0..300), framed]
}

/// A valid frame with some of its bytes changed, so that decoders get beyond its beginning.
fn damaged(sound: Vec<u8>) -> impl Strategy<Value = Vec<u8>> {
    let length = sound.len();
    let changes = vec((0..length, any::<u8>()), 0..6);
    (Just(sound), changes, 0..=length).prop_map(|(mut frame, changes, end)| {
        for (at, byte) in changes {
            frame[at] = byte;
        }
        frame.truncate(end.max(4));
        frame
    })
}

fn call_frame() -> Vec<u8> {
    let head = RunHead {
        request: "r-1".into(),
        service: "records".into(),
        domain: "cluj-a".into(),
        method: "POST".into(),
        path: "/pay/7".into(),
        fields: Vec::new(),
        remaining_us: 1000,
        region: "cluj".into(),
        client: "10.0.0.1".into(),
        caller: 1,
        topic: 2,
        kind: 3,
        fingerprint: 4,
        identity: 5,
        repeatable: false,
        key: Some("1.2.3.4.n".into()),
        attempts: None,
        hops: 1,
    };
    join_frame(&head, b"seat 4").expect("packed")
}

proptest! {
    #![proptest_config(config(1))]

    #[test]
    fn frames_of_hosts_take_any_bytes(frame in frames()) {
        let bytes = Bytes::from(frame);
        let _ = read_call(&bytes);
        let _ = read_answer(&bytes);
        let _ = read_message(&bytes);
        let _ = dunlinrock_coord::wire::decode::<Message>(&bytes);
        let _ = unpack::<SteerAsk>(&bytes);
        let _ = unpack::<SteerGive>(&bytes);
        let _ = unpack::<RunAnswer>(&bytes);
    }

    #[test]
    fn a_damaged_request_of_a_host_is_decoded_or_refused(frame in damaged(call_frame())) {
        if let Ok((_, call)) = read_call(&Bytes::from(frame)) {
            assert!(call.body.len() <= b"seat 4".len() + 300);
        }
    }

    #[test]
    fn the_timeout_of_a_caller_is_parsed_or_refused(value in vec(0x20u8..0xff, 0..30)) {
        let Ok(value) = HeaderValue::from_bytes(&value) else { return Ok(()) };
        let mut headers = HeaderMap::new();
        headers.insert(TIMEOUT, value.clone());
        let longest = Duration::from_secs(10);
        let read = timeout_field(&headers, Duration::from_secs(1), longest);
        let number = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
        match number {
            None | Some(0) => assert!(read.is_err(), "{value:?} gave {read:?}"),
            Some(ms) => assert_eq!(read.ok(), Some(Duration::from_millis(ms).min(longest))),
        }
    }

    #[test]
    fn fields_that_belong_to_a_connection_are_not_forwarded(
        names in vec("[a-z][a-z-]{0,12}", 0..6),
        options in vec(0x20u8..0xff, 0..40),
    ) {
        let mut headers = HeaderMap::new();
        for name in &names {
            let name = HeaderName::try_from(name.as_str()).expect("a field's name");
            headers.append(name, HeaderValue::from_static("x"));
        }
        let listed = names.join(", ");
        headers.append("connection", HeaderValue::from_str(&listed).expect("a value"));
        if let Ok(value) = HeaderValue::from_bytes(&options) {
            headers.append("connection", value);
        }
        assert!(target_fields(&headers).is_empty());
        assert!(answer_fields(&headers).is_empty());
    }

    #[test]
    fn a_key_and_its_attempts_take_any_text(text in "\\PC{0,120}", numbers in vec(any::<u64>(), 4)) {
        let _ = text.parse::<PriorAttempts>();
        if let Ok(key) = text.parse::<Key>() {
            assert_eq!(key.to_string(), text);
        }
        let [a, b, c, d] = numbers[..] else { return Ok(()) };
        let text = format!("{a}.{b}.{c}.{d}.nonce");
        assert_eq!(text.parse::<Key>().expect("a key").to_string(), text);
    }
}
