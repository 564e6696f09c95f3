//! Parses and frames the examples of the JSON-RPC 2.0 specification, messages that it forbids, and arbitrary
//! bytes.

use jsonrpc::{
    code, encode_batch, encode_error, encode_frame, encode_request, encode_response, parse, FrameDecoder,
    Framing, FramingError, InvalidMessage, Limits, Message, Parsed,
};
use proptest::prelude::*;

/// Returns a short description of each message of a frame.
fn describe(frame: &[u8]) -> Vec<String> {
    let limits = Limits::default();
    let describe_message = |entry: Result<Message<'_>, InvalidMessage<'_>>| match entry {
        Ok(Message::Call(call)) => {
            let id = call.id.map_or("-", |id| id.get());
            format!("call {id} {} {}", call.method, call.params.map_or("-", |p| p.get()))
        }
        Ok(Message::Response(response)) => match response.outcome {
            Ok(result) => format!("result {} {}", response.id.get(), result.get()),
            Err(_) => format!("error {} {}", response.id.get(), response.error().map_or(0, |(code, _)| code)),
        },
        Err(invalid) => format!("invalid {} {}", invalid.id.map_or("-", |id| id.get()), invalid.code),
    };
    match parse(frame, &limits) {
        Ok(Parsed::One(entry)) => vec![describe_message(entry)],
        Ok(Parsed::Batch(entries)) => entries.into_iter().map(describe_message).collect(),
        Err(invalid) => vec![format!("frame error {}", invalid.code)],
    }
}

