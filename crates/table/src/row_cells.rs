//! Parses the cells of one line into a row.

use {
    crate::{
        cell_parse::{
            CellFault, parse_decimal, parse_duration, parse_name, parse_repeat, parse_whole,
            parse_zones,
        },
        fault_code::FaultCode,
        rank::Rank,
        work_column::WorkColumn,
        work_row::WorkRow,
    },
    std::{collections::BTreeMap, ops::RangeInclusive, sync::Arc, time::Duration},
};

/// The value of an empty `patience` cell.
pub const DEFAULT_PATIENCE: Duration = Duration::from_secs(120);
/// The value of an empty `rank` cell.
pub const DEFAULT_RANK: u32 = 5;
/// The value of an empty `retries` cell.
pub const DEFAULT_RETRIES: u32 = 1;
/// The value of an empty `waste` cell.
pub const DEFAULT_WASTE: f64 = 0.2;
/// The value of an empty `weight` cell.
pub const DEFAULT_WEIGHT: f64 = 1.0;
/// The allowed concurrency limits.
pub const LIMIT_RANGE: RangeInclusive<u32> = 1..=1_000_000;
/// The allowed ranks.
pub const RANK_RANGE: RangeInclusive<u32> = 0..=9;
/// The allowed numbers of retries.
pub const RETRIES_RANGE: RangeInclusive<u32> = 0..=9;
/// The allowed shares of wasted prefill.
pub const WASTE_RANGE: RangeInclusive<f64> = 0.0..=1.0;
/// The allowed weights.
pub const WEIGHT_RANGE: RangeInclusive<f64> = 0.001..=1_000_000.0;
/// The characters allowed in model names in addition to those of other names.
const MODEL_NAME_SYMBOLS: &str = "/:@+";

/// Parses the cells of one line and collects their faults.
pub struct RowCells<'a> {
    cells: BTreeMap<WorkColumn, &'a str>,
    decimal_comma: bool,
    faults: Vec<(Option<WorkColumn>, CellFault)>,
}

impl<'a> RowCells<'a> {
    /// Creates a parser of trimmed cells. Columns without a cell are omitted; their fault is already reported.
    pub fn new(cells: BTreeMap<WorkColumn, &'a str>, decimal_comma: bool) -> Self {
        Self {
            cells,
            decimal_comma,
            faults: Vec::new(),
        }
    }

    /// Parses the row.
    ///
    /// # Errors
    ///
    /// Every fault, with its column.
    pub fn read(mut self) -> Result<WorkRow, Vec<(Option<WorkColumn>, CellFault)>> {
        let comma = self.decimal_comma;
        let between_tokens = self.optional(WorkColumn::BetweenTokens, parse_duration);
        let first_token = self.optional(WorkColumn::FirstToken, parse_duration);
        let limit = self.optional(WorkColumn::Limit, |text| parse_whole(text, LIMIT_RANGE));
        let model = self.optional(WorkColumn::Model, |text| {
            parse_name(text, MODEL_NAME_SYMBOLS)
        });
        let patience = self.optional(WorkColumn::Patience, parse_duration);
        let rank = self.digit(WorkColumn::Rank, RANK_RANGE, DEFAULT_RANK);
        let repeat = self.optional(WorkColumn::Repeat, parse_repeat);
        let retries = self.digit(WorkColumn::Retries, RETRIES_RANGE, DEFAULT_RETRIES);
        let service = self.required(WorkColumn::Service);
        let waste = self.optional(WorkColumn::Waste, |text| {
            parse_decimal(text, WASTE_RANGE, comma)
        });
        let weight = self.optional(WorkColumn::Weight, |text| {
            parse_decimal(text, WEIGHT_RANGE, comma)
        });
        let work = self.required(WorkColumn::Work);
        let zones = self.optional(WorkColumn::Zones, parse_zones);
        let row = WorkRow {
            between_tokens,
            first_token,
            limit,
            model,
            patience: patience.unwrap_or(DEFAULT_PATIENCE),
            rank,
            repeat: repeat.unwrap_or(false),
            retries,
            service,
            waste: waste.unwrap_or(DEFAULT_WASTE),
            weight: weight.unwrap_or(DEFAULT_WEIGHT),
            work,
            zones: zones.unwrap_or_default(),
        };
        self.check_row(&row);
        if self.faults.is_empty() {
            return Ok(row);
        }
        self.faults.sort_by_key(|(column, _)| *column);
        Err(self.faults)
    }

    fn check_row(&mut self, row: &WorkRow) {
        // A `model` cell that is missing or has a fault does not count as empty.
        let has_model = self
            .cells
            .get(&WorkColumn::Model)
            .is_none_or(|text| !text.is_empty());
        if row.between_tokens.is_some() && !has_model {
            let fault = CellFault {
                code: FaultCode::TargetWithoutModel,
                detail: String::new(),
            };
            self.faults.push((Some(WorkColumn::BetweenTokens), fault));
        }
    }

    fn required(&mut self, column: WorkColumn) -> Arc<str> {
        if self.cells.get(&column).is_some_and(|text| text.is_empty()) {
            let fault = CellFault {
                code: FaultCode::CellEmpty,
                detail: String::new(),
            };
            self.faults.push((Some(column), fault));
        }
        let name = self.optional(column, |text| parse_name(text, ""));
        name.unwrap_or_default()
    }

    fn optional<T>(
        &mut self,
        column: WorkColumn,
        parse: impl Fn(&str) -> Result<T, CellFault>,
    ) -> Option<T> {
        let text = *self.cells.get(&column)?;
        if text.is_empty() {
            return None;
        }
        match parse(text) {
            Ok(value) => Some(value),
            Err(fault) => {
                self.faults.push((Some(column), fault));
                None
            }
        }
    }

    fn digit(&mut self, column: WorkColumn, range: RangeInclusive<u32>, default: u32) -> Rank {
        let number = self.optional(column, |text| parse_whole(text, range.clone()));
        u8::try_from(number.unwrap_or(default)).unwrap_or_default()
    }
}
