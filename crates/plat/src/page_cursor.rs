//! Where a read stands that a service answers in pages. Free of I/O.

use {crate::KeyRange, snafu::Snafu};

/// The most pages of one read: several times what the longest list takes.
const MAX_PAGES: usize = 1_000;

/// A read of a range of keys.
#[derive(Clone, Debug)]
pub struct PageCursor {
    /// The epoch of the rows read so far; `None` before the first page.
    epoch: Option<u64>,
    pages: usize,
    rest: Option<KeyRange>,
}

/// One page, as far as the next one depends on it.
#[derive(Clone, Copy, Debug)]
pub struct PageEnd<'a> {
    /// The epoch of its rows.
    pub epoch: u64,
    /// Whether there are more rows after it.
    pub has_more: bool,
    /// The key of its last row; `None` without rows.
    pub last: Option<&'a str>,
}

/// Why a read can't go on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum PageFault {
    /// The rows are of two epochs.
    #[snafu(display("the store was restored between two pages"))]
    EpochChanged,
    /// The page has no row in the range that it was read for.
    #[snafu(display("page {page} brings no progress"))]
    NoProgress {
        /// The number of the page, from 1.
        page: usize,
    },
    /// There is no end to the pages.
    #[snafu(display("there are more than {MAX_PAGES} pages"))]
    TooManyPages,
}

impl PageCursor {
    /// A read that has no page yet.
    pub fn new(range: KeyRange) -> Self {
        Self {
            epoch: None,
            pages: 0,
            rest: Some(range),
        }
    }

    /// The keys that are still to be read; `None` after the last page.
    pub fn rest(&self) -> Option<&KeyRange> {
        self.rest.as_ref()
    }

    /// Moves on behind a page of the rest.
    ///
    /// # Errors
    ///
    /// The page does not belong to the ones before, or the pages have no end.
    pub fn advance(&mut self, page: PageEnd<'_>) -> Result<(), PageFault> {
        self.pages += 1;
        if *self.epoch.get_or_insert(page.epoch) != page.epoch {
            return EpochChangedSnafu.fail();
        }
        let Some(range) = self.rest.take().filter(|_| page.has_more) else {
            return Ok(());
        };
        let Some(last) = page.last.filter(|last| *last >= &*range.from) else {
            return NoProgressSnafu { page: self.pages }.fail();
        };
        if self.pages == MAX_PAGES {
            return TooManyPagesSnafu.fail();
        }
        self.rest = range.after(last);
        Ok(())
    }
}