/// Guards against a parser that deviates from the specification, including for batches and notifications.
#[test]
fn examples_of_the_specification_are_parsed() {
    let cases: [(&str, &[&str]); 14] = [
        (
            r#"{"jsonrpc": "2.0", "method": "subtract", "params": [42, 23], "id": 1}"#,
            &["call 1 subtract [42, 23]"],
        ),
        (r#"{"jsonrpc": "2.0", "result": 19, "id": 1}"#, &["result 1 19"]),
        (
            r#"{"jsonrpc": "2.0", "method": "subtract", "params": {"subtrahend": 23, "minuend": 42}, "id": 3}"#,
            &[r#"call 3 subtract {"subtrahend": 23, "minuend": 42}"#],
        ),
        (r#"{"jsonrpc": "2.0", "method": "update", "params": [1,2,3,4,5]}"#, &["call - update [1,2,3,4,5]"]),
        (r#"{"jsonrpc": "2.0", "method": "foobar"}"#, &["call - foobar -"]),
        (
            r#"{"jsonrpc": "2.0", "error": {"code": -32601, "message": "Method not found"}, "id": "1"}"#,
            &[r#"error "1" -32601"#],
        ),
        (r#"{"jsonrpc": "2.0", "method": "foobar, "params": "bar", "baz]"#, &["frame error -32700"]),
        (r#"{"jsonrpc": "2.0", "method": 1, "params": "bar"}"#, &["invalid - -32600"]),
        (
            r#"[{"jsonrpc": "2.0", "method": "sum", "params": [1,2,4], "id": "1"},{"jsonrpc": "2.0", "method"]"#,
            &["frame error -32700"],
        ),
        ("[]", &["invalid - -32600"]),
        ("[1]", &["invalid - -32600"]),
        ("[1,2,3]", &["invalid - -32600", "invalid - -32600", "invalid - -32600"]),
        (
            r#"[{"jsonrpc": "2.0", "method": "sum", "params": [1,2,4], "id": "1"},{"jsonrpc": "2.0", "method": "notify_hello", "params": [7]},{"foo": "boo"},{"jsonrpc": "2.0", "method": "foo.get", "params": {"name": "myself"}, "id": "5"}]"#,
            &[
                r#"call "1" sum [1,2,4]"#,
                "call - notify_hello [7]",
                "invalid - -32600",
                r#"call "5" foo.get {"name": "myself"}"#,
            ],
        ),
        (
            r#"[{"jsonrpc": "2.0", "method": "notify_sum", "params": [1,2,4]},{"jsonrpc": "2.0", "method": "notify_hello", "params": [7]}]"#,
            &["call - notify_sum [1,2,4]", "call - notify_hello [7]"],
        ),
    ];
    for (frame, expected) in cases {
        assert_eq!(describe(frame.as_bytes()), expected, "{frame}");
    }
}

/// An id that is parsed to a number or unescaped would not match the id that the client waits for.
#[test]
fn valid_ids_are_kept_verbatim_and_others_are_rejected() {
    let digits = "9".repeat(401);
    for id in ["null", "0", "-7", &digits, r#""""#, r#""\u00e9\n""#, "\"\u{e9}\""] {
        let frame = format!(r#"{{"id":{id},"method":"m","jsonrpc":"2.0"}}"#);
        assert_eq!(describe(frame.as_bytes()), [format!("call {id} m -")]);
    }
    let long = format!("\"{}\"", "x".repeat(2000));
    for id in ["1.5", "1e400", "true", "[1]", "{}", r#""\ud800""#, "-", &long] {
        let frame = format!(r#"{{"id":{id},"method":"m","jsonrpc":"2.0"}}"#);
        let described = describe(frame.as_bytes());
        assert!(
            described == ["invalid - -32600"] || described == ["frame error -32700"],
            "{id}: {described:?}"
        );
    }
}

/// The proxy and an endpoint could read an ambiguous message differently, so the proxy forwards none.
#[test]
fn ambiguous_messages_are_invalid() {
    let cases = [
        (r#"{"jsonrpc":"2.0","id":1,"id":2,"method":"m"}"#, "invalid - -32600"),
        (r#"{"jsonrpc":"2.0","id":1,"method":"m","\u006dethod":"n"}"#, "invalid - -32600"),
        (r#"{"jsonrpc":"2.0","id":1,"method":"m","params":[1],"params":[2]}"#, "invalid - -32600"),
        (r#"{"jsonrpc":"2.0","id":1,"method":"m","result":1}"#, "invalid 1 -32600"),
        (r#"{"jsonrpc":"2.0","id":1,"result":1,"error":{}}"#, "invalid 1 -32600"),
        (r#"{"jsonrpc":"2.0","result":1}"#, "invalid - -32600"),
        (r#"{"jsonrpc":"1.0","id":1,"method":"m"}"#, "invalid 1 -32600"),
        (r#"{"id":1,"method":"m"}"#, "invalid 1 -32600"),
        (r#"{"jsonrpc":"2.0","id":1,"method":"m","params":7}"#, "invalid 1 -32600"),
        (r#"{"jsonrpc":"2.0","id":1,"method":"\ud800"}"#, "invalid 1 -32600"),
        (r#"{"jsonrpc":"2.0","id":1,"method":"m"} {}"#, "frame error -32700"),
        ("7", "invalid - -32600"),
        ("", "frame error -32700"),
    ];
    for (frame, expected) in cases {
        assert_eq!(describe(frame.as_bytes()), [expected], "{frame}");
    }
    assert_eq!(describe(b"{\"jsonrpc\":\"2.0\",\"method\":\"\xff\"}"), ["frame error -32700"]);
}

/// Without limits, a peer could exhaust memory with long or wide messages, or the stack with deep ones.
#[test]
fn each_limit_is_enforced() {
    let limits = Limits { message_bytes: 200, nesting_depth: 3, batch_entries: 2, id_bytes: 10 };
    let call = |params: &str| format!(r#"{{"jsonrpc":"2.0","method":"m","params":{params}}}"#);
    let error_code = |frame: &str| parse(frame.as_bytes(), &limits).expect_err(frame).code;
    assert!(parse(call("[[1]]").as_bytes(), &limits).is_ok());
    assert_eq!(error_code(&call("[[[1]]]")), code::PARSE_ERROR);
    assert!(
        parse(call(r#"["[[[[\"[["]"#).as_bytes(), &limits).is_ok(),
        "brackets inside a string are not nesting"
    );
    assert_eq!(error_code(&call(&format!("[{}]", "1,".repeat(100) + "1"))), code::TOO_LARGE);
    assert_eq!(error_code("[1,2,3]"), code::TOO_LARGE);
    let deep = "[".repeat(60_000);
    assert_eq!(parse(deep.as_bytes(), &Limits::default()).expect_err("deep").code, code::PARSE_ERROR);
}

/// Guards against encoding that is not valid JSON, for instance through missing escapes.
#[test]
fn encoded_messages_parse_to_the_same_content() {
    let raw = |json: &str| serde_json::value::RawValue::from_string(json.to_owned()).expect("JSON");
    let (id, params) = (raw("\"a\""), raw("[1.00]"));
    assert_eq!(describe(&encode_request(Some("7"), "m\"\n", Some(&params))), ["call 7 m\"\n [1.00]"]);
    assert_eq!(describe(&encode_request(None, "m", None)), ["call - m -"]);
    assert_eq!(describe(&encode_response(Some(&id), "{\"x\":1}")), ["result \"a\" {\"x\":1}"]);
    assert_eq!(
        describe(&encode_error(None, code::REJECTED, "no \"room\"", Some("{\"retryAfterMs\":5}"))),
        ["error null -32000"]
    );
    assert_eq!(encode_batch(&[]), None);
    let batch = encode_batch(&[encode_response(Some(&id), "1"), encode_error(Some(&id), -1, "", None)])
        .expect("a batch");
    assert_eq!(describe(&batch), ["result \"a\" 1", "error \"a\" -1"]);
}

/// After a framing error the start of the next message is unknown, so bytes that follow must not be read as
/// messages.
#[test]
fn framing_errors_are_final() {
    let limits = Limits { message_bytes: 100, ..Limits::default() };
    let first_frame = |framing, bytes: &[u8]| {
        let mut decoder = FrameDecoder::new(framing, limits);
        decoder.push(bytes);
        let first = decoder.next_frame();
        decoder.push(b"{}\n");
        assert_eq!(decoder.next_frame(), first, "the error is final");
        assert!(decoder.buffered_bytes() <= bytes.len());
        first
    };
    assert_eq!(first_frame(Framing::Line, &[b'x'; 102]), Err(FramingError::TooLarge));
    assert_eq!(first_frame(Framing::Line, &[&[b'x'; 101][..], b"\n"].concat()), Err(FramingError::TooLarge));
    let headers = [
        "Content-Length: 101\r\n\r\n",
        "Content-Length: -1\r\n\r\n",
        "Content-Length: +1\r\n\r\n",
        "Content-Length: 99999999999999999999\r\n\r\n",
        "Content-Length: 1\r\nContent-Length: 1\r\n\r\n",
        "Content-Type: x\r\n\r\n",
        "Content-Length 1\r\n\r\n",
        "Content-Length : 1\r\n\r\n",
        "\r\n\r\n",
        "Content-Length: 1\nX: 1\r\n\r\n",
        "Content-Length:\r\n\r\n",
    ];
    for header in headers {
        assert!(first_frame(Framing::ContentLength, header.as_bytes()).is_err(), "{header:?}");
    }
    assert_eq!(first_frame(Framing::ContentLength, &[b'x'; 600]), Err(FramingError::InvalidHeader));
    let ends_with = |framing, bytes: &[u8]| {
        let mut decoder = FrameDecoder::new(framing, limits);
        decoder.push(bytes);
        assert_eq!(decoder.next_frame(), Ok(None));
        decoder.finish()
    };
    assert_eq!(ends_with(Framing::Line, b"{"), Err(FramingError::UnexpectedEnd));
    assert_eq!(ends_with(Framing::Line, b"\r\n \n"), Ok(()));
    assert_eq!(
        ends_with(Framing::ContentLength, b"Content-Length: 2\r\n\r\n{"),
        Err(FramingError::UnexpectedEnd)
    );
    assert_eq!(ends_with(Framing::ContentLength, b"Content-Le"), Err(FramingError::UnexpectedEnd));
}

/// Returns all messages of a stream that arrives in these pieces, and the result at its end.
fn split_stream(framing: Framing, pieces: &[&[u8]]) -> (Vec<Vec<u8>>, Result<(), FramingError>) {
    let mut decoder = FrameDecoder::new(framing, Limits { message_bytes: 300, ..Limits::default() });
    let mut messages = Vec::new();
    for piece in pieces {
        decoder.push(piece);
        loop {
            match decoder.next_frame() {
                Ok(Some(message)) => messages.push(message.to_vec()),
                Ok(None) => break,
                Err(error) => return (messages, Err(error)),
            }
        }
        // At most one message, its header and a piece are buffered.
        assert!(decoder.buffered_bytes() <= 300 + 512 + piece.len());
    }
    let end = decoder.finish();
    (messages, end)
}

fn pieces<'a>(bytes: &'a [u8], cuts: &[usize]) -> Vec<&'a [u8]> {
    let mut bounds: Vec<usize> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).collect();
    bounds.extend([0, bytes.len()]);
    bounds.sort_unstable();
    bounds.windows(2).map(|w| &bytes[w[0]..w[1]]).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn messages_do_not_depend_on_how_the_stream_is_split(
        messages in prop::collection::vec("[ -~]{0,80}[!-~]", 0..12),
        cuts in prop::collection::vec(any::<usize>(), 0..40),
        by_length in any::<bool>(),
    ) {
        let framing = if by_length { Framing::ContentLength } else { Framing::Line };
        let stream: Vec<u8> = messages.iter().flat_map(|m| encode_frame(framing, m.as_bytes())).collect();
        let expected: Vec<Vec<u8>> = messages.iter().map(|m| m.as_bytes().to_vec()).collect();
        prop_assert_eq!(split_stream(framing, &pieces(&stream, &cuts)), (expected, Ok(())));
    }

    #[test]
    fn arbitrary_bytes_neither_panic_nor_grow_the_buffer(
        bytes in prop::collection::vec(any::<u8>(), 0..2000),
        cuts in prop::collection::vec(any::<usize>(), 0..40),
    ) {
        for framing in [Framing::Line, Framing::ContentLength] {
            let whole = split_stream(framing, &[&bytes]);
            let split = split_stream(framing, &pieces(&bytes, &cuts));
            prop_assert_eq!(whole.0, split.0);
        }
        describe(&bytes);
    }

    #[test]
    fn malformed_messages_do_not_panic(text in r#"[\[\]{}":,0-9a-z\\u"jsonrpcmethodidparams2.0 ]{0,80}"#) {
        describe(text.as_bytes());
    }
}
