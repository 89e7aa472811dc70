//! What each member of a crowd sends.

/// The bytes that a member sends, and how many of them at a time.
#[derive(Clone, Debug)]
pub struct Payload {
    pub bytes: Vec<u8>,
    /// Bytes that a member sends in one turn.
    pub turn: usize,
    /// How often a member leaves once it has sent all, and comes again.
    pub visits: u32,
}

/// Path of a job that nobody submitted.
pub const JOB_PATH: &str = "/calm/00000000000000fe";
/// Frame types of HTTP/2.
const H2_DATA: u8 = 0;
const H2_HEADERS: u8 = 1;
const H2_SETTINGS: u8 = 4;
/// Flag of an HTTP/2 frame with a complete list of headers.
const H2_END_HEADERS: u8 = 4;

impl Payload {
    fn whole(bytes: Vec<u8>) -> Payload {
        Payload { turn: bytes.len(), bytes, visits: 0 }
    }

    /// Sends at most `turn` bytes at a time.
    pub fn in_turns_of(self, turn: usize) -> Payload {
        Payload { turn, ..self }
    }

    /// Leaves after each of so many requests and comes again.
    pub fn with_visits(self, visits: u32) -> Payload {
        Payload { visits, ..self }
    }

    /// A submission of a valid job in `size` bytes.
    pub fn job(key: &str, size: usize) -> Payload {
        let job = br#"{"steps":[{"count":1,"gpu":1,"estimateMs":10}]}"#;
        let mut payload = Payload::announced(key, size, size - job.len());
        payload.bytes.extend_from_slice(job);
        Payload::whole(payload.bytes)
    }

    /// A submission that announces `announced` bytes and sends `sent`, to the platform's interface.
    pub fn announced(key: &str, announced: usize, sent: usize) -> Payload {
        Payload::announced_to(JOB_PATH, &format!("Token {key}"), announced, sent)
    }

    /// A call of `path` that announces `announced` bytes and sends `sent`.
    pub fn announced_to(path: &str, authorization: &str, announced: usize, sent: usize) -> Payload {
        let length = format!("Content-Length: {announced}");
        let mut bytes = head("POST", path, authorization, &length);
        bytes.resize(bytes.len() + sent, b' ');
        Payload::whole(bytes)
    }

    /// A submission to `path` of a job with as many empty steps as `size` bytes hold.
    pub fn many_steps(path: &str, authorization: &str, start: &str, size: usize) -> Payload {
        let mut body = format!("{{{start}\"steps\":[{{}}").into_bytes();
        while body.len() + ",{}]}".len() <= size {
            body.extend_from_slice(b",{}");
        }
        body.extend_from_slice(b"]}");
        let mut bytes =
            head("POST", path, authorization, &format!("Content-Length: {}", body.len()));
        bytes.extend_from_slice(&body);
        Payload::whole(bytes)
    }

    /// A submission of `count` chunks of `size` bytes without an end.
    pub fn chunked(key: &str, size: usize, count: usize) -> Payload {
        let authorization = format!("Token {key}");
        let mut bytes = head("POST", JOB_PATH, &authorization, "Transfer-Encoding: chunked");
        let mut chunk = format!("{size:x}\r\n").into_bytes();
        chunk.resize(chunk.len() + size, b' ');
        chunk.extend_from_slice(b"\r\n");
        (0..count).for_each(|_| bytes.extend_from_slice(&chunk));
        Payload::whole(bytes)
    }

    /// A head of `size` bytes without an end.
    pub fn long_head(size: usize) -> Payload {
        let mut bytes = b"GET /calm/ HTTP/1.1\r\nHost: soak.example\r\nX-Long: ".to_vec();
        bytes.resize(size, b'x');
        Payload::whole(bytes)
    }

    /// `count` requests in a row, whose answers the member does not read.
    pub fn requests(path: &str, count: usize) -> Payload {
        let request = format!("GET {path} HTTP/1.1\r\nHost: soak.example\r\n\r\n");
        Payload::whole(request.repeat(count).into_bytes())
    }

    /// Nothing at all.
    pub fn silent() -> Payload {
        Payload { bytes: Vec::new(), turn: 1, visits: 0 }
    }

    /// An HTTP/2 connection of `streams` submissions, each with `size` bytes and without an end.
    pub fn http2(streams: u32, size: usize) -> Payload {
        let mut bytes = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
        bytes.extend(h2_frame(H2_SETTINGS, 0, 0, &[]));
        for stream in (0..streams).map(|number| 2 * number + 1) {
            let mut headers = Vec::new();
            for (name, value) in
                [(":method", "POST"), (":path", JOB_PATH), (":scheme", "http"), (":authority", "x")]
            {
                headers.push(0);
                for text in [name, value] {
                    headers.push(text.len() as u8);
                    headers.extend_from_slice(text.as_bytes());
                }
            }
            bytes.extend(h2_frame(H2_HEADERS, H2_END_HEADERS, stream, &headers));
            bytes.extend(h2_frame(H2_DATA, 0, stream, &vec![b' '; size]));
        }
        Payload::whole(bytes)
    }

    /// A WebSocket connection with the beginning of a frame: `sent` of `announced` bytes.
    pub fn websocket(announced: u64, sent: usize) -> Payload {
        let mut bytes =
            b"GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\
              Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
                .to_vec();
        // A masked binary frame with a length of eight bytes.
        bytes.extend_from_slice(&[0x82, 0xff]);
        bytes.extend_from_slice(&announced.to_be_bytes());
        bytes.resize(bytes.len() + 4 + sent, 0);
        Payload::whole(bytes)
    }
}

fn head(method: &str, path: &str, authorization: &str, line: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: soak.example\r\nContent-Type: application/json\r\n\
         Authorization: {authorization}\r\n{line}\r\n\r\n"
    )
    .into_bytes()
}

fn h2_frame(kind: u8, flags: u8, stream: u32, content: &[u8]) -> Vec<u8> {
    let mut bytes = (content.len() as u32).to_be_bytes()[1..].to_vec();
    bytes.extend_from_slice(&[kind, flags]);
    bytes.extend_from_slice(&stream.to_be_bytes());
    bytes.extend_from_slice(content);
    bytes
}
