//! The numbered results shown to callers and operators and in logs. `docs/CODES.md` has the same table.

use serde::{Deserialize, Serialize};

macro_rules! result_codes {
  ($($(#[$meta:meta])* $name:ident = $number:literal, $status:literal, $text:literal;)*) => {
    /// The outcome of a request or an operator command.
    #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
    #[repr(u16)]
    pub enum ResultCode {
      $($(#[$meta])* #[doc = $text] $name = $number,)*
    }

    impl ResultCode {
      /// Every code, in ascending order of number.
      pub const ALL: &'static [Self] = &[$(Self::$name,)*];

      /// The number shown to callers and operators.
      pub fn number(self) -> u16 {
        self as u16
      }

      /// The HTTP status sent with the code.
      pub fn status(self) -> u16 {
        match self {
          $(Self::$name => $status,)*
        }
      }

      /// What the code means, in one line.
      pub fn text(self) -> &'static str {
        match self {
          $(Self::$name => $text,)*
        }
      }
    }
  };
}

result_codes! {
  Answered = 1000, 200, "answered in full";
  WorkUnknown = 2001, 404, "not run: the table has no such kind of work";
  RequestInvalid = 2002, 400, "not run: the request can't be read";
  BodyTooLarge = 2003, 413, "not run: the body is larger than the limit";
  UpstreamMissing = 2004, 503, "not run: no upstream can take this kind of work now";
  LimitReached = 2005, 429, "not run: the limit of this kind of work is reached";
  FirstTokenLate = 2006, 503, "not run: the first token would come after its target";
  PatienceEnded = 2007, 503, "not run: the patience of this kind of work ended in the queue";
  Closing = 2008, 503, "not run: this instance is closing";
  NotReady = 2009, 503, "not run: this instance has no table yet";
  PlatformDown = 2010, 503, "not run: the platform's table service can't be reached";
  UpstreamRefused = 2011, 503, "not run: the upstream refused the request";
  ZoneExcluded = 2012, 503, "not run: this kind of work may not run in this availability zone";
  HeadersTooLarge = 2013, 431, "not run: the headers are larger than the limit";
  RetryBudgetSpent = 2014, 503, "not run: the retry budget is spent";
  CallerGone = 2015, 499, "not run: the caller went away first";
  KeyTaken = 2016, 409, "not run: this idempotency key belongs to an earlier request";
  ServiceUnknown = 2017, 404, "not run: there is no such service";
  QueueFull = 2018, 429, "not run: the queue is full";
  RequestQuarantined = 2019, 503, "not run: upstreams ended under this request, it is in quarantine";
  KeyUnknown = 2020, 401, "not run: no customer holds this key";
  QuotaSpent = 2021, 429, "not run: the quota of this customer is spent";
  TableStale = 2022, 503, "not run: this instance can't tell whether the key is still valid";
  MemorySpent = 2023, 503, "not run: this instance has no memory for the body";
  UpstreamLimited = 2024, 503, "not run: the upstreams accept no further request now";
  UpstreamUnreachable = 2025, 503, "not run: this instance reaches no upstream for this kind of work";
  SoftwareUnknown = 2026, 503, "not run: the software version that began the stream is not known";
  UpstreamLost = 3001, 502, "outcome unknown: the connection to the upstream was lost";
  UpstreamGarbled = 3002, 502, "outcome unknown: the upstream's answer can't be read";
  StreamCut = 3003, 502, "outcome unknown: the upstream's stream ended early";
  OriginGone = 3004, 502, "outcome unknown: the instance that ran the request is gone";
  UpstreamSilent = 3005, 504, "outcome unknown: the upstream fell silent";
  CutByClose = 3006, 502, "outcome unknown: the close limit of this instance ended the request";
  TicketForgotten = 3007, 410, "outcome unknown: the ticket ended long ago and its record is no longer kept";
  PrefillWasted = 3008, 502, "ran in part: the prompt was read, no answer was generated";
  UpstreamFailed = 3009, 502, "ran: the upstream answered with a failure of its own, which was given back";
  CallerLeft = 3010, 499, "outcome unknown: the caller went away while the request was at an upstream";
  TicketExpired = 4001, 410, "not run: the ticket has expired";
  TicketUnknown = 4002, 404, "not run: the ticket was not minted here";
  TicketUsed = 4003, 409, "not run again: the ticket was used before";
  SettingsInvalid = 5001, 400, "the settings have faults";
  TableInvalid = 5002, 400, "the table has faults";
  EditConflict = 5003, 409, "another edit changed the same row";
  PlatformUnreachable = 5004, 503, "the platform can't be reached";
  EditPending = 5005, 202, "the edit is accepted and not yet in force everywhere";
  EditUnknown = 5006, 503, "the edit's outcome is unknown; apply it again, it is not done twice";
  DumpFailed = 5007, 502, "the process gave no dump";
  DigestDiffers = 6001, 500, "two tables have one version and different content";
  VersionFell = 6002, 500, "the platform's table went back to an older version";
  FenceRefused = 6003, 409, "the upstream refused an order with an old fencing number";
  LeaseLost = 6004, 409, "the lease ended before the order";
  PeerRefused = 6005, 403, "a peer's message was refused";
}

impl ResultCode {
    /// Whether the code guarantees that the request did not run, so that a retry is safe.
    pub fn not_run(self) -> bool {
        matches!(self.number(), 2000..3000 | 4001..=4002)
    }
}
