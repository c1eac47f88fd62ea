//! Exit codes. They have one byte, so each family of result codes has a range of its own.

use kernel::ResultCode;

/// The exit code of an error that has no result code, such as a full disk.
pub const OTHER_FAULT: u8 = 1;
/// The exit code of an invalid command line; `clap` ends the process with it.
pub const USAGE_FAULT: u8 = 2;

/// The exit code of a result code: 0 for an answer, 20 for "not run", 30 for "outcome unknown", and for tickets,
/// operators' faults and alarms 40, 50 and 60 with the last digit of the result code.
pub fn of(code: ResultCode) -> u8 {
    let family = code.number() / 1000;
    let digit = code.number() % 10;
    let exit = match family {
        1 => 0,
        2 | 3 => family * 10,
        _ => family * 10 + digit,
    };
    u8::try_from(exit).unwrap_or(OTHER_FAULT)
}
