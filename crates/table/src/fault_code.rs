//! The numbered faults of table files. `docs/TABLE.md` lists the same codes.

macro_rules! fault_codes {
    ($($name:ident = $number:literal, $text:literal;)*) => {
        /// One numbered kind of fault.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[repr(u16)]
        pub enum FaultCode {
            $(#[doc = $text] $name = $number,)*
        }

        impl FaultCode {
            /// All codes, in the order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The number that operators see.
            pub fn number(self) -> u16 {
                self as u16
            }

            /// The description of the code, in one line.
            pub fn text(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }
    };
}

fault_codes! {
    FileTooLarge = 7001, "the file is larger than the limit";
    FileEncoding = 7002, "the file is not UTF-8";
    HeadingsMissing = 7003, "the file has no line of headings";
    ColumnMissing = 7004, "a column is missing";
    ColumnUnknown = 7005, "a column is not known";
    ColumnTwice = 7006, "a column is there twice";
    RowsTooMany = 7007, "the file has more rows than the limit";
    VersionGarbled = 7008, "the version line can't be read";
    VersionTwice = 7009, "the file has two version lines that differ";
    QuoteOpen = 7010, "a quoted cell is not closed";
    CellEncoding = 7101, "a cell is not UTF-8";
    CellsTooFew = 7102, "the row has fewer cells than there are columns";
    CellsTooMany = 7103, "the row has content beyond the last column";
    RowTwice = 7104, "the key of the row is there twice";
    CellEmpty = 7201, "the cell must not be empty";
    NameInvalid = 7202, "the name has characters that names can't have, or is too long";
    NumberInvalid = 7203, "the cell is not a number of the kind that the column takes";
    NumberRange = 7204, "the number is out of the column's range";
    DurationInvalid = 7205, "the cell is not a duration with a unit, such as 480ms or 2min";
    DurationRange = 7206, "the duration is out of the column's range";
    RepeatInvalid = 7207, "the cell is neither yes nor no";
    ZoneTwice = 7208, "an availability zone is there twice";
    TargetWithoutModel = 7301, "a row without a model can't have a between-token target";
}
