//! The examples of the JSON-RPC 2.0 specification, messages that it forbids, and arbitrary bytes.

use jsonrpc::{
    code, encode_batch, encode_error, encode_frame, encode_request, encode_response, parse, FrameDecoder,
    Framing, FramingError, InvalidMessage, Limits, Message, Parsed,
};
use proptest::prelude::*;

/// A short description of what a frame holds.
fn describe(frame: &[u8]) -> Vec<String> {
    let limits = Limits::default();
    let short = |entry: Result<Message<'_>, InvalidMessage<'_>>| match entry {
        Ok(Message::Call(call)) => {
            let id = call.id.map_or("-", |id| id.get());
            format!("call {id} {} {}", call.method, call.params.map_or("-", |p| p.get()))
        }
        Ok(Message::Response(answer)) => match answer.outcome {
            Ok(result) => format!("result {} {}", answer.id.get(), result.get()),
            Err(_) => format!("error {} {}", answer.id.get(), answer.error().map_or(0, |(code, _)| code)),
        },
        Err(invalid) => format!("invalid {} {}", invalid.id.map_or("-", |id| id.get()), invalid.code),
    };
    match parse(frame, &limits) {
        Ok(Parsed::One(entry)) => vec![short(entry)],
        Ok(Parsed::Batch(entries)) => entries.into_iter().map(short).collect(),
        Err(invalid) => vec![format!("broken {}", invalid.code)],
    }
}

#[test]
fn examples_of_the_specification() {
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
        (r#"{"jsonrpc": "2.0", "method": "foobar, "params": "bar", "baz]"#, &["broken -32700"]),
        (r#"{"jsonrpc": "2.0", "method": 1, "params": "bar"}"#, &["invalid - -32600"]),
        (
            r#"[{"jsonrpc": "2.0", "method": "sum", "params": [1,2,4], "id": "1"},{"jsonrpc": "2.0", "method"]"#,
            &["broken -32700"],
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

#[test]
fn ids_are_kept_verbatim() {
    let digits = "9".repeat(401);
    for id in ["null", "0", "-7", &digits, r#""""#, r#""\u00e9\n""#, "\"\u{e9}\""] {
        let frame = format!(r#"{{"id":{id},"method":"m","jsonrpc":"2.0"}}"#);
        assert_eq!(describe(frame.as_bytes()), [format!("call {id} m -")]);
    }
    let long = format!("\"{}\"", "x".repeat(2000));
    for id in ["1.5", "1e400", "true", "[1]", "{}", r#""\ud800""#, "-", &long] {
        let frame = format!(r#"{{"id":{id},"method":"m","jsonrpc":"2.0"}}"#);
        let described = describe(frame.as_bytes());
        assert!(described == ["invalid - -32600"] || described == ["broken -32700"], "{id}: {described:?}");
    }
}

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
        (r#"{"jsonrpc":"2.0","id":1,"method":"m"} {}"#, "broken -32700"),
        ("7", "invalid - -32600"),
        ("", "broken -32700"),
    ];
    for (frame, expected) in cases {
        assert_eq!(describe(frame.as_bytes()), [expected], "{frame}");
    }
    assert_eq!(describe(b"{\"jsonrpc\":\"2.0\",\"method\":\"\xff\"}"), ["broken -32700"]);
}

#[test]
fn each_limit_is_enforced() {
    let limits = Limits { message_bytes: 200, nesting_depth: 3, batch_entries: 2, id_bytes: 10 };
    let call = |params: &str| format!(r#"{{"jsonrpc":"2.0","method":"m","params":{params}}}"#);
    let fault = |frame: &str| parse(frame.as_bytes(), &limits).expect_err(frame).code;
    assert!(parse(call("[[1]]").as_bytes(), &limits).is_ok());
    assert_eq!(fault(&call("[[[1]]]")), code::PARSE_ERROR);
    assert!(parse(call(r#"["[[[[\"[["]"#).as_bytes(), &limits).is_ok(), "what is quoted is not deep");
    assert_eq!(fault(&call(&format!("[{}]", "1,".repeat(100) + "1"))), code::TOO_LARGE);
    assert_eq!(fault("[1,2,3]"), code::TOO_LARGE);
    let deep = "[".repeat(60_000);
    assert_eq!(parse(deep.as_bytes(), &Limits::default()).expect_err("deep").code, code::PARSE_ERROR);
}

#[test]
fn encoded_messages_parse_again() {
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
    let two =
        encode_batch(&[encode_response(Some(&id), "1"), encode_error(Some(&id), -1, "", None)]).expect("two");
    assert_eq!(describe(&two), ["result \"a\" 1", "error \"a\" -1"]);
}

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
    let heads = [
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
    for head in heads {
        assert!(first_frame(Framing::ContentLength, head.as_bytes()).is_err(), "{head:?}");
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

/// All messages of a stream that arrives in these pieces, and how it ended.
fn split_stream(framing: Framing, pieces: &[&[u8]]) -> (Vec<Vec<u8>>, Result<(), FramingError>) {
    let mut decoder = FrameDecoder::new(framing, Limits { message_bytes: 300, ..Limits::default() });
    let mut all = Vec::new();
    for piece in pieces {
        decoder.push(piece);
        loop {
            match decoder.next_frame() {
                Ok(Some(message)) => all.push(message.to_vec()),
                Ok(None) => break,
                Err(broken) => return (all, Err(broken)),
            }
        }
        // One message and a piece at most.
        assert!(decoder.buffered_bytes() <= 300 + 512 + piece.len());
    }
    let end = decoder.finish();
    (all, end)
}

fn pieces<'a>(bytes: &'a [u8], cuts: &[usize]) -> Vec<&'a [u8]> {
    let mut at: Vec<usize> = cuts.iter().map(|c| c % (bytes.len() + 1)).collect();
    at.extend([0, bytes.len()]);
    at.sort_unstable();
    at.windows(2).map(|w| &bytes[w[0]..w[1]]).collect()
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
