//! The text format of tickets and its parse errors.

use {
    claim::{ClaimError, IncarnationKey, Ticket, TicketSettings, TicketTable},
    std::time::{Duration, Instant},
};

fn table(instance: &str) -> Result<TicketTable<Vec<u8>>, ClaimError> {
    let life = IncarnationKey {
        incarnation: 7,
        instance: instance.into(),
    };
    let settings = TicketSettings::builder().secret(3).build();
    TicketTable::new(Instant::now(), life, "riga-a".into(), settings)
}

fn fault(text: &str) -> String {
    text.parse::<Ticket>().unwrap_err().to_string()
}

#[test]
fn text_reads_back_as_the_same_ticket() {
    let mut table = table("entry-1").unwrap();
    let lifetime = Duration::from_secs(60);
    let ticket = table.mint(Instant::now(), lifetime).unwrap();
    assert_eq!(ticket.to_string().parse::<Ticket>().unwrap(), ticket);
    let json = serde_json::to_string(&ticket).unwrap();
    assert_eq!(serde_json::from_str::<Ticket>(&json).unwrap(), ticket);
}

#[test]
fn faults_name_the_part() {
    assert_eq!(
        fault("tw9~a~b~1~1~1~1"),
        "a ticket starts with `tw1`, this text with `tw9`"
    );
    assert_eq!(
        fault("tw1~a~b~1~1~1"),
        "a ticket has 7 parts with `~` between them, this text has 6"
    );
    assert_eq!(
        fault("tw1~a~b~1~x~1~1"),
        "the ticket's expiry `x` is no hexadecimal number: invalid digit found in string"
    );
    assert_eq!(
        fault("tw1~~b~1~1~1~1"),
        "the ticket's zone `` has to be 1 to 64 of `a-z A-Z 0-9 . _ -`"
    );
    assert_eq!(fault(""), "a ticket starts with `tw1`, this text with ``");
}

#[test]
fn names_that_a_ticket_cannot_carry_are_refused_at_start() {
    assert!(matches!(
        table("entry~1"),
        Err(ClaimError::NameInvalid {
            field: "instance",
            ..
        })
    ));
}
