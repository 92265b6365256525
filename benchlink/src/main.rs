//! Hosts elmtide instances behind the framed byte stream on standard input and output.

#![expect(unreachable_pub, reason = "not all items have their narrowest visibility yet: see docs/ROADMAP.md")]

mod wire;

use std::io::{self, Read, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("elmtide-drill: {why}");
            ExitCode::FAILURE
        }
    }
}

/// Answers one batch after another until the input ends.
fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), String> {
    let mut host = wire::Host::default();
    let mut header = [0u8; wire::HEADER];
    loop {
        let got = read_up_to(&mut input, &mut header)?;
        if got == 0 {
            return Ok(());
        }
        if got < header.len() {
            return Err(format!("input ends within a batch header ({got} of {} bytes)", header.len()));
        }
        let (records, length, clock) = wire::header(&header)?;
        let mut body = Vec::new();
        let wanted = length - header.len();
        let got =
            (&mut input).take(wanted as u64).read_to_end(&mut body).map_err(|e| format!("read: {e}"))?;
        if got < wanted {
            return Err(format!("input ends within a batch ({got} of {wanted} bytes after the header)"));
        }
        let reply = host.batch(records, clock, &body)?;
        output.write_all(&reply).and_then(|()| output.flush()).map_err(|e| format!("write: {e}"))?;
    }
}

fn read_up_to(input: &mut impl Read, buffer: &mut [u8]) -> Result<usize, String> {
    let mut got = 0;
    while got < buffer.len() {
        match input.read(&mut buffer[got..]) {
            Ok(0) => break,
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("read: {e}")),
        }
    }
    Ok(got)
}
