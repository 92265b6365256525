//! Runs elmtide instances for an outside simulator, which speaks a framed byte protocol on standard input and output.

#![expect(unreachable_pub, reason = "not all items have their narrowest visibility yet: see docs/ROADMAP.md")]

mod wire;

use std::io::{self, Read, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("elmtide-drill: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batches one by one until the input ends.
fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), String> {
    let mut instances = wire::Instances::default();
    let mut header = [0u8; wire::HEADER_LEN];
    loop {
        let received = read_until_full(&mut input, &mut header)?;
        if received == 0 {
            return Ok(());
        }
        if received < header.len() {
            return Err(format!("input ends within a batch header ({received} of {} bytes)", header.len()));
        }
        let (record_count, frame_len, clock) = wire::parse_header(&header)?;
        let mut body = Vec::new();
        let body_len = frame_len - header.len();
        let received =
            (&mut input).take(body_len as u64).read_to_end(&mut body).map_err(|e| format!("read: {e}"))?;
        if received < body_len {
            return Err(format!(
                "input ends within a batch ({received} of {body_len} bytes after the header)"
            ));
        }
        let reply = instances.handle_batch(record_count, clock, &body)?;
        output.write_all(&reply).and_then(|()| output.flush()).map_err(|e| format!("write: {e}"))?;
    }
}

/// Fills the buffer unless the input ends before; returns the number of bytes read.
fn read_until_full(input: &mut impl Read, buffer: &mut [u8]) -> Result<usize, String> {
    let mut received = 0;
    while received < buffer.len() {
        match input.read(&mut buffer[received..]) {
            Ok(0) => break,
            Ok(n) => received += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("read: {e}")),
        }
    }
    Ok(received)
}
